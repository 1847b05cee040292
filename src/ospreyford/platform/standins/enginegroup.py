"""Rules by which the ranks of a group accept orders and begin passes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ospreyford.platform.standins.enginerank import FIRST_MAP, EngineRank
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
from ospreyford.rebalance.ports import Reply


class Verdict(Enum):
    """What a rank does with an order, and why."""

    accepted = 'accepted'
    already_applied = 'already applied'
    fenced = 'fenced'
    #: Meant for another epoch.
    other_epoch = 'other epoch'
    #: Another order was accepted in between.
    stale = 'stale'
    #: The pass has begun.
    late = 'late'
    #: A map that the rank has, or is copying.
    repeated = 'repeated'
    #: Does not fit the rank's state.
    unfit = 'unfit'

    @property
    def reply(self) -> Reply:
        """The reply that an agent reads from the status."""
        match self:
            case Verdict.accepted:
                return Reply.accepted
            case Verdict.already_applied:
                return Reply.already_applied
            case Verdict.fenced:
                return Reply.fenced
        return Reply.rejected


class InconsistentMaps(Exception):
    """A pass began while two ranks had different maps."""


@dataclass
class EngineGroup:
    """All ranks of a group, which begin each pass together.

    :param size: number of ranks.
    :param step: the last pass that was begun.
    :param epoch: of the group.
    :param name: of the group.
    :param first_map: the map of each new epoch.
    :param spare: maximum experts of a set that a new map adds to a rank.
    :param ranks: the ranks, in order.
    """

    size: int = 3
    step: int = 10
    epoch: int = 1
    name: str = 'g'
    first_map: ExpertMap = FIRST_MAP
    spare: int | None = None
    ranks: list[EngineRank] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Make the ranks."""
        if not self.ranks:
            self.ranks = [
                EngineRank(number, experts=self.first_map)
                for number in range(self.size)
            ]

    def begin_pass(self) -> bool:
        """Begin the next pass, unless a rank holds it.

        :returns: whether it has begun.
        :raises InconsistentMaps: two ranks have different maps.
        """
        next_step = self.step + 1
        if any(rank.held == next_step for rank in self.ranks):
            return False
        self.step = next_step
        for rank in self.ranks:
            if rank.armed is not None and rank.armed.step == next_step:
                rank.switch_map()
                rank.prepared = None
                rank.armed = None
        maps = {(one.version, one.experts) for one in self.ranks}
        if len(maps) > 1:
            raise InconsistentMaps(self.step, maps)
        return True

    def form(self, ranks: list[EngineRank], first_map: ExpertMap) -> None:
        """Form the group of these ranks, in a new epoch.

        :param ranks: the ranks, in order; what they have seen stays with them.
        :param first_map: the initial map.
        """
        self.epoch += 1
        self.ranks = ranks
        self.size = len(ranks)
        self.first_map = first_map
        for number, member in enumerate(ranks):
            member.enter_epoch(number, first_map)

    def read_state(self, number: int) -> RankState:
        """Return the state that a rank reports.

        :param number: the rank.
        :returns: its state, without running requests.
        """
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
            born_ms=rank.born_ms,
        )

    def is_enforced(self, guard: str) -> bool:
        """Return whether ranks check a precondition.

        :param guard: ``epoch``, ``token`` or ``sequence``.
        :returns: whether they do.
        """
        return True

    def execute(self, number: int, order: Order, guard: Guard) -> Reply:
        """Accept or reject an order as an engine does.

        :param number: the rank.
        :param order: the order.
        :param guard: its preconditions.
        :returns: the reply.
        """
        return self.decide(number, order, guard).reply

    def decide(self, number: int, order: Order, guard: Guard) -> Verdict:
        """Accept or reject an order, with the reason.

        :param number: the rank.
        :param order: the order.
        :param guard: its preconditions.
        :returns: what became of it.
        """
        rank = self.ranks[number]
        if guard.epoch != self.epoch and self.is_enforced('epoch'):
            return Verdict.other_epoch
        if guard.token < rank.highest_token and self.is_enforced('token'):
            return Verdict.fenced
        is_stale = (
            guard.sequence is not None and guard.sequence != rank.sequence
        )
        if is_stale and self.is_enforced('sequence'):
            return Verdict.stale
        verdict = self._apply(rank, order)
        if verdict in {Verdict.accepted, Verdict.already_applied}:
            rank.highest_token = max(rank.highest_token, guard.token)
        if verdict is Verdict.accepted:
            rank.sequence += 1
        return verdict

    def _apply(self, rank: EngineRank, order: Order) -> Verdict:
        match order:
            case Prepare():
                return self._prepare(rank, order)
            case Hold(step=step):
                return self._hold(rank, step)
            case Arm():
                return self._arm(rank, order)
            case Go(step=step):
                if rank.held != step:
                    return Verdict.already_applied
                rank.held = None
            case Disarm(version=version):
                return self._disarm(rank, version)
        return Verdict.accepted

    def _prepare(self, rank: EngineRank, order: Prepare) -> Verdict:
        if rank.armed is not None or order.version < rank.highest_version:
            return Verdict.unfit
        if order.version == rank.highest_version:
            return Verdict.repeated
        if any(len(of_set) != self.size for of_set in order.experts):
            # A map of another group.
            return Verdict.unfit
        if self.spare is not None and _count_new(rank, order) > self.spare:
            return Verdict.unfit
        rank.highest_version = order.version
        rank.prepared = (order.version, order.experts)
        return Verdict.accepted

    def _hold(self, rank: EngineRank, step: int) -> Verdict:
        if step <= self.step:
            return Verdict.late
        if rank.held not in {None, step}:
            return Verdict.unfit
        if rank.held == step:
            return Verdict.already_applied
        rank.held = step
        return Verdict.accepted

    def _arm(self, rank: EngineRank, order: Arm) -> Verdict:
        if rank.prepared is None or rank.prepared[0] != order.version:
            return Verdict.unfit
        if order.step <= self.step:
            return Verdict.late
        if rank.armed == Armed(order.version, order.step):
            return Verdict.already_applied
        rank.armed = Armed(order.version, order.step)
        return Verdict.accepted

    def _disarm(self, rank: EngineRank, version: int) -> Verdict:
        if rank.version == version:
            return Verdict.unfit
        if rank.armed is None or rank.armed.version != version:
            return Verdict.already_applied
        rank.armed = None
        return Verdict.accepted


def _count_new(rank: EngineRank, order: Prepare) -> int:
    pairs = zip(rank.experts, order.experts, strict=True)
    return max(
        len(set(wanted[rank.number]).difference(held[rank.number]))
        for held, wanted in pairs
    )
