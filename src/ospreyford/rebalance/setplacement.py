"""Placement of one set's experts on ranks, with incremental load updates."""

from __future__ import annotations

from collections.abc import Sequence


class SetPlacement:
    """Placement of one set's experts and the resulting load of each rank.

    :param loads: load of each expert.
    :param held: for each rank, the experts that it holds.
    :param paces: for each rank, its slowdown factor, which multiplies its load.
    """

    def __init__(
        self,
        loads: Sequence[float],
        held: Sequence[Sequence[int]],
        paces: Sequence[float] = (),
    ) -> None:
        self.held = [set(experts) for experts in held]
        self._loads = loads
        self._holders: list[list[int]] = [[] for _ in loads]
        for rank, experts in enumerate(held):
            for expert in experts:
                self._holders[expert].append(rank)
        self.paces = list(paces) or [1 for _ in held]
        self.rank_loads = [
            pace * sum(map(self.compute_share, one))
            for one, pace in zip(self.held, self.paces, strict=True)
        ]
        self._mean = sum(loads) / len(self.held)

    def compute_share(self, expert: int) -> float:
        """Compute the load that an expert adds to each rank that holds it.

        :param expert: its number.
        :returns: its load divided by its copies.
        """
        return self._loads[expert] / max(len(self._holders[expert]), 1)

    def count_copies(self, expert: int) -> int:
        """Count the ranks that hold an expert.

        :param expert: its number.
        :returns: the number of ranks.
        """
        return len(self._holders[expert])

    def find_most_loaded(self) -> int:
        """Find the most loaded rank.

        :returns: its number.
        """
        return self.rank_loads.index(max(self.rank_loads))

    def compute_mean(self) -> float:
        """Return the mean load of a rank at normal speed.

        :returns: the load.
        """
        return self._mean

    def compute_skew(self) -> float:
        """Compute the peak over the mean load.

        :returns: 1 if all ranks are equally loaded, or without any load.
        """
        mean = self.compute_mean()
        return max(self.rank_loads) / mean if mean > 0 else 1

    def estimate_peak_without(self, expert: int, rank: int) -> float:
        """Estimate the peak load of an expert's holders if one drops it.

        :param expert: its number; another rank must hold it as well.
        :param rank: the rank that would drop it.
        :returns: the load of the most loaded rank that holds it now.
        """
        share = self.compute_share(expert)
        others = [one for one in self._holders[expert] if one != rank]
        added = share / len(others)
        remaining = self.rank_loads[rank] - share * self.paces[rank]
        increased = [
            self.rank_loads[one] + added * self.paces[one] for one in others
        ]
        return max(remaining, *increased)

    def add(self, expert: int, rank: int) -> None:
        """Add a copy of an expert to a rank.

        :param expert: its number.
        :param rank: the rank.
        """
        self._add_load(expert, -self.compute_share(expert))
        self.held[rank].add(expert)
        self._holders[expert].append(rank)
        self._add_load(expert, self.compute_share(expert))

    def remove(self, expert: int, rank: int) -> None:
        """Remove an expert from a rank.

        :param expert: its number.
        :param rank: the rank.
        """
        self._add_load(expert, -self.compute_share(expert))
        self.held[rank].discard(expert)
        self._holders[expert].remove(rank)
        self._add_load(expert, self.compute_share(expert))

    def _add_load(self, expert: int, load: float) -> None:
        for rank in self._holders[expert]:
            self.rank_loads[rank] += load * self.paces[rank]
