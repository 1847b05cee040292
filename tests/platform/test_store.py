"""The client of the store and the feed that follows it."""

from __future__ import annotations

from typing import Any

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.direct.context import EntryContext
from ospreyford.direct.decisions import (
    CatalogRefused,
    RegistrationRefused,
    StoreLost,
    StoreRegained,
)
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.direct.updates import StateUpdater
from ospreyford.platform.errors import (
    BadRecord,
    HistoryGone,
    PlatformError,
    StoreUnavailable,
)
from ospreyford.platform.feed import WATCH_PART, StoreFeed
from ospreyford.platform.store import Store
from tests.direct.backends import DIALECT, SETTINGS, RecordingLog
from tests.platform.storefake import (
    FakeStore,
    make_config,
    make_registration,
)

#: Some watches' time in a test, in seconds.
REVOKE_SECONDS = 0.5


async def read_all(fake: FakeStore) -> Any:
    store = Store(await fake.open())
    one = await store.get('op/config')
    none = await store.get('op/other')
    many = await store.list_prefix('servers/')
    return one, none, many


def test_values_and_pages() -> None:
    fake = FakeStore()
    fake.put('op/config', b'\x00\xff')
    for number in range(5):
        fake.put(f'servers/{number}', b'x')
    one, none, many = curio.run(read_all, fake)
    assert one.items[0].raw == b'\x00\xff'
    assert one.revision == fake.revision
    assert not none.items
    keys = [item.key for item in many.items]
    assert keys == [f'servers/{number}' for number in range(5)]


async def watch(fake: FakeStore, after: int) -> Any:
    store = Store(await fake.open())
    return await store.watch('', after, 0.1)


def test_a_watch_returns_changes_and_deletions() -> None:
    fake = FakeStore()
    fake.put('a', b'1')
    fake.put('a', None)
    reading = curio.run(watch, fake, 5)
    assert [item.raw for item in reading.items] == [b'1', None]
    assert reading.revision == 7
    assert not curio.run(watch, fake, 7).items


def test_a_watch_of_dropped_history_says_so() -> None:
    fake = FakeStore()
    fake.put('a', b'1')
    fake.compact()
    with pytest.raises(HistoryGone):
        curio.run(watch, fake, 5)


@pytest.mark.parametrize(
    ('fault', 'error'),
    [
        (429, StoreUnavailable),
        (503, StoreUnavailable),
        (None, StoreUnavailable),
        (b'{', BadRecord),
        (b'{"events": 3}', BadRecord),
        (b'{"events": [{"Key": "a"}], "At": 3}', BadRecord),
        (
            b'{"events":[{"Key":"a","Revision":1,"Value":"*"}],"At":3}',
            BadRecord,
        ),
        (b'\xff' * 9, BadRecord),
    ],
)
def test_bad_answers_have_a_type(
    fault: int | bytes | None, error: type[Exception]
) -> None:
    fake = FakeStore(faults=[fault])
    with pytest.raises(error):
        curio.run(watch, fake, 5)


#: A page that promises more and would be the next one too.
SAME_PAGE = (
    b'{"Items":[{"Key":"servers/1","Revision":1,"Value":""}],'
    b'"HasMore":true,"At":3}'
)


def test_a_page_that_does_not_go_on_is_refused() -> None:
    """Symptom: an agent's memory and the store's load grow without an end.

    Sequence: the store answers each question for a next page with the last
    one again. Cause: only the store decides when the reading ends.
    """
    fake = FakeStore(faults=[SAME_PAGE] * 50)
    with pytest.raises(BadRecord):
        curio.run(read_pages, fake)
    assert len(fake.calls) == 2


async def read_pages(fake: FakeStore) -> Any:
    return await Store(await fake.open()).list_prefix('servers/')


async def call_after_silence(fake: FakeStore) -> Any:
    store = Store(await fake.open())
    with pytest.raises(StoreUnavailable):
        await store.watch('', 5, 0.1)
    return await store.watch('', 5, 0.1)


def test_a_silent_connection_is_not_used_again() -> None:
    """Nothing more came from a store that answered all others.

    Sequence: an answer is lost on a kept connection. Cause: the connection was
    kept, and the next call waited on it too.
    """
    assert curio.run(call_after_silence, FakeStore(faults=[None])).revision == 5


#: Watches are paced by it: ten times faster than what the changes here take.
DRAIN_SECONDS = 0.05


