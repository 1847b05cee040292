"""Two-phase switch of the expert map of a whole group between two passes.

All ranks must begin each pass with the same map. A change prepares the map on
all ranks, holds one pass at one rank, arms all ranks for that pass and
releases it. No rank can begin the pass between the hold and the release, and
the release is sent only after every rank has confirmed that it is armed.
:meth:`Coordinator.settle` recovers a group left in the middle of a change.

The pass is held at a rank other than the coordinator's own, so that a failed
host does not block the group. Ranks are armed in three steps: all but one, that
one, the coordinator's own. A successor that finds an unarmed rank can conclude
that the unreachable rank is not armed either. The holder is no evidence: it is
the first to be armed and the first to be disarmed.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ospreyford.rebalance.group import (
    Arm,
    Disarm,
    Done,
    ExpertMap,
    Fenced,
    Go,
    Hold,
    Order,
    Outcome,
    Prepare,
    RankState,
    Term,
)
from ospreyford.rebalance.versions import decode_author

if TYPE_CHECKING:
    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.fanout import FanOut
    from ospreyford.rebalance.holdscheduler import HoldScheduler
    from ospreyford.rebalance.ports import RanksPort

MAX_HOLD_ATTEMPTS = 4
#: Attempts to arm a rank, or to revoke an order, while the group is held.
MAX_ARM_ATTEMPTS = 25
#: Attempts to fence a rank before the states are read again.
MAX_FENCE_ATTEMPTS = 2
MAX_SWITCH_POLLS = 200
SWITCH_POLL_SECONDS = 0.01


class Change(StrEnum):
    """Outcome of a map change."""

    made = 'made'
    not_prepared = 'not prepared'
    not_held = 'not held'
    not_armed = 'not armed'
    not_released = 'not released'
    fenced = 'fenced'
    lost_group = 'group changed'


@dataclass(frozen=True)
class Group:
    """A rank group at the time a coordinator takes over.

    :param epoch: its epoch.
    :param ranks: its reachable ranks.
    :param missing_rank: the unreachable rank of the previous coordinator's
        host, if any.
    """

    epoch: int
    ranks: tuple[int, ...]
    missing_rank: int | None = None


class Coordinator:
    """Sends the orders of one group until a higher fencing token is seen.

    :param own_rank: the rank on the coordinator's host.
    :param token: its fencing token.
    :param ranks: sends orders to the ranks.
    :param fan_out: runs coroutines concurrently.
    :param clock: source of time.
    :param scheduler: selects the pass to hold from past arming times.

    ``is_leaving`` is set when no pass may be held any more.
    """

    def __init__(
        self,
        own_rank: int,
        token: int,
        ranks: RanksPort,
        fan_out: FanOut,
        clock: Clock,
        scheduler: HoldScheduler,
    ) -> None:
        self.is_fenced = False
        self.is_leaving = False
        self._scheduler = scheduler
        self._own_rank = own_rank
        self._token = token
        self._ranks = ranks
        self._fan_out = fan_out
        self._clock = clock

    async def change(
        self, group: Group, version: int, experts: ExpertMap
    ) -> Change:
        """Switch the group to a new map.

        :param group: the group, open and without a change in progress.
        :param version: of the map; higher than any before.
        :param experts: the map.
        :returns: the outcome. After anything but ``made`` the group must be
            settled before the next change.
        """
        prepare = Prepare(version, experts)
        await self._ranks.broadcast(prepare, Term(self._token, group.epoch))
        if not await self._execute_on_all(group, group.ranks, prepare):
            return self._classify_failure(Change.not_prepared)
        holder = self._ranks.select_holder(group.ranks)
        step = await self._hold(group, holder)
        if step is None:
            return self._classify_failure(Change.not_held)
        started_at = self._clock.monotonic()
        if not await self._arm(group, holder, Arm(version, step)):
            return self._classify_failure(Change.not_armed)
        self._scheduler.record_arming(self._clock.monotonic() - started_at)
        if not await self._execute_on(
            group, holder, Go(step), MAX_ARM_ATTEMPTS
        ):
            return self._classify_failure(Change.not_released)
        return await self._wait_for_switch(group, version)

    async def settle(
        self, group: Group, version: int, experts: ExpertMap
    ) -> bool:
        """Recover the group from a change left by a previous coordinator.

        Holders are fenced first. The order carries the number of orders
        accepted so far, so a concurrent release makes the rank refuse it and
        all states are read again. After that no other coordinator can release
        the pass. The remaining ranks are then fenced and disarmed, and the pass
        is released with the current map.

        If a rank is armed and no pass is held, the previous coordinator has
        released the pass and all ranks are armed: the switch completes alone.

        :param group: the group.
        :param version: new version of the current map, with
            :data:`FENCE_AUTHOR` as its author.
        :param experts: that map.
        :returns: whether no rank is held or armed any more.
        """
        states = self._ranks.read_states()
        held = {rank: states[rank].held for rank in group.ranks}
        holders = [rank for rank, step in held.items() if step is not None]
        if not holders:
            return not any(_is_armed(states, one) for one in group.ranks)
        others = [rank for rank, step in held.items() if step is None]
        if not _is_missing_rank_unarmed(group, states, others):
            return False
        prepare = Prepare(version, experts)
        for holder in holders:
            if not await self._fence(group, holder, prepare):
                return False
        if not await self._fence_others(group, others, prepare):
            return False
        return await self._release(group, held)

    async def _release(
        self, group: Group, held: Mapping[int, int | None]
    ) -> bool:
        released = [
            await self._execute_on(group, holder, Go(step), MAX_ARM_ATTEMPTS)
            for holder, step in held.items()
            if step is not None
        ]
        return all(released)

    async def _fence(self, group: Group, rank: int, prepare: Prepare) -> bool:
        state = self._ranks.read_states()[rank]
        if state.armed is not None:
            disarm = Disarm(state.armed.version, state.held)
            if not await self._execute_on(
                group, rank, disarm, MAX_FENCE_ATTEMPTS
            ):
                return False
        return await self._execute_on(group, rank, prepare, MAX_FENCE_ATTEMPTS)

    async def _fence_others(
        self, group: Group, ranks: Sequence[int], prepare: Prepare
    ) -> bool:
        """Fence all ranks that hold no pass, concurrently."""
        states = self._ranks.read_states()
        armed: dict[int, list[int]] = {}
        for rank in ranks:
            switch = states[rank].armed
            if switch is not None:
                armed.setdefault(switch.version, []).append(rank)
        for version, armed_ranks in armed.items():
            disarm = Disarm(version, None)
            if not await self._execute_on_all(
                group, armed_ranks, disarm, MAX_FENCE_ATTEMPTS
            ):
                return False
        return await self._execute_on_all(
            group, ranks, prepare, MAX_FENCE_ATTEMPTS
        )

    async def _arm(self, group: Group, holder: int, arm: Arm) -> bool:
        others = [rank for rank in group.ranks if rank != self._own_rank]
        # Put the holder first: it is no evidence for a successor.
        others.sort(key=lambda rank: (rank != holder, rank))
        if not await self._execute_on_all(
            group, others[:-1], arm, MAX_ARM_ATTEMPTS
        ):
            return False
        # Were all armed at once and this host froze, a successor could not tell
        # whether this host's rank is armed: the group would stand still until
        # the host is back.
        if not await self._execute_on_all(
            group, others[-1:], arm, MAX_ARM_ATTEMPTS
        ):
            return False
        return await self._execute_on(
            group, self._own_rank, arm, MAX_ARM_ATTEMPTS
        )

    async def _hold(self, group: Group, holder: int) -> int | None:
        for _ in range(MAX_HOLD_ATTEMPTS):
            # A hold sent as a pass begins arrives before the next one. Sent at
            # any moment, half of the holds would come too late and be refused.
            state = await self._ranks.wait_for_pass(
                self._scheduler.compute_watch_seconds()
            )
            if state is None or state.epoch != group.epoch:
                return None
            # The process might exit before it releases the pass.
            if self.is_leaving:
                return None
            step = state.step + self._scheduler.select_passes_ahead()
            if await self._execute_on(group, holder, Hold(step), 1):
                return step
            if self.is_fenced:
                return None
        return None

    async def _wait_for_switch(self, group: Group, version: int) -> Change:
        for _ in range(MAX_SWITCH_POLLS):
            state = self._ranks.read_states().get(self._own_rank)
            if state is None or state.epoch != group.epoch:
                return Change.lost_group
            if state.version == version:
                return Change.made
            await self._clock.sleep(SWITCH_POLL_SECONDS)
        # An idle group switches with its next pass.
        return Change.made

    async def _execute_on_all(
        self,
        group: Group,
        ranks: Sequence[int],
        order: Order,
        attempts: int = 1,
    ) -> bool:
        term = Term(self._token, group.epoch)
        pending = tuple(ranks)
        for _ in range(attempts):
            outcomes = await self._fan_out(
                [self._ranks.carry_out(rank, order, term) for rank in pending]
            )
            pending = self._select_failed(pending, outcomes)
            if not pending or self.is_fenced:
                break
        return not pending

    async def _execute_on(
        self, group: Group, rank: int, order: Order, attempts: int
    ) -> bool:
        return await self._execute_on_all(group, (rank,), order, attempts)

    def _select_failed(
        self, ranks: Sequence[int], outcomes: Sequence[Outcome]
    ) -> tuple[int, ...]:
        if any(isinstance(outcome, Fenced) for outcome in outcomes):
            self.is_fenced = True
        return tuple(
            rank
            for rank, outcome in zip(ranks, outcomes, strict=True)
            if not isinstance(outcome, Done)
        )

    def _classify_failure(self, failure: Change) -> Change:
        return Change.fenced if self.is_fenced else failure


def _is_armed(states: Mapping[int, RankState], rank: int) -> bool:
    return rank in states and states[rank].armed is not None


def _is_missing_rank_unarmed(
    group: Group, states: Mapping[int, RankState], others: Sequence[int]
) -> bool:
    """Return whether the unreachable rank is certainly not armed.

    The change must be that of the coordinator on the unreachable host, which
    arms its own rank last. An unarmed holder is no evidence, since a previous
    recovery may have disarmed it.

    :param group: the group.
    :param states: of the reachable ranks.
    :param others: the reachable ranks that hold no pass.
    :returns: also true if no rank is unreachable.
    """
    if group.missing_rank is None:
        return True
    prepared = {states[rank].prepared for rank in group.ranks}
    version = prepared.pop()
    if (
        prepared
        or version is None
        or decode_author(version) != group.missing_rank
    ):
        return False
    return not all(_is_armed(states, rank) for rank in others)
