"""Each guard of a member alone, by the message that it is there for."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

import pytest

from ospreyford.expertmap.maps import ExpertMap, MapName
from ospreyford.expertmap.messages import (
    Accepted,
    Response,
    Busy,
    Extend,
    Install,
    Installed,
    Prepare,
    Promise,
    Request,
    Refused,
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


def window(index: int, name: MapName | None = None) -> Window:
    return Window(
        index=index,
        first_step=index * 4 + 1,
        last_step=index * 4 + 4,
        map_name=name or FIRST.name(),
    )


def extend(
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
        proposed=proposed or window(2),
        members=members,
    )


class Member:
    """A keeper in generation 1 that voted for window 1 and runs window 0."""

    def __init__(self) -> None:
        self.group = Group(1, None, wall=False)
        self.process = self.group.processes[0]
        # The agent halts its engine; its own turn to lead never comes.
        self.group.finish_order(self.group.parked('order')[0], 'applied')
        self.keeper = self.process.service.acceptor
        incarnation = self.keeper.incarnation
        self.tell(Install(FIRST.name(), FIRST))
        self.tell(Install(FIRST.name(), FIRST))
        self.tell(Prepare(GENERATION))
        self.tell(extend(proposed=window(0), members=(incarnation,)))
        self.tell(extend(released=window(0), proposed=window(1)))

    def tell(self, question: Request) -> Response | None:
        task = self.process.spawn(self.keeper.handle(encode(question)))
        while not task.done:
            self.group.finish_order(task, 'applied')
        return decode_response(task.answer)

    def state(self) -> tuple[Any, ...]:
        promise = self.keeper._handle_prepare(self.keeper.promised)
        return promise, list(self.process.engine.grants)


def test_member_set_up_grants_one_window() -> None:
    member = Member()
    assert member.keeper.released == window(0)
    assert member.process.engine.granted_step == 4


@pytest.mark.parametrize(
    ('promised', 'question', 'answer'),
    [
        (LATER, Prepare(GENERATION), Refused(LATER)),
        (LATER, extend(released=window(1)), Refused(LATER)),
        # Of a generation that this member never joined.
        (LATER, extend(LATER, HIGHEST, window(1)), Refused(LATER)),
        # Formed with an incarnation that isn't this member's.
        (LATER, extend(LATER, LATER, None, None, (77,)), Refused(LATER)),
        # A generation is formed under its own ballot only.
        (LATER, extend(LATER, HIGHEST, None, None, (1,)), Refused(LATER)),
        # A generation that already runs isn't one to join.
        (LATER, extend(LATER, LATER, window(1), None, (1,)), Refused(LATER)),
        # The engine hasn't loaded the map.
        (
            GENERATION,
            extend(proposed=window(2, SECOND.name())),
            Installed(held=False, loaded=False),
        ),
        # A duplicate that comes late.
        (GENERATION, extend(proposed=window(0)), None),
    ],
)
def test_late_or_foreign_message_changes_nothing(
    promised: Ballot, question: Request, answer: Response | None
) -> None:
    """Symptom: a member runs steps for a coordinator that was replaced.

    Sequence: the member promised a later ballot, or lost its memory; then a
    message of an earlier coordinator arrives. Cause: it is taken as new.
    """
    member = Member()
    assert isinstance(member.tell(Prepare(promised)), Promise)
    before = member.state()
    assert member.tell(question) == answer
    assert member.state() == before


def test_promise_made_during_halt_is_kept() -> None:
    """Symptom: a member joins a generation whose coordinator was outbid.

    Sequence: it is asked to join; while its engine is slow to halt, another
    coordinator asks for a higher ballot. Cause: no second look after it.
    """
    member = Member()
    member.tell(Prepare(LATER))
    join = extend(LATER, LATER, members=(member.keeper.incarnation,))
    task = member.process.spawn(member.keeper.handle(encode(join)))
    assert isinstance(member.tell(Prepare(HIGHEST)), Promise)
    member.group.finish_order(task, 'applied')
    assert decode_response(task.answer) == Refused(HIGHEST)


def test_halt_waits_for_the_order_under_way() -> None:
    """Symptom: an engine that ignores fencing runs on after its halt.

    Sequence: a grant is slow on its way, the halt overtakes it. Cause: two
    orders to one engine at once.
    """
    member = Member()
    grant = extend(released=window(1), proposed=window(2))
    granting = member.process.spawn(member.keeper.handle(encode(grant)))
    assert granting.waiting and isinstance(granting.waiting.note, Order)
    member.tell(Prepare(LATER))
    join = extend(LATER, LATER, members=(member.keeper.incarnation,))
    assert member.tell(join) == Busy()
    member.group.finish_order(granting, 'applied')
    assert isinstance(member.tell(join), Accepted)
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


OLD_VOTE = Vote(ballot=GENERATION, window=window(1))
NEW_VOTE = Vote(ballot=LATER, window=window(1, SECOND.name()))
RUNNING = promise(GENERATION, window(0), OLD_VOTE, 8)


@pytest.mark.parametrize(
    ('promises', 'generation', 'released', 'forced', 'first_step'),
    [
        # What may have been chosen is proposed again, the latest vote first.
        ((RUNNING, RUNNING), GENERATION, window(0), OLD_VOTE.window, 9),
        (
            (RUNNING, promise(GENERATION, window(0), NEW_VOTE, 8), RUNNING),
            GENERATION,
            window(0),
            NEW_VOTE.window,
            9,
        ),
        # A vote for what is chosen already forces nothing.
        (
            (RUNNING, promise(GENERATION, window(1), OLD_VOTE, 8)),
            GENERATION,
            window(1),
            None,
            9,
        ),
        # One lost its memory, or joined elsewhere: a new generation, above
        # every step that any of them may have been granted.
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
    """Symptom: a new coordinator gives steps a map that others ran without.

    Sequence: the old one had a window accepted by all, or was about to.
    Cause: the new one proposes its own instead.
    """
    state = recover(HIGHEST, promises)
    assert state.generation == generation
    assert (state.released, state.forced) == (released, forced)
    assert state.first_step == first_step


def start_group(wall: bool = False) -> Group:
    group = Group(3, None, wall)
    group.processes[0].service.propose(FIRST)
    group.flow(300)
    return group


def run_dry(engine: FakeEngine) -> None:
    for _ in range(50):
        engine.run_step()


def test_silence_stops_every_engine_at_its_grant() -> None:
    """Symptom: ranks go on guessing while nobody coordinates.

    Sequence: every agent is paused. Cause: a grant without an end.
    """
    group = start_group()
    for process in group.processes:
        process.paused = True
        run_dry(process.engine)
        released = process.service.acceptor.released
        assert released and process.engine.step == released.last_step


@pytest.mark.parametrize('lost', [0, 1, 2])
def test_no_step_beyond_what_the_cut_off_member_accepted(lost: int) -> None:
    """Symptom: a part of the group changes its map and the rest does not.

    Sequence: a partition goes through the group. Cause: counting a majority
    instead of everyone.
    """
    group = start_group()
    group.cuts = {frozenset((lost, other)) for other in range(3)}
    group.flow(300)
    accepted = group.processes[lost].floor
    assert all(engine.step <= accepted for engine in group.engines)


def test_restarted_agent_stands_its_engine() -> None:
    """Symptom: an engine runs under grants that its agent knows nothing of.

    Sequence: the agent is killed, its successor starts beside the engine.
    Cause: the successor leaves the engine as it found it.
    """
    group = start_group()
    old = group.processes[1]
    old.engine.step -= 1
    group.kill(old)
    group.replace(old, old.engine, old.address)
    for order in group.parked('order'):
        group.finish_order(order, 'applied')
    assert not old.engine.run_step()


def test_engines_remember_for_agents_that_all_died() -> None:
    """Symptom: steps run twice, with two maps.

    Sequence: all agents die at once, engines live on, one of them some
    granted steps behind; a new map comes. Cause: the new agents number
    steps as if nothing had run.
    """
    group = start_group()
    group.engines[2].step -= 2
    for old in list(group.processes):
        group.kill(old)
        group.replace(old, old.engine, old.address)
    group.members()[0].service.propose(SECOND)
    group.flow(400)
    assert group.referee.maps[max(group.referee.maps)] == SECOND.name()


def test_superseded_agent_ends() -> None:
    """Symptom: two agents order one engine in turns.

    Sequence: an agent is paused, another starts beside the same engine, the
    first wakes. Cause: it takes a refused order for a lost one.
    """
    group = start_group()
    old = group.processes[2]
    old.paused = True
    group.replace(old, old.engine, 'elsewhere')
    group.flow(400)
    old.paused = False
    grant_again(group, old)
    group.flow(100)
    assert not old.alive


def grant_again(group: Group, process: Process) -> None:
    released = process.service.acceptor.released
    assert released is not None
    process.service.acceptor.engine.enqueue(1, released)


def run_at_once(coro: Coroutine[Any, Any, Any]) -> Any:
    with pytest.raises(StopIteration) as stop:
        coro.send(None)
    return stop.value.value


@pytest.mark.parametrize('body', [b'', b'\xc1', b'\x92\x03', b'\x91\x63'])
def test_malformed_question_gets_no_answer(body: bytes) -> None:
    member = Member()
    assert run_at_once(member.keeper.handle(body)) is None


def test_maps_of_one_revision_differ_by_content() -> None:
    other = ExpertMap(revision=1, layers=(((1,), (0,)),))
    assert other.name() != FIRST.name()
