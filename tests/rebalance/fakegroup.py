"""Fake rank group that enforces the engine's rules and checks each pass."""

from __future__ import annotations

from dataclasses import dataclass, field

from ospreyford.rebalance.group import (
    Arm,
    Armed,
    Disarm,
    ExpertMap,
    Go,
    Guard,
    Hold,
    Order,
    Prepare,
    RankState,
)
from ospreyford.rebalance.mapdelta import build_initial_map
from ospreyford.rebalance.ports import Reply

FIRST_MAP: ExpertMap = (((0,), (1,), (2,)),)


class InconsistentMaps(Exception):
    """A pass began while two ranks had different maps."""


@dataclass
class FakeRank:
    """One rank."""

    number: int
    version: int = 0
    experts: ExpertMap = FIRST_MAP
    highest_version: int = 0
    prepared: tuple[int, ExpertMap] | None = None
    armed: Armed | None = None
    held: int | None = None
    sequence: int = 0
    highest_token: int = 0

    def switch_map(self) -> None:
        """Switch to the prepared map."""
        assert self.prepared is not None
        version, experts = self.prepared
        self.version = version
        self.experts = experts


@dataclass
class FakeGroup:
    """All ranks of a group, which begin each pass together."""

    size: int = 3
    step: int = 10
    epoch: int = 1
    ranks: list[FakeRank] = field(default_factory=list)
    disabled_guards: frozenset[str] = frozenset()
    unreachable: set[int] = field(default_factory=set)
    name: str = 'g'

    def __post_init__(self) -> None:
        self.ranks = self._make_ranks()

    def begin_pass(self) -> bool:
        """Begin the next pass, unless a rank holds it."""
        next_step = self.step + 1
        if any(rank.held == next_step for rank in self.ranks):
            return False
        self.step = next_step
        for rank in self.ranks:
            if rank.armed is not None and rank.armed.step == next_step:
                rank.switch_map()
                rank.prepared = None
                rank.armed = None
        maps = {(rank.version, rank.experts) for rank in self.ranks}
        if len(maps) > 1:
            raise InconsistentMaps(self.step, maps)
        return True

    def reopen(self, size: int | None = None) -> None:
        """Restart the group in a new epoch with the initial map."""
        self.epoch += 1
        self.size = self.size if size is None else size
        self.ranks = self._make_ranks()

    def read_state(self, number: int) -> RankState:
        """Return the state that a rank reports."""
        rank = self.ranks[number]
        return RankState(
            group=self.name,
            epoch=self.epoch,
            rank=number,
            size=self.size,
            is_open=True,
            step=self.step,
            sequence=rank.sequence,
            version=rank.version,
            prepared=None if rank.prepared is None else rank.prepared[0],
            armed=rank.armed,
            held=rank.held,
            active=0,
            queued=0,
            pace=1,
        )

    def _make_ranks(self) -> list[FakeRank]:
        experts = build_initial_map(1, self.size, self.size)
        return [
            FakeRank(number, experts=experts) for number in range(self.size)
        ]

    def execute(self, number: int, order: Order, guard: Guard) -> Reply:
        """Accept or reject an order as an engine does."""
        rank = self.ranks[number]
        if guard.epoch != self.epoch and 'epoch' not in self.disabled_guards:
            return Reply.rejected
        if (
            guard.token < rank.highest_token
            and 'token' not in self.disabled_guards
        ):
            return Reply.fenced
        is_stale = (
            guard.sequence is not None and guard.sequence != rank.sequence
        )
        if is_stale and 'sequence' not in self.disabled_guards:
            return Reply.rejected
        reply = self._apply(rank, order)
        if reply is not Reply.rejected:
            rank.highest_token = max(rank.highest_token, guard.token)
        if reply is Reply.accepted:
            rank.sequence += 1
        return reply

    def _apply(self, rank: FakeRank, order: Order) -> Reply:
        match order:
            case Prepare():
                return self._prepare(rank, order)
            case Hold(step=step):
                return self._hold(rank, step)
            case Arm():
                return self._arm(rank, order)
            case Go(step=step):
                if rank.held != step:
                    return Reply.already_applied
                rank.held = None
            case Disarm(version=version):
                return self._disarm(rank, version)
        return Reply.accepted

    def _prepare(self, rank: FakeRank, order: Prepare) -> Reply:
        if rank.armed is not None or order.version <= rank.highest_version:
            return Reply.rejected
        rank.highest_version = order.version
        rank.prepared = (order.version, order.experts)
        return Reply.accepted

    def _hold(self, rank: FakeRank, step: int) -> Reply:
        if step <= self.step or rank.held not in {None, step}:
            return Reply.rejected
        if rank.held == step:
            return Reply.already_applied
        rank.held = step
        return Reply.accepted

    def _arm(self, rank: FakeRank, order: Arm) -> Reply:
        if rank.prepared is None or rank.prepared[0] != order.version:
            return Reply.rejected
        if order.step <= self.step:
            return Reply.rejected
        if rank.armed == Armed(order.version, order.step):
            return Reply.already_applied
        rank.armed = Armed(order.version, order.step)
        return Reply.accepted

    def _disarm(self, rank: FakeRank, version: int) -> Reply:
        if rank.version == version:
            return Reply.rejected
        if rank.armed is None or rank.armed.version != version:
            return Reply.already_applied
        rank.armed = None
        return Reply.accepted
