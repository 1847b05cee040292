from __future__ import annotations

import random
from functools import partial

import msgspec
import pytest

from ospreyford.membership.attachments import Attachments
from ospreyford.membership.counters import MembershipCounters
from ospreyford.membership.digests import Record, bucket_of
from ospreyford.membership.exchanges import Exchanges
from ospreyford.membership.member import (
    Condition,
    Member,
    MemberState,
    Version,
    new_incarnation,
)
from ospreyford.membership.messages import (
    Change,
    Exchange,
    MalformedMessage,
    read_version,
)
from ospreyford.membership.pulse import Pulse
from ospreyford.membership.rings import Rings
from ospreyford.membership.settings import MembershipSettings
from ospreyford.membership.suspicions import Suspicions
from ospreyford.membership.tables import Tables, build_tables
from ospreyford.membership.targets import Targets


class HandClock:
    """A clock that the test turns."""

    def __init__(self) -> None:
        self.now: float = 1000

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError


def member(name: str, zone: str = 'a', incarnation: str = '1') -> Member:
    address = f'{name}:1'
    return Member(
        name, 'i', 'entry', zone, 'r', 's', address, address, incarnation
    )


def tables_of(
    clock: HandClock, count: int, settings: MembershipSettings | None = None
) -> Tables:
    tables = build_tables(
        settings or MembershipSettings(),
        member('me'),
        clock,
        random.Random(1),
    )
    for number in range(count):
        tables.view.merge(f'h{number}', Version('1'), member(f'h{number}'))
    return tables


def record_of(tables: Tables, name: str) -> Record:
    record = tables.view.find(name)
    assert record is not None
    return record


def test_refutation_heard_during_a_probe_counts() -> None:
    """Symptom: a member that just refuted is suspected anew.

    Sequence: a probe is lost; while it is waited for, the member's newer
    version arrives; then the probe fails.
    Cause: the failed probe counted against the newer version.
    """
    tables = tables_of(HandClock(), 2)
    suspicions = Suspicions(tables, Targets(tables))
    before = record_of(tables, 'h0')
    tables.view.merge('h0', Version('1', counter=1))
    suspicions.suspect(before, before.version)
    assert record_of(tables, 'h0').state is MemberState.live
    suspicions.suspect(record_of(tables, 'h0'), Version('1', counter=1))
    assert record_of(tables, 'h0').state is MemberState.suspect


def test_probe_from_before_a_pause_proves_nothing() -> None:
    clock = HandClock()
    pulse = Pulse(clock, 4)
    pulse.note_proof('h0', pulse.wakes)
    assert not pulse.is_stale(1)
    wakes = pulse.wakes
    clock.now += 60
    assert pulse.is_stale(1)
    pulse.note_proof('h0', wakes)
    assert pulse.is_stale(1)
    pulse.note_proof('h0', pulse.wakes)
    assert not pulse.is_stale(1)


def test_the_dead_are_told_of_then_kept_then_forgotten() -> None:
    """Symptom: members long gone come back from others' memory, for ever.

    Sequence: one process forgets a dead member, another tells it again.
    Cause: telling for as long as remembering; ages counted anew each time.
    """
    clock = HandClock()
    tables = tables_of(clock, 1, MembershipSettings(forget_seconds=100))
    suspicions = Suspicions(tables, Targets(tables))
    dead = Version('1', condition=Condition.dead)
    tables.view.merge('h0', dead)
    clock.now += 40
    described = tables.describe(record_of(tables, 'h0'))
    assert described.dead_seconds == 40
    other = tables_of(clock, 0, MembershipSettings(forget_seconds=100))
    other.merge_description(described)
    assert record_of(other, 'h0').since == record_of(tables, 'h0').since
    for elapsed, is_known, is_shared in (
        (9, True, True),
        (2, True, False),
        (48, True, False),
        (3, False, False),
    ):
        clock.now += elapsed
        suspicions.sweep()
        record = tables.view.find('h0')
        assert (record is not None) is is_known
        assert (record is not None and record.is_shared) is is_shared


