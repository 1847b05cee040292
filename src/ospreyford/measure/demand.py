"""Seeded demand of a rank group whose liked experts change all the time."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ospreyford.rebalance.group import ExpertMap

#: How much more the first of the liked experts is chosen than the n-th: n to
#: this power. A few experts of a set take a quarter of its tokens.
LIKING_POWER = 0.9


class Scene(NamedTuple):
    """A group and its demand.

    :param name: of the scene.
    :param seed: of the demand.
    :param ranks: number of ranks.
    :param sets: sets of experts.
    :param experts: of each set.
    :param places: experts of a set that a rank holds.
    :param spare: experts of a set that a change may add to a rank.
    :param running: requests that run at the same time.
    :param seconds: how long the demand is replayed.
    :param shift_seconds: between two changes of what is liked.
    :param shift_part: of the experts that change their place then.
    """

    name: str
    seed: int
    ranks: int = 8
    sets: int = 4
    experts: int = 64
    places: int = 12
    spare: int = 3
    running: int = 24
    seconds: float = 320
    shift_seconds: float = 4
    shift_part: float = 0.5


#: For each rank and set, how often each expert was chosen.
Passes = list[list[Counter[int]]]
#: A request keeps to so many experts of each set, and chooses so many of them
#: in each pass, for so many passes.
FAVOURITES = 6
CHOSEN = 2
LIFE_PASSES = 60


@dataclass
class _Request:
    """One running request: what it chooses from, and how long it goes on."""

    favourites: list[list[int]]
    left: int


@dataclass
class Demand:
    """Draws what each pass chooses; the same for every policy.

    :param scene: the group and its demand.
    """

    scene: Scene
    _random: random.Random = field(init=False)
    _liked: list[list[int]] = field(init=False)
    _running: list[_Request] = field(init=False)
    _shifted_at: float = 0

    def __post_init__(self) -> None:
        """Begin with as many requests as are to run."""
        self._random = random.Random(self.scene.seed)
        experts = range(self.scene.experts)
        self._liked = [
            self._random.sample(experts, self.scene.experts)
            for _ in range(self.scene.sets)
        ]
        self._running = [
            self._draw_request() for _ in range(self.scene.running)
        ]
        for request in self._running:
            request.left = self._random.randrange(LIFE_PASSES)

    def draw_pass(self, at: float) -> Passes:
        """Draw what one pass chooses.

        :param at: seconds since the start.
        :returns: for each rank and set, how often each expert is chosen.
        """
        if at - self._shifted_at >= self.scene.shift_seconds:
            self._shifted_at = at
            self._shift()
        chosen: Passes = [
            [Counter() for _ in range(self.scene.sets)]
            for _ in range(self.scene.ranks)
        ]
        for number, request in enumerate(self._running):
            of_rank = chosen[number % self.scene.ranks]
            for counter, favourites in zip(
                of_rank, request.favourites, strict=True
            ):
                counter.update(self._random.sample(favourites, CHOSEN))
            request.left -= 1
            if request.left < 0:
                self._running[number] = self._draw_request()
        return chosen

    def _draw_request(self) -> _Request:
        weights = [
            (place + 1) ** -LIKING_POWER for place in range(self.scene.experts)
        ]
        favourites = [
            list(self._draw_favourites(liked, weights)) for liked in self._liked
        ]
        return _Request(favourites, LIFE_PASSES)

    def _draw_favourites(
        self, liked: Sequence[int], weights: Sequence[float]
    ) -> Iterator[int]:
        found: set[int] = set()
        while len(found) < FAVOURITES:
            found.update(self._random.choices(liked, weights))
        yield from sorted(found)

    def _shift(self) -> None:
        moved = round(self.scene.shift_part * self.scene.experts)
        for liked in self._liked:
            places = self._random.sample(range(self.scene.experts), moved)
            experts = [liked[place] for place in places]
            self._random.shuffle(experts)
            for place, expert in zip(places, experts, strict=True):
                liked[place] = expert


def spread_evenly(scene: Scene) -> ExpertMap:
    """Spread experts without knowledge of the load.

    :param scene: the group.
    :returns: for each set and rank, what it holds: every expert once, and
        again as far as places are left.
    """
    of_set = tuple(_hold_evenly(scene, rank) for rank in range(scene.ranks))
    return tuple(of_set for _ in range(scene.sets))


def _hold_evenly(scene: Scene, rank: int) -> tuple[int, ...]:
    numbers = [step * scene.ranks + rank for step in range(scene.places)]
    # Each further round begins one rank later: no rank holds an expert twice.
    experts = [
        (number + number // scene.experts) % scene.experts for number in numbers
    ]
    return tuple(sorted(set(experts)))
