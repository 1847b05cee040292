"""Prompt parts that an entry suspects of crashing backends."""

from __future__ import annotations

import time
from typing import Any, Final

import curio
import pytest

from ospreyford.direct.beginnings import BEGINNING_SECONDS, AnswerBeginning
from ospreyford.direct.call import Attempt, Call
from ospreyford.direct.catalog import RetryMode
from ospreyford.direct.crashdecisions import RequestBlocked
from ospreyford.direct.prompts import MAX_PARTS, read_shared_parts
from ospreyford.direct.registry import BackendServer, BackendState
from ospreyford.http.message import Request
from ospreyford.suspects.bursts import WINDOW_SECONDS
from ospreyford.suspects.decisions import (
    AMBIGUOUS_TRIAL_SECONDS,
    GROUP_TRIAL_SECONDS,
    OTHER_ENTRY_FACTOR,
)
from tests.direct import backends as be
from tests.direct import test_suspects as single

#: Longer than crashes of one moment are apart.
GAP_SECONDS = 2 * WINDOW_SECONDS
FIELD: Final = be.DIALECT.prompt_parts


class Clock:
    """The steady clock, moved by hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1000.0
        monkeypatch.setattr(time, 'monotonic', lambda: self.now)

    def pass_time(self, seconds: float = GAP_SECONDS) -> None:
        self.now += seconds


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


def make_call(prompt: str, number: int = 0) -> Call:
    call = single.make_call(b'own %d' % number)
    field = f'{prompt}:40,e{number}:9'.replace(' ', ':40,')
    call.request = Request('POST', '/a/x', ((FIELD, field.encode()),))
    return call


class Entry(single.Entry):
    """An entry whose backends are ranks of a group."""

    def crash(self, number: int, *prompts: str) -> None:
        """Lose requests that had just begun on one rank."""
        server = single.SERVER._replace(id=f'i-{number}')
        for place, prompt in enumerate(prompts):
            call = make_call(prompt, 10 * number + place)
            curio.run(self._lose_in_group, call, server)

    async def _lose_in_group(self, call: Call, server: BackendServer) -> None:
        backend = BackendState(server)
        await self.suspects.record_loss(call, backend, in_group=True)

    def tell(self, *others: Entry) -> None:
        report = self.sharing.take_changes()
        assert report is not None
        for other in others:
            other.sharing.merge(report)

    def is_blocked(self, prompt: str, number: int = 999) -> bool:
        return self.suspects.is_blocked(make_call(prompt, number))

    def answer(self, prompt: str, number: int = 998) -> None:
        self.suspects.record_answer(make_call(prompt, number))


#: Shared parts of requests that crashed a rank each, and of sound ones.
PLACES = (
    (('bad', 'bad'), ('c0',)),
    (('bad c0', 'bad c0 4a'), ('c0', '4a')),
    (('c0 bad', 'c1 bad'), ('c0', 'c1')),
    (('c0 bad 4a', 'c0 bad'), ('c0', '4a', 'c0 4a')),
)


@pytest.mark.parametrize(('crashing', 'sound'), PLACES)
def test_a_shared_part_adds_up(
    clock: Clock, crashing: tuple[str, ...], sound: tuple[str, ...]
) -> None:
    """Crashes of requests that are not alike but share a part must add up."""
    entry = Entry()
    for one in sound:
        entry.answer(one)
    for number, prompt in enumerate(crashing):
        clock.pass_time()
        entry.crash(number, prompt)
    assert entry.is_blocked('bad')
    assert entry.is_blocked('other bad')
    assert not any(entry.is_blocked(one) for one in sound)
    assert entry.log.find(RequestBlocked)[0].path == 'prompt part bad'


def test_entries_add_up_what_each_saw(clock: Clock) -> None:
    """Each entry may see one crash only."""
    entries = [Entry() for _ in range(3)]
    for number, entry in enumerate(entries[:2]):
        clock.pass_time()
        entry.crash(number, 'c0 bad')
        entry.tell(*(one for one in entries if one is not entry))
    assert all(one.is_blocked('bad') for one in entries)


def test_answers_of_other_entries_speak_for_a_part(clock: Clock) -> None:
    """A restarted entry must not suspect what others have long answered."""
    entry, other = Entry(), Entry()
    other.answer('c0')
    for number in range(2):
        clock.pass_time()
        entry.crash(number, 'c0')
        entry.tell(other)
        missing = other.sharing.take_changes()
        if missing is not None:
            entry.sharing.merge(missing)
    assert not entry.is_blocked('c0')
    assert not other.is_blocked('c0')


def test_last_part_is_never_suspected(clock: Clock) -> None:
    entry = Entry()
    for number in range(4):
        clock.pass_time()
        entry.crash(number, f'c{number}')
        # Its own last part is the same as before, its body is not.
        assert not entry.is_blocked('x', number=10 * number)


def test_lost_rack_blocks_no_shared_part(clock: Clock) -> None:
    """Ranks lost at one moment must not block what all requests share."""
    entry = Entry()
    for number in range(6):
        entry.crash(number, 'c0', 'c0 4a')
        clock.pass_time(WINDOW_SECONDS / 8)
    assert not entry.is_blocked('c0')
    assert not entry.is_blocked('c0 4a')


def test_equal_suspects_are_told_apart(clock: Clock) -> None:
    """Sound requests with the rare part must soon be served again."""
    entry = Entry()
    for number in range(2):
        clock.pass_time()
        entry.crash(number, 'bad 4a')
    assert entry.is_blocked('4a')
    clock.pass_time(AMBIGUOUS_TRIAL_SECONDS)
    # A request with both parts waits for longer.
    assert entry.is_blocked('bad 4a')
    assert not entry.is_blocked('4a')
    entry.answer('4a')
    assert not entry.is_blocked('4a', number=1)
    assert entry.is_blocked('bad')


def test_crash_tells_equal_suspects_apart(clock: Clock) -> None:
    entry = Entry()
    for number, prompt in enumerate(('bad 4a', 'bad 4a', 'bad 5b')):
        clock.pass_time()
        entry.crash(number, prompt)
    assert entry.is_blocked('bad')
    assert not entry.is_blocked('4a')


def test_trial_reaches_one_backend(clock: Clock) -> None:
    """A trial that was refused must not go on to other backends."""
    entry = Entry()
    for number in range(2):
        clock.pass_time()
        entry.crash(number, 'bad')
    clock.pass_time(GROUP_TRIAL_SECONDS[0])
    call = make_call('bad')
    assert entry.suspects.may_send(call)
    call.attempts.append(Attempt('i-1', 0, 'Refused', is_connected=False))
    # No backend has received it yet.
    assert entry.suspects.may_send(call)
    call.attempts.append(Attempt('i-2', 0, 'Refused'))
    assert not entry.suspects.may_send(call)


def test_trial_at_one_entry_is_none_at_others(clock: Clock) -> None:
    """Entries must not all try a crashing part once its time has come."""
    entries = [Entry() for _ in range(4)]
    for number in range(2):
        clock.pass_time()
        entries[0].crash(number, 'bad')
    entries[0].tell(*entries[1:])
    clock.pass_time(GROUP_TRIAL_SECONDS[0] * OTHER_ENTRY_FACTOR + 1)
    assert entries[1].suspects.may_send(make_call('bad'))
    entries[1].tell(entries[0], *entries[2:])
    assert all(one.is_blocked('bad', number=7) for one in entries)


def test_answered_trial_frees_all_entries(clock: Clock) -> None:
    entry, other = Entry(), Entry()
    for number in range(2):
        clock.pass_time()
        entry.crash(number, 'bad')
    entry.tell(other)
    clock.pass_time(GROUP_TRIAL_SECONDS[0])
    assert entry.suspects.may_send(make_call('bad'))
    entry.answer('bad')
    entry.tell(other)
    assert not other.is_blocked('bad')


async def answer_a_suspect(script: be.Script) -> int:
    site = await be.open_site(be.make_route(RetryMode.once), script)
    suspects = site.context.suspects
    suspects.checker = single.Checker()  # type: ignore[assignment]
    server = single.SERVER._replace(id='i-9')
    call = make_call('bad')
    await suspects.record_loss(call, BackendState(server), in_group=True)
    await site.ask(headers=call.request.headers)
    part = suspects.table.list_all()
    return sum(len(one.list_active()) for one in part if one.is_part)


@pytest.mark.parametrize(('script', 'active'), [(be.answer, 0), (be.fail, 1)])
def test_failures_do_not_speak_for_a_part(
    script: be.Script, active: int
) -> None:
    """A backend that fails has not begun an answer on the part."""
    assert curio.run(answer_a_suspect, script) == active


#: Events of a stream, seconds since its first, and whether it well began.
BEGINNINGS = (
    ((), False),
    (((1, 0.0), (2, BEGINNING_SECONDS)), False),
    (((1, 0.0), (5, BEGINNING_SECONDS / 2)), False),
    (((1, 0.0), (3, 2 * BEGINNING_SECONDS)), True),
)


@pytest.mark.parametrize(('events', 'is_over'), BEGINNINGS)
def test_beginnings(
    clock: Clock, events: tuple[tuple[int, float], ...], is_over: bool
) -> None:
    """A crash after the first events is one of a request that just began."""
    over: list[bool] = []
    cursor = 7
    beginning = AnswerBeginning(cursor, lambda: over.append(True))
    started_at = clock.now
    for event, seconds in events:
        clock.now = started_at + seconds
        beginning.record_events(cursor + event)
        beginning.record_events(cursor + event)
    assert beginning.is_over is is_over
    assert over == [True] * is_over


PROMPTS: Final[tuple[Any, ...]] = (
    ((), []),
    ((b'',), []),
    ((b'a1:40',), []),
    ((b'a1:40,b2:9',), [b'a1']),
    ((b' A1 :40 ,b2:1,c3:9',), [b'a1', b'b2']),
    ((b'a1:40,a1:2,c3:9',), [b'a1']),
    ((b'a1:40', b'b2:3,c3:9'), [b'a1', b'b2']),
    ((b':40,,b2,c3:9',), [b'b2']),
    ((b','.join(b'%x:1' % one for one in range(99)),), None),
)


@pytest.mark.parametrize(('fields', 'parts'), PROMPTS)
def test_shared_parts(
    fields: tuple[bytes, ...], parts: list[bytes] | None
) -> None:
    headers = tuple((FIELD, one) for one in fields)
    found = read_shared_parts(headers, FIELD)
    assert found == parts or (parts is None and len(found) == MAX_PARTS - 1)