class Followed:
    """A feed and what it made of the store."""

    def __init__(self, fake: FakeStore) -> None:
        self.fake = fake
        self.lines = RecordingLog()
        bounds = SETTINGS.bounds._replace(drain_seconds=DRAIN_SECONDS)
        settings = SETTINGS._replace(bounds=bounds)
        self.world = EntryContext(settings, DIALECT, self.lines)  # type: ignore[arg-type]

    async def start(self) -> None:
        store = Store(await self.fake.open())
        feed = StoreFeed(store, StateUpdater(self.world), self.world)
        await curio.spawn(feed.run, daemon=True)
        await curio.sleep(0.1)


async def follow(fake: FakeStore, *changes: tuple[str, bytes | None]) -> Any:
    followed = Followed(fake)
    await followed.start()
    for key, raw in changes:
        fake.put(key, raw)
        await curio.sleep(0.05)
    return followed


def make_store() -> FakeStore:
    fake = FakeStore()
    fake.put('op/config', make_config(3))
    for number in range(3):
        fake.put(f'servers/{number}', make_registration())
    return fake


def test_the_feed_reads_and_follows() -> None:
    followed = curio.run(
        follow,
        make_store(),
        ('op/config', make_config(7)),
        ('servers/0', make_registration('draining')),
        ('servers/1', None),
        ('servers/9', make_registration()),
    )
    world = followed.world
    assert world.catalog.version == 7
    ready = [one.server.id for one in world.backends.list_available('s1')]
    assert ready == ['2', '9']
    assert world.freshness.may_serve_keys()


def test_an_older_catalog_does_not_come_back() -> None:
    followed = curio.run(
        follow,
        make_store(),
        ('op/config', make_config(9)),
        ('op/config', make_config(8)),
    )
    assert followed.world.catalog.version == 9


def test_bad_records_leave_the_last_good_ones() -> None:
    followed = curio.run(
        follow,
        make_store(),
        ('op/config', b'{"Version": 9}'),
        ('servers/0', b'[]'),
        ('servers/7', make_registration(Address='nowhere')),
        ('other/key', b'x'),
    )
    assert followed.world.catalog.version == 3
    # What stands under a key now counts: the first of the three names nothing.
    assert sorted(followed.world.backends.list_ids()) == ['1', '2']
    assert len(followed.lines.find(CatalogRefused)) == 1
    assert len(followed.lines.find(RegistrationRefused)) == 2


def test_a_refused_registration_is_logged_once() -> None:
    """The log was full of one line.

    Sequence: another program writes the same useless entry again with each of
    its heartbeats. Cause: each writing was logged.
    """
    bad = ('servers/7', make_registration(Address='nowhere'))
    worse = ('servers/7', make_registration(Slots=-1))
    followed = curio.run(follow, make_store(), bad, bad, bad, worse)
    assert len(followed.lines.find(RegistrationRefused)) == 2


def test_a_registration_comes_back_after_foreign_bytes() -> None:
    followed = curio.run(
        follow,
        make_store(),
        ('servers/0', b'\xff\xfe'),
        ('servers/0', make_registration(born=1774742941480)),
    )
    assert sorted(followed.world.backends.list_ids()) == ['0', '1', '2']


class Confirmations:
    """Notes until when the picture was confirmed, and when that was said."""

    def __init__(self) -> None:
        self.noted: list[tuple[float, float]] = []

    def confirm(self, known_at: float) -> None:
        self.noted.append((known_at, read_boot_clock()))


async def confirm_twice(fake: FakeStore) -> list[tuple[float, float]]:
    fake.put('op/config', make_config(3))
    bounds = SETTINGS.bounds._replace(revoke_seconds=REVOKE_SECONDS)
    world = EntryContext(
        SETTINGS._replace(bounds=bounds),
        DIALECT,
        RecordingLog(),  # type: ignore[arg-type]
    )
    spy = Confirmations()
    world.freshness = spy  # type: ignore[assignment]
    feed = StoreFeed(Store(await fake.open()), StateUpdater(world), world)
    task = await curio.spawn(feed.run, daemon=True)
    while len(spy.noted) < 2:
        await curio.sleep(0.01)
    await task.cancel()
    return spy.noted


