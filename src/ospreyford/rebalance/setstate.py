"""One set of layers while moves of its experts are tried."""

from __future__ import annotations

from collections.abc import Sequence


class SetState:
    """Which rank holds which experts of a set, and what that costs it.

    :param loads: load of each expert.
    :param held: for each rank, the experts that it holds.
    """

    def __init__(
        self, loads: Sequence[float], held: Sequence[Sequence[int]]
    ) -> None:
        self.held = [set(experts) for experts in held]
        self._loads = loads
        self._holders: list[list[int]] = [[] for _ in loads]
        for rank, experts in enumerate(held):
            for expert in experts:
                self._holders[expert].append(rank)
        self.rank_loads = [sum(map(self.share, one)) for one in self.held]

    def share(self, expert: int) -> float:
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

    def find_hottest(self) -> int:
        """Find the most loaded rank.

        :returns: its number.
        """
        return self.rank_loads.index(max(self.rank_loads))

    def tell_mean(self) -> float:
        """Tell the mean load of a rank.

        :returns: the load.
        """
        return sum(self.rank_loads) / len(self.rank_loads)

    def tell_skew(self) -> float:
        """Tell the load of the most loaded rank over the mean.

        :returns: 1 if all are equal, or without any load.
        """
        mean = self.tell_mean()
        return max(self.rank_loads) / mean if mean > 0 else 1

    def add(self, expert: int, rank: int) -> None:
        """Put an expert on one more rank.

        :param expert: its number.
        :param rank: the rank.
        """
        self._charge(expert, -self.share(expert))
        self.held[rank].add(expert)
        self._holders[expert].append(rank)
        self._charge(expert, self.share(expert))

    def drop(self, expert: int, rank: int) -> None:
        """Take an expert from a rank.

        :param expert: its number.
        :param rank: the rank.
        """
        self._charge(expert, -self.share(expert))
        self.held[rank].discard(expert)
        self._holders[expert].remove(rank)
        self._charge(expert, self.share(expert))

    def _charge(self, expert: int, load: float) -> None:
        for rank in self._holders[expert]:
            self.rank_loads[rank] += load