@pytest.mark.parametrize('change_bytes', [160, 480])
def test_messages_stay_small_in_a_storm(change_bytes: int) -> None:
    """Symptom: control traffic grows with the number of changes.

    Sequence: hundreds of members change at once.
    Cause: all changes put into each message.
    """
    settings = MembershipSettings(change_bytes=change_bytes)
    tables = tables_of(HandClock(), 500, settings)
    tables.attachments.attach('load', lambda: bytes(90), lambda _a, _b: None)
    tables.attachments.attach('mark', lambda: bytes(90), lambda _a, _b: None)
    exchanges = Exchanges(tables)
    for _ in range(200 * 160 // change_bytes):
        exchange = exchanges.compose(record_of(tables, 'h1'), introduce=True)
        assert len(msgspec.msgpack.encode(exchange)) < 340 + change_bytes
    assert len(tables.gossip) > 100


def test_changes_are_passed_on_a_bounded_number_of_times() -> None:
    tables = tables_of(HandClock(), 20)
    exchanges = Exchanges(tables)
    told = 0
    while len(tables.gossip):
        exchange = exchanges.compose(None, introduce=False)
        told += len(exchange.changes) + len(exchange.descriptions)
    assert told == 21 * tables.settings.retransmit * 2


def test_news_do_not_wait_behind_thousands() -> None:
    """Symptom: after a start of everybody, changes are seen minutes late.

    Sequence: a process learns thousands of members, and passes each of them
    on; then one of them changes.
    Cause: what was learned first was passed on first, all of it.
    """
    settings = MembershipSettings(change_bytes=160)
    tables = tables_of(HandClock(), 2000, settings)
    exchanges = Exchanges(tables)
    for _ in range(20):
        exchanges.compose(None, introduce=False)
    suspected = Version('1', condition=Condition.suspect)
    tables.view.merge('h3', suspected)
    messages = [exchanges.compose(None, introduce=False) for _ in range(300)]
    told = [
        {change.name for change in message.changes}
        | {described.name for described in message.descriptions}
        for message in messages
    ]
    assert 'h3' in told[0]
    assert sum('h3' in names for names in told) >= 2
    assert len(tables.gossip) > 100


def test_attachments_take_turns() -> None:
    counters = MembershipCounters()
    attachments = Attachments(100, counters)
    heard: list[tuple[str, bytes]] = []

    def consume(address: str, content: bytes) -> None:
        heard.append((address, content))

    sizes = {'a': 60, 'b': 60, 'c': 10, 'd': 0, 'e': 99}
    for name, size in sizes.items():
        attachments.attach(name, partial(bytes, size), consume)
    rounds = [[name for name, _ in attachments.collect()] for _ in range(3)]
    assert rounds == [['a', 'c'], ['b', 'c'], ['a', 'c']]
    assert counters.oversized_attachments == 3
    attachments.hand_out('x:1', [('a', b'1'), ('unknown', b'2')])
    assert heard == [('x:1', b'1')]


@pytest.mark.parametrize('count', [1, 5, 300])
def test_every_member_is_watched(count: int) -> None:
    """Symptom: a dead member that nobody ever probes.

    Sequence: members choose their targets independently of each other.
    Cause: chance leaves some member without a watcher.
    """
    names = [f'h{number}' for number in range(count)] + ['me']
    watched: set[str] = set()
    for name in names:
        tables = build_tables(
            MembershipSettings(), member(name), HandClock(), random.Random(1)
        )
        for other in names:
            tables.view.merge(other, Version('1'), member(other))
        rings = Rings(tables.view, 1)
        watched.update(near.member.name for near in rings.neighbours())
    assert watched == set(names)


IMPOSSIBLE = ((-1, 0), (0, 3), (0, -1))


@pytest.mark.parametrize(('counter', 'flags'), IMPOSSIBLE)
def test_impossible_versions_are_refused(counter: int, flags: int) -> None:
    with pytest.raises(MalformedMessage):
        read_version('1', counter, flags)


def test_news_of_an_unknown_incarnation_leads_to_a_repair() -> None:
    """Symptom: a restarted member stays unknown for long.

    Sequence: its first change is heard before its description.
    Cause: a change that can't be applied is dropped without a trace.
    """
    tables = tables_of(HandClock(), 3)
    exchanges = Exchanges(tables)
    news = Exchange(
        sender=Change('h1', '1', 0, 0),
        about=None,
        introduction=None,
        changes=[Change('h2', '2', 0, 0)],
        descriptions=[],
        zone='nowhere',
        digest=0,
        attached=[],
    )
    exchanges.absorb(news)
    bucket = bucket_of(member('h2'))
    assert exchanges.differing == {bucket: member('h1')}


def test_incarnations_grow_with_time() -> None:
    clock = HandClock()
    rng = random.Random(1)
    earlier = new_incarnation(clock, rng)
    clock.now += 0.002
    assert new_incarnation(clock, rng) > earlier


def test_pause_must_exceed_ordinary_waits() -> None:
    with pytest.raises(msgspec.ValidationError, match='pause_seconds'):
        msgspec.convert({'period_seconds': 3}, MembershipSettings)