def test_a_watch_without_changes_confirms_the_picture_at_its_end() -> None:
    """Callers with good keys were refused 1.5 s too soon.

    Symptom: "configuration too old to check keys" 1.6 s after the store had
    gone. Sequence: a watch waits 1.5 s and returns nothing; the next one meets
    a silent store. Cause: the picture counted as old as the question, although
    the store had answered at the end of the wait.
    """
    first, second = curio.run(confirm_twice, FakeStore())
    assert second[0] - first[0] >= REVOKE_SECONDS * WATCH_PART


def test_an_early_answer_without_changes_confirms_no_future() -> None:
    fake = FakeStore()
    fake.late_faults = [b'{"events":[],"At":6}']
    for known_at, said_at in curio.run(confirm_twice, fake):
        assert known_at <= said_at


async def lose_and_return(fake: FakeStore) -> Any:
    followed = Followed(fake)
    await followed.start()
    fake.faults += [503, 503]
    while not followed.lines.find(StoreLost):
        await curio.sleep(0.05)
    for number in range(3):
        fake.put(f'servers/{number}', None)
    await curio.sleep(1.5)
    kept = len(followed.world.backends.list_available('s1'))
    fake.put('servers/1', make_registration())
    await curio.sleep(0.1)
    member = followed.world.backends.find('1')
    return followed, kept, member


def test_lapsed_registrations_are_given_time_to_return() -> None:
    """Every request was refused for two seconds after the store came back.

    Sequence: the store is away, all registrations lapse, it returns; the back
    ends register again within two seconds. Cause: the deletions were taken for
    leavings.
    """
    followed, kept, member = curio.run(lose_and_return, make_store())
    assert kept == 3
    assert member.expires_at is None
    assert followed.lines.find(StoreLost)
    assert followed.lines.find(StoreRegained)


async def compact(fake: FakeStore) -> Any:
    followed = Followed(fake)
    await followed.start()
    fake.put('servers/0', None)
    fake.put('servers/8', make_registration())
    fake.compact()
    await curio.sleep(0.3)
    return followed


def test_dropped_history_is_read_anew() -> None:
    fake = make_store()
    followed = curio.run(compact, fake)
    assert followed.world.backends.find('0') is None
    assert followed.world.backends.find('8') is not None


NAMES = st.sampled_from(('events', 'At', 'Items', 'Key', 'Value', 'HasMore'))
TEXTS = st.text(max_size=8)
NUMBERS = st.integers()
LEAVES = st.one_of(st.none(), NUMBERS, TEXTS, st.just(value=True))


def nest(parts: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    lists = st.lists(parts, max_size=3)
    return lists | st.dictionaries(NAMES, parts, max_size=4)


JSON = st.recursive(LEAVES, nest, max_leaves=8)


async def read_anything(raw: bytes) -> list[str]:
    store = Store(await FakeStore(faults=[raw] * 3).open())
    outcomes = []
    for call in (
        store.get('op/config'),
        store.list_prefix('servers/'),
        store.watch('', 5, 0.01),
    ):
        try:
            outcomes.append(type(await call).__name__)
        except PlatformError as error:
            outcomes.append(type(error).__name__)
    # The next call finds a client that works.
    outcomes.append(type(await store.get('op/none')).__name__)
    return outcomes


@settings(derandomize=True, deadline=None, max_examples=80)
@given(raw=st.binary(max_size=40) | JSON.map(msgspec.json.encode))
def test_any_answer_of_the_store_is_read_or_refused(raw: bytes) -> None:
    outcomes = curio.run(read_anything, raw)
    assert set(outcomes[:3]) <= {'Reading', 'BadRecord'}
    assert outcomes[3] == 'Reading'


async def register_many(fake: FakeStore, drain_seconds: float) -> int:
    fake.put('op/config', make_config(3))
    bounds = SETTINGS.bounds._replace(drain_seconds=drain_seconds)
    world = EntryContext(
        SETTINGS._replace(bounds=bounds),
        DIALECT,
        RecordingLog(),  # type: ignore[arg-type]
    )
    feed = StoreFeed(Store(await fake.open()), StateUpdater(world), world)
    await curio.spawn(feed.run, daemon=True)
    await curio.sleep(0.1)
    for number in range(40):
        fake.put(f'servers/{number}', make_registration())
        await curio.sleep(0.01)
    while len(world.backends) < 40:
        await curio.sleep(0.01)
    return len(fake.calls)


def test_one_watch_takes_many_changes() -> None:
    """An entry asked the store 135 times while as many back ends registered."""
    assert curio.run(register_many, FakeStore(), 4.0) < 10
