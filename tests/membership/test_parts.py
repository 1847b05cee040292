"""Components of membership in isolation."""

from __future__ import annotations

import random
from functools import partial

import msgspec
import pytest

from ospreyford.membership.attachments import Attachments
from ospreyford.membership.context import MembershipContext, build_context
from ospreyford.membership.counters import MembershipCounters
from ospreyford.membership.digests import Record, compute_bucket
from ospreyford.membership.exchanges import ExchangeHandler
from ospreyford.membership.member import (
    Condition,
    Member,
    MemberState,
    Version,
    generate_incarnation,
)
from ospreyford.membership.messages import (
    Change,
    Exchange,
    MalformedMessage,
    decode_version,
)
from ospreyford.membership.pauses import PauseDetector
from ospreyford.membership.rings import Rings
from ospreyford.membership.settings import MembershipSettings
from ospreyford.membership.suspicions import Suspicions
from ospreyford.membership.targets import TargetSelector


class ManualClock:
    """A clock advanced by the test."""

    def __init__(self) -> None:
        self.now: float = 1000

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError


def make_member(name: str, zone: str = 'a', incarnation: str = '1') -> Member:
    address = f'{name}:1'
    return Member(
        name, 'i', 'entry', zone, 'r', 's', address, address, incarnation
    )


def make_context(
    clock: ManualClock, count: int, settings: MembershipSettings | None = None
) -> MembershipContext:
    context = build_context(
        settings or MembershipSettings(),
        make_member('me'),
        clock,
        random.Random(1),
    )
    for number in range(count):
        context.view.merge(
            f'h{number}', Version('1'), make_member(f'h{number}')
        )
    return context


def get_record(context: MembershipContext, name: str) -> Record:
    record = context.view.find(name)
    assert record is not None
    return record


def test_refutation_received_during_a_probe_cancels_suspicion() -> None:
    """A failed probe must not count against a version received meanwhile."""
    context = make_context(ManualClock(), 2)
    suspicions = Suspicions(context, TargetSelector(context))
    before = get_record(context, 'h0')
    context.view.merge('h0', Version('1', counter=1))
    suspicions.suspect(before, before.version)
    assert get_record(context, 'h0').state is MemberState.live
    suspicions.suspect(get_record(context, 'h0'), Version('1', counter=1))
    assert get_record(context, 'h0').state is MemberState.suspect


def test_probe_started_before_a_pause_does_not_count() -> None:
    clock = ManualClock()
    detector = PauseDetector(clock, 4)
    detector.record_response('h0', detector.pause_count)
    assert not detector.is_stale(1)
    pause_count = detector.pause_count
    clock.now += 60
    assert detector.is_stale(1)
    detector.record_response('h0', pause_count)
    assert detector.is_stale(1)
    detector.record_response('h0', detector.pause_count)
    assert not detector.is_stale(1)


def test_dead_members_leave_digests_before_they_are_forgotten() -> None:
    """Forgotten members must not be reintroduced by other processes."""
    clock = ManualClock()
    context = make_context(clock, 1, MembershipSettings(forget_seconds=100))
    suspicions = Suspicions(context, TargetSelector(context))
    dead = Version('1', condition=Condition.dead)
    context.view.merge('h0', dead)
    clock.now += 40
    described = context.describe(get_record(context, 'h0'))
    assert described.dead_seconds == 40
    other = make_context(clock, 0, MembershipSettings(forget_seconds=100))
    other.merge_description(described)
    assert get_record(other, 'h0').since == get_record(context, 'h0').since
    for elapsed, is_known, is_shared in (
        (9, True, True),
        (2, True, False),
        (48, True, False),
        (3, False, False),
    ):
        clock.now += elapsed
        suspicions.forget_dead()
        record = context.view.find('h0')
        assert (record is not None) is is_known
        assert (record is not None and record.is_in_digests) is is_shared


