"""Client of the platform's store and the feed that watches it."""

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
from ospreyford.direct.zonedecisions import ZoneKeyRefused
from ospreyford.platform.errors import (
    BadRecord,
    HistoryCompacted,
    PlatformError,
    StoreUnavailable,
)
from ospreyford.platform.feed import WATCH_WAIT_RATIO, StoreFeed
from ospreyford.platform.store import Item, StoreClient
from tests.direct.backends import DIALECT, SETTINGS, RecordingLog
from tests.platform.storefake import (
    FakeStore,
    make_config,
    make_registration,
)

#: Long enough for several watches.
REVOKE_SECONDS = 0.5


async def read_all(fake: FakeStore) -> Any:
    store = StoreClient(await fake.open())
    config = await store.get('op/config')
    missing = await store.get('op/other')
    servers = await store.list_prefix('servers/')
    return config, missing, servers


def test_values_and_pages() -> None:
    fake = FakeStore()
    fake.put('op/config', b'\x00\xff')
    for number in range(5):
        fake.put(f'servers/{number}', b'x')
    config, missing, servers = curio.run(read_all, fake)
    assert config.items[0].raw == b'\x00\xff'
    assert config.revision == fake.revision
    assert not missing.items
    keys = [item.key for item in servers.items]
    assert keys == [f'servers/{number}' for number in range(5)]


async def watch_store(fake: FakeStore, after: int) -> Any:
    store = StoreClient(await fake.open())
    return await store.watch('', after, 0.1)


def test_a_watch_returns_changes_and_deletions() -> None:
    fake = FakeStore()
    fake.put('a', b'1')
    fake.put('a', None)
    reading = curio.run(watch_store, fake, 5)
    assert [item.raw for item in reading.items] == [b'1', None]
    assert reading.revision == 7
    assert not curio.run(watch_store, fake, 7).items


def test_watch_of_compacted_history_raises() -> None:
    fake = FakeStore()
    fake.put('a', b'1')
    fake.compact()
    with pytest.raises(HistoryCompacted):
        curio.run(watch_store, fake, 5)


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
def test_bad_responses_raise_typed_errors(
    fault: int | bytes | None, error: type[Exception]
) -> None:
    fake = FakeStore(faults=[fault])
    with pytest.raises(error):
        curio.run(watch_store, fake, 5)


#: A page that claims to have a successor, returned again as the successor.
REPEATED_PAGE = (
    b'{"Items":[{"Key":"servers/1","Revision":1,"Value":""}],'
    b'"HasMore":true,"At":3}'
)


def test_repeated_page_is_refused() -> None:
    """A store that repeats a page must not cause an endless listing."""
    fake = FakeStore(faults=[REPEATED_PAGE] * 50)
    with pytest.raises(BadRecord):
        curio.run(read_pages, fake)
    assert len(fake.calls) == 2


async def read_pages(fake: FakeStore) -> Any:
    return await StoreClient(await fake.open()).list_prefix('servers/')


async def call_after_timeout(fake: FakeStore) -> Any:
    store = StoreClient(await fake.open())
    with pytest.raises(StoreUnavailable):
        await store.watch('', 5, 0.1)
    return await store.watch('', 5, 0.1)


def test_connection_is_not_reused_after_a_timeout() -> None:
    """A lost response must not block the next call on the connection."""
    assert curio.run(call_after_timeout, FakeStore(faults=[None])).revision == 5


#: Short, so that the watch throttle does not delay the changes.
DRAIN_SECONDS = 0.05


class FeedHarness:
    """A feed with its context and log."""

    def __init__(self, fake: FakeStore) -> None:
        self.fake = fake
        self.log = RecordingLog()
        bounds = SETTINGS.bounds._replace(drain_seconds=DRAIN_SECONDS)
        settings = SETTINGS._replace(bounds=bounds)
        self.context = EntryContext(settings, DIALECT, self.log)  # type: ignore[arg-type]

    async def start(self) -> None:
        store = StoreClient(await self.fake.open())
        feed = StoreFeed(store, StateUpdater(self.context), self.context)
        await curio.spawn(feed.run, daemon=True)
        await curio.sleep(0.1)


async def apply_changes(
    fake: FakeStore, *changes: tuple[str, bytes | None]
) -> Any:
    harness = FeedHarness(fake)
    await harness.start()
    for key, raw in changes:
        fake.put(key, raw)
        await curio.sleep(0.05)
    return harness


def make_store() -> FakeStore:
    fake = FakeStore()
    fake.put('op/config', make_config(3))
    for number in range(3):
        fake.put(f'servers/{number}', make_registration())
    return fake


