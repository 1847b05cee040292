"""Tests of the checks that a member makes on each message."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

import pytest

from ospreyford.expertmap.maps import ExpertMap, MapName
from ospreyford.expertmap.messages import (
    Accepted,
    Busy,
    Extend,
    Install,
    Installed,
    Prepare,
    Promise,
    Refused,
    Request,
    Response,
    decode_response,
    encode,
)
from ospreyford.expertmap.recovery import recover
from ospreyford.expertmap.windows import NO_BALLOT, Ballot, Vote, Window
from tests.expertmap.engines import FakeEngine
from tests.expertmap.group import Group, Order, Process

FIRST = ExpertMap(revision=1, layers=(((0,), (1,)),))
SECOND = ExpertMap(revision=2, layers=(((1,), (0,)),))
GENERATION = Ballot(number=1, incarnation=50)
LATER = Ballot(number=3, incarnation=9)
HIGHEST = Ballot(number=4, incarnation=9)


def make_window(index: int, name: MapName | None = None) -> Window:
    return Window(
        index=index,
        first_step=index * 4 + 1,
        last_step=index * 4 + 4,
        map_name=name or FIRST.name(),
    )


def make_extend(
    ballot: Ballot = GENERATION,
    generation: Ballot = GENERATION,
    released: Window | None = None,
    proposed: Window | None = None,
    members: tuple[int, ...] = (),
) -> Extend:
    return Extend(
        ballot=ballot,
        generation=generation,
        released=released,
        proposed=proposed or make_window(2),
        members=members,
    )


class Member:
    """An acceptor that voted for window 1 and runs window 0."""

    def __init__(self) -> None:
        self.group = Group(1, None, wall=False)
        self.process = self.group.processes[0]
        # The agent halts its engine and never leads.
        self.group.finish_order(self.group.parked('order')[0], 'applied')
        self.acceptor = self.process.service.acceptor
        incarnation = self.acceptor.incarnation
        self.send(Install(FIRST.name(), FIRST))
        self.send(Install(FIRST.name(), FIRST))
        self.send(Prepare(GENERATION))
        self.send(make_extend(proposed=make_window(0), members=(incarnation,)))
        self.send(make_extend(released=make_window(0), proposed=make_window(1)))

    def send(self, request: Request) -> Response | None:
        task = self.process.spawn(self.acceptor.handle_request(encode(request)))
        while not task.done:
            self.group.finish_order(task, 'applied')
        return decode_response(task.answer)

    def read_state(self) -> tuple[Any, ...]:
        make_promise = self.acceptor._handle_prepare(self.acceptor.promised)
        return make_promise, list(self.process.engine.grants)


def test_member_set_up_grants_one_window() -> None:
    member = Member()
    assert member.acceptor.released == make_window(0)
    assert member.process.engine.granted_step == 4


@pytest.mark.parametrize(
    ('promised', 'message', 'response'),
    [
        (LATER, Prepare(GENERATION), Refused(LATER)),
        (LATER, make_extend(released=make_window(1)), Refused(LATER)),
        # Generation that this member never joined.
        (LATER, make_extend(LATER, HIGHEST, make_window(1)), Refused(LATER)),
        # Generation formed with another incarnation.
        (LATER, make_extend(LATER, LATER, None, None, (77,)), Refused(LATER)),
        # Generation formed under another ballot.
        (LATER, make_extend(LATER, HIGHEST, None, None, (1,)), Refused(LATER)),
        # Generation that is already running.
        (
            LATER,
            make_extend(LATER, LATER, make_window(1), None, (1,)),
            Refused(LATER),
        ),
        # Map that the engine has not loaded.
        (
            GENERATION,
            make_extend(proposed=make_window(2, SECOND.name())),
            Installed(held=False, loaded=False),
        ),
        # Delayed duplicate.
        (GENERATION, make_extend(proposed=make_window(0)), None),
    ],
)
def test_late_or_foreign_message_changes_nothing(
    promised: Ballot, message: Request, response: Response | None
) -> None:
    """A member must not obey a preempted or unknown coordinator."""
    member = Member()
    assert isinstance(member.send(Prepare(promised)), Promise)
    before = member.read_state()
    assert member.send(message) == response
    assert member.read_state() == before


def test_promise_made_during_halt_is_kept() -> None:
    """A member must not join a generation that a later promise forbids."""
    member = Member()
    member.send(Prepare(LATER))
    request = make_extend(LATER, LATER, members=(member.acceptor.incarnation,))
    task = member.process.spawn(member.acceptor.handle_request(encode(request)))
    assert isinstance(member.send(Prepare(HIGHEST)), Promise)
    member.group.finish_order(task, 'applied')
    assert decode_response(task.answer) == Refused(HIGHEST)


def test_halt_waits_for_pending_order() -> None:
    """A halt must not overtake a grant, as engines may ignore fencing."""
    member = Member()
    grant = make_extend(released=make_window(1), proposed=make_window(2))
    granting = member.process.spawn(
        member.acceptor.handle_request(encode(grant))
    )
    assert granting.waiting and isinstance(granting.waiting.note, Order)
    member.send(Prepare(LATER))
    request = make_extend(LATER, LATER, members=(member.acceptor.incarnation,))
    assert member.send(request) == Busy()
    member.group.finish_order(granting, 'applied')
    assert isinstance(member.send(request), Accepted)
    assert not member.process.engine.grants


def promise(
    generation: Ballot,
    released: Window | None = None,
    vote: Vote | None = None,
    floor: int = 0,
) -> Promise:
    return Promise(
        ballot=HIGHEST,
        incarnation=1,
        generation=generation,
        released=released,
        vote=vote,
        highest_step=floor,
        newest=SECOND.name(),
    )


OLD_VOTE = Vote(ballot=GENERATION, window=make_window(1))
NEW_VOTE = Vote(ballot=LATER, window=make_window(1, SECOND.name()))
RUNNING = promise(GENERATION, make_window(0), OLD_VOTE, 8)


@pytest.mark.parametrize(
    ('promises', 'generation', 'released', 'forced', 'first_step'),
    [
        # The latest vote may have been chosen and is proposed again.
        ((RUNNING, RUNNING), GENERATION, make_window(0), OLD_VOTE.window, 9),
        (
            (
                RUNNING,
                promise(GENERATION, make_window(0), NEW_VOTE, 8),
                RUNNING,
            ),
            GENERATION,
            make_window(0),
            NEW_VOTE.window,
            9,
        ),
        # A vote for a released window forces nothing.
        (
            (RUNNING, promise(GENERATION, make_window(1), OLD_VOTE, 8)),
            GENERATION,
            make_window(1),
            None,
            9,
        ),
        # Different generations: a new one starts above all granted steps.
        ((RUNNING, promise(NO_BALLOT)), HIGHEST, None, None, 9),
        ((promise(NO_BALLOT), RUNNING), HIGHEST, None, None, 9),
        ((promise(LATER, floor=30), RUNNING), HIGHEST, None, None, 31),
        ((promise(NO_BALLOT), promise(NO_BALLOT)), HIGHEST, None, None, 1),
    ],
)
def test_recovery(
    promises: tuple[Promise, ...],
    generation: Ballot,
    released: Window | None,
    forced: Window | None,
    first_step: int,
) -> None:
    """A new coordinator must not replace a window that may be chosen."""
    state = recover(HIGHEST, promises)
    assert state.generation == generation
    assert (state.released, state.forced) == (released, forced)
    assert state.first_step == first_step


def start_group(wall: bool = False) -> Group:
    group = Group(3, None, wall)
    group.processes[0].service.propose(FIRST)
    group.run_events(300)
    return group


def run_granted_steps(engine: FakeEngine) -> None:
    for _ in range(50):
        engine.run_step()


def test_engines_stop_at_end_of_grant() -> None:
    """Engines must not run past their grants while agents are paused."""
    group = start_group()
    for process in group.processes:
        process.paused = True
        run_granted_steps(process.engine)
        released = process.service.acceptor.released
        assert released and process.engine.step == released.last_step


@pytest.mark.parametrize('lost', [0, 1, 2])
def test_no_step_beyond_partitioned_members_vote(lost: int) -> None:
    """A majority must not change maps without a partitioned member."""
    group = start_group()
    group.partitions = {frozenset((lost, other)) for other in range(3)}
    group.run_events(300)
    accepted = group.processes[lost].highest_step
    assert all(engine.step <= accepted for engine in group.engines)


def test_restarted_agent_halts_its_engine() -> None:
    """An engine must not run grants unknown to its new agent."""
    group = start_group()
    old = group.processes[1]
    old.engine.step -= 1
    group.kill(old)
    group.replace(old, old.engine, old.address)
    for order in group.parked('order'):
        group.finish_order(order, 'applied')
    assert not old.engine.run_step()


def test_steps_continue_after_all_agents_restart() -> None:
    """New agents must not reuse steps that engines have already run."""
    group = start_group()
    group.engines[2].step -= 2
    for old in list(group.processes):
        group.kill(old)
        group.replace(old, old.engine, old.address)
    group.members()[0].service.propose(SECOND)
    group.run_events(400)
    assert group.checker.maps[max(group.checker.maps)] == SECOND.name()


def test_superseded_agent_exits() -> None:
    """A resumed agent must not compete with its successor."""
    group = start_group()
    old = group.processes[2]
    old.paused = True
    group.replace(old, old.engine, 'elsewhere')
    group.run_events(400)
    old.paused = False
    enqueue_released_window(group, old)
    group.run_events(100)
    assert not old.alive


def enqueue_released_window(group: Group, process: Process) -> None:
    released = process.service.acceptor.released
    assert released is not None
    process.service.acceptor.engine.enqueue(1, released)


def run_to_completion(coro: Coroutine[Any, Any, Any]) -> Any:
    with pytest.raises(StopIteration) as stop:
        coro.send(None)
    return stop.value.value


@pytest.mark.parametrize('body', [b'', b'\xc1', b'\x92\x03', b'\x91\x63'])
def test_malformed_request_gets_no_response(body: bytes) -> None:
    member = Member()
    assert run_to_completion(member.acceptor.handle_request(body)) is None


def test_maps_of_one_revision_differ_by_content() -> None:
    other = ExpertMap(revision=1, layers=(((1,), (0,)),))
    assert other.name() != FIRST.name()
