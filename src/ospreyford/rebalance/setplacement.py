"""One set of layers while moves of its experts are tried."""

from __future__ import annotations

from collections.abc import Sequence


class SetPlacement:
    """Which rank holds which experts of a set, and what that costs it.

    :param loads: load of each expert.
    :param held: for each rank, the experts that it holds.
    :param paces: for each rank, by how much it is slower than usual; a slow
        rank takes as long for little load as the others for much.
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
        """Tell what an expert adds to each rank that holds it.

        :param expert: its number.
        :returns: its load over its copies.
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
        """Tell the mean load of a rank at its usual pace.

        :returns: the load.
        """
        return self._mean

    def compute_skew(self) -> float:
        """Tell the load of the most loaded rank over the mean.

        :returns: 1 if all are equal, or without any load.
        """
        mean = self.compute_mean()
        return max(self.rank_loads) / mean if mean > 0 else 1

    def estimate_peak_without(self, expert: int, rank: int) -> float:
        """Tell the load of the most loaded holder if one drops an expert.

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
        """Put an expert on one more rank.

        :param expert: its number.
        :param rank: the rank.
        """
        self._add_load(expert, -self.compute_share(expert))
        self.held[rank].add(expert)
        self._holders[expert].append(rank)
        self._add_load(expert, self.compute_share(expert))

    def remove(self, expert: int, rank: int) -> None:
        """Take an expert from a rank.

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