def test_feed_reads_and_watches() -> None:
    harness = curio.run(
        apply_changes,
        make_store(),
        ('op/config', make_config(7)),
        ('servers/0', make_registration('draining')),
        ('servers/1', None),
        ('servers/9', make_registration()),
    )
    context = harness.context
    assert context.catalog.version == 7
    ready = [one.server.id for one in context.backends.list_available('s1')]
    assert ready == ['2', '9']
    assert context.freshness.may_serve_keys()


async def write_before_call(number: int, key: str, raw: bytes) -> FeedHarness:
    fake = FakeStore()
    fake.put('servers/0', make_registration())
    calls: list[str] = []

    def write(path: str) -> None:
        calls.append(path)
        if len(calls) == number:
            fake.put(key, raw)

    fake.before_call = write
    harness = FeedHarness(fake)
    await harness.start()
    return harness


@pytest.mark.parametrize('number', [1, 2, 3, 4])
def test_first_configuration_written_while_the_store_is_read(
    number: int,
) -> None:
    """An entry that starts as it is written must not wait for the next one."""
    harness = curio.run(write_before_call, number, 'op/config', make_config(3))
    assert harness.context.catalog is not None
    assert harness.context.is_ready()


@pytest.mark.parametrize('number', [1, 2, 3, 4])
def test_zone_taken_out_while_the_store_is_read(number: int) -> None:
    """A key written between two reads must not stay unknown."""
    harness = curio.run(write_before_call, number, 'op/evacuate/a', b'')
    assert harness.context.zones.is_out('a')


def test_keys_that_take_no_zone_out_are_logged_once() -> None:
    harness = curio.run(
        apply_changes,
        make_store(),
        ('op/evacuate/', b'1'),
        ('op/evacuate/', b'2'),
        ('op/evacuate/', None),
        (f'op/evacuate/{"z" * 201}', b'\xff'),
        ('op/evacuate/b', b'\xff'),
    )
    assert len(harness.log.find(ZoneKeyRefused)) == 2
    assert list(harness.context.zones.get_statuses()) == ['b']


async def watch_null() -> Any:
    event = {'Key': 'op/evacuate/a', 'Value': None, 'Revision': 7}
    raw = msgspec.json.encode({'events': [event], 'At': 7})
    store = StoreClient(await FakeStore(faults=[raw]).open())
    return await store.watch('', 5, 0.01)


def test_an_empty_value_may_be_null() -> None:
    """It must not stop the watch of all other keys."""
    assert curio.run(watch_null).items == (Item('op/evacuate/a', b'', 7),)


@pytest.mark.parametrize('number', [1, 2, 3, 4])
def test_registration_written_while_the_store_is_read(number: int) -> None:
    """A backend that registers between two reads must not stay unknown."""
    harness = curio.run(
        write_before_call, number, 'servers/9', make_registration()
    )
    assert harness.context.backends.find('9') is not None


def test_older_catalog_is_ignored() -> None:
    harness = curio.run(
        apply_changes,
        make_store(),
        ('op/config', make_config(9)),
        ('op/config', make_config(8)),
    )
    assert harness.context.catalog.version == 9


def test_invalid_records_keep_the_last_valid_catalog() -> None:
    harness = curio.run(
        apply_changes,
        make_store(),
        ('op/config', b'{"Version": 9}'),
        ('servers/0', b'[]'),
        ('servers/7', make_registration(Address='nowhere')),
        ('other/key', b'x'),
    )
    assert harness.context.catalog.version == 3
    # The invalid record under servers/0 replaces the registration.
    assert sorted(harness.context.backends.list_ids()) == ['1', '2']
    assert len(harness.log.find(CatalogRefused)) == 1
    assert len(harness.log.find(RegistrationRefused)) == 2


def test_repeated_refusal_is_logged_once() -> None:
    """Rewriting the same invalid registration must not flood the log."""
    bad = ('servers/7', make_registration(Address='nowhere'))
    worse = ('servers/7', make_registration(Slots=-1))
    harness = curio.run(apply_changes, make_store(), bad, bad, bad, worse)
    assert len(harness.log.find(RegistrationRefused)) == 2


def test_registration_recovers_after_invalid_bytes() -> None:
    harness = curio.run(
        apply_changes,
        make_store(),
        ('servers/0', b'\xff\xfe'),
        ('servers/0', make_registration(born=1774742941480)),
    )
    assert sorted(harness.context.backends.list_ids()) == ['0', '1', '2']


class RecordingFreshness:
    """Records each confirmed time and the time of the call."""

    def __init__(self) -> None:
        self.confirmed: list[tuple[float, float]] = []

    def confirm(self, confirmed_at: float) -> None:
        self.confirmed.append((confirmed_at, read_boot_clock()))