@pytest.mark.parametrize('change_bytes', [160, 480])
def test_message_size_is_bounded_during_mass_changes(change_bytes: int) -> None:
    """Message size must not grow with the number of changes."""
    settings = MembershipSettings(change_bytes=change_bytes)
    context = make_context(ManualClock(), 500, settings)
    context.attachments.register('load', lambda: bytes(90), lambda _a, _b: None)
    context.attachments.register('mark', lambda: bytes(90), lambda _a, _b: None)
    exchanges = ExchangeHandler(context)
    for _ in range(200 * 160 // change_bytes):
        exchange = exchanges.build_exchange(
            get_record(context, 'h1'), introduce=True
        )
        assert len(msgspec.msgpack.encode(exchange)) < 340 + change_bytes
    assert len(context.gossip) > 100


def test_changes_are_sent_a_bounded_number_of_times() -> None:
    context = make_context(ManualClock(), 20)
    exchanges = ExchangeHandler(context)
    sent = 0
    while len(context.gossip):
        exchange = exchanges.build_exchange(None, introduce=False)
        sent += len(exchange.changes) + len(exchange.descriptions)
    assert sent == 21 * context.settings.retransmit * 2


def test_new_changes_are_sent_before_queued_ones() -> None:
    """New changes must not wait behind members learned at a start."""
    settings = MembershipSettings(change_bytes=160)
    context = make_context(ManualClock(), 2000, settings)
    exchanges = ExchangeHandler(context)
    for _ in range(20):
        exchanges.build_exchange(None, introduce=False)
    suspected = Version('1', condition=Condition.suspect)
    context.view.merge('h3', suspected)
    messages = [
        exchanges.build_exchange(None, introduce=False) for _ in range(300)
    ]
    sent_names = [
        {change.name for change in message.changes}
        | {described.name for described in message.descriptions}
        for message in messages
    ]
    assert 'h3' in sent_names[0]
    assert sum('h3' in names for names in sent_names) >= 2
    assert len(context.gossip) > 100


def test_attachments_rotate() -> None:
    counters = MembershipCounters()
    attachments = Attachments(100, counters)
    received: list[tuple[str, bytes]] = []

    def consume(address: str, content: bytes) -> None:
        received.append((address, content))

    sizes = {'a': 60, 'b': 60, 'c': 10, 'd': 0, 'e': 99}
    for name, size in sizes.items():
        attachments.register(name, partial(bytes, size), consume)
    rounds = [[name for name, _ in attachments.collect()] for _ in range(3)]
    assert rounds == [['a', 'c'], ['b', 'c'], ['a', 'c']]
    assert counters.oversized_attachments == 3
    attachments.dispatch('x:1', [('a', b'1'), ('unknown', b'2')])
    assert received == [('x:1', b'1')]


@pytest.mark.parametrize('count', [1, 5, 300])
def test_every_member_is_probed_by_a_neighbour(count: int) -> None:
    """Every member must be the successor of some other member."""
    names = [f'h{number}' for number in range(count)] + ['me']
    probed: set[str] = set()
    for name in names:
        context = build_context(
            MembershipSettings(),
            make_member(name),
            ManualClock(),
            random.Random(1),
        )
        for other in names:
            context.view.merge(other, Version('1'), make_member(other))
        rings = Rings(context.view, 1)
        probed.update(near.member.name for near in rings.list_neighbours())
    assert probed == set(names)


IMPOSSIBLE = ((-1, 0), (0, 3), (0, -1))


@pytest.mark.parametrize(('counter', 'flags'), IMPOSSIBLE)
def test_impossible_versions_are_refused(counter: int, flags: int) -> None:
    with pytest.raises(MalformedMessage):
        decode_version('1', counter, flags)


def test_change_of_an_unknown_incarnation_triggers_repair() -> None:
    """A change received before its description must not be lost."""
    context = make_context(ManualClock(), 3)
    exchanges = ExchangeHandler(context)
    exchange = Exchange(
        sender=Change('h1', '1', 0, 0),
        receiver=None,
        introduction=None,
        changes=[Change('h2', '2', 0, 0)],
        descriptions=[],
        zone='nowhere',
        digest=0,
        attachments=[],
    )
    exchanges.handle_exchange(exchange)
    bucket = compute_bucket(make_member('h2'))
    assert exchanges.differing_buckets == {bucket: make_member('h1')}


def test_incarnations_grow_with_time() -> None:
    clock = ManualClock()
    rng = random.Random(1)
    earlier = generate_incarnation(clock, rng)
    clock.now += 0.002
    assert generate_incarnation(clock, rng) > earlier


def test_pause_must_exceed_ordinary_waits() -> None:
    with pytest.raises(msgspec.ValidationError, match='pause_seconds'):
        msgspec.convert({'period_seconds': 3}, MembershipSettings)