async def confirm_twice(fake: FakeStore) -> list[tuple[float, float]]:
    fake.put('op/config', make_config(3))
    bounds = SETTINGS.bounds._replace(revoke_seconds=REVOKE_SECONDS)
    context = EntryContext(
        SETTINGS._replace(bounds=bounds),
        DIALECT,
        RecordingLog(),  # type: ignore[arg-type]
    )
    freshness = RecordingFreshness()
    context.freshness = freshness  # type: ignore[assignment]
    feed = StoreFeed(
        StoreClient(await fake.open()), StateUpdater(context), context
    )
    task = await curio.spawn(feed.run, daemon=True)
    while len(freshness.confirmed) < 2:
        await curio.sleep(0.01)
    await task.cancel()
    return freshness.confirmed


def test_watch_without_changes_confirms_state_at_its_end() -> None:
    """Counting from the watch's start would refuse valid keys too early."""
    first, second = curio.run(confirm_twice, FakeStore())
    assert second[0] - first[0] >= REVOKE_SECONDS * WATCH_WAIT_RATIO


def test_early_response_without_changes_confirms_no_future_time() -> None:
    fake = FakeStore()
    fake.watch_faults = [b'{"events":[],"At":6}']
    for known_at, said_at in curio.run(confirm_twice, fake):
        assert known_at <= said_at


async def lose_and_restore_store(fake: FakeStore) -> Any:
    harness = FeedHarness(fake)
    await harness.start()
    fake.faults += [503, 503]
    while not harness.log.find(StoreLost):
        await curio.sleep(0.05)
    for number in range(3):
        fake.put(f'servers/{number}', None)
    await curio.sleep(1.5)
    kept = len(harness.context.backends.list_available('s1'))
    fake.put('servers/1', make_registration())
    await curio.sleep(0.1)
    backend = harness.context.backends.find('1')
    return harness, kept, backend


def test_expired_registrations_are_kept_after_an_outage() -> None:
    """Registrations that expire in a store outage are not deregistrations."""
    harness, kept, member = curio.run(lose_and_restore_store, make_store())
    assert kept == 3
    assert member.expires_at is None
    assert harness.log.find(StoreLost)
    assert harness.log.find(StoreRegained)


async def compact_history(fake: FakeStore) -> Any:
    harness = FeedHarness(fake)
    await harness.start()
    fake.put('servers/0', None)
    fake.put('servers/8', make_registration())
    fake.compact()
    await curio.sleep(0.3)
    return harness


def test_compacted_history_is_read_again() -> None:
    fake = make_store()
    harness = curio.run(compact_history, fake)
    assert harness.context.backends.find('0') is None
    assert harness.context.backends.find('8') is not None


NAMES = st.sampled_from(('events', 'At', 'Items', 'Key', 'Value', 'HasMore'))
TEXTS = st.text(max_size=8)
NUMBERS = st.integers()
LEAVES = st.one_of(st.none(), NUMBERS, TEXTS, st.just(value=True))


def nest(parts: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    lists = st.lists(parts, max_size=3)
    return lists | st.dictionaries(NAMES, parts, max_size=4)


JSON = st.recursive(LEAVES, nest, max_leaves=8)


async def read_invalid_responses(raw: bytes) -> list[str]:
    store = StoreClient(await FakeStore(faults=[raw] * 3).open())
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
    # The client still works.
    outcomes.append(type(await store.get('op/none')).__name__)
    return outcomes


@settings(derandomize=True, deadline=None, max_examples=80)
@given(raw=st.binary(max_size=40) | JSON.map(msgspec.json.encode))
def test_any_store_response_is_decoded_or_refused(raw: bytes) -> None:
    outcomes = curio.run(read_invalid_responses, raw)
    assert set(outcomes[:3]) <= {'StoreResponse', 'BadRecord'}
    assert outcomes[3] == 'StoreResponse'


async def register_many(fake: FakeStore, drain_seconds: float) -> int:
    fake.put('op/config', make_config(3))
    bounds = SETTINGS.bounds._replace(drain_seconds=drain_seconds)
    context = EntryContext(
        SETTINGS._replace(bounds=bounds),
        DIALECT,
        RecordingLog(),  # type: ignore[arg-type]
    )
    feed = StoreFeed(
        StoreClient(await fake.open()), StateUpdater(context), context
    )
    await curio.spawn(feed.run, daemon=True)
    await curio.sleep(0.1)
    for number in range(40):
        fake.put(f'servers/{number}', make_registration())
        await curio.sleep(0.01)
    while len(context.backends) < 40:
        await curio.sleep(0.01)
    return len(fake.calls)


def test_one_watch_returns_many_changes() -> None:
    """Many registrations at once must not cause one store call each."""
    assert curio.run(register_many, FakeStore(), 4.0) < 10
