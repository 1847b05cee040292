from __future__ import annotations

from typing import Any

import curio
import msgspec
import pytest

from ospreyford.http.errors import ConnectionLost
from ospreyford.standins.batch import Completion, make_token
from ospreyford.standins.controls import Reply, ask, control, read_journal
from ospreyford.standins.launcher import Launcher
from ospreyford.standins.load import Load, LoadHistory
from ospreyford.standins.prefixes import PrefixCache, hash_prefix

ENDLESS = 1_000_000
LONG_SECONDS = 5
SIZES = (('r1', 9), ('r2', 1), ('r3', 5), ('r4', 30))


@pytest.fixture
def port(launcher: Launcher) -> int:
    options = ('--step-ms', 1, '--batch-size', 2, '--max-queue', 3)
    return launcher.start('ospreyford.standins.engine', *options).port


async def complete(
    port: int, request_id: str, tokens: int, priority: int = 0
) -> Reply:
    completion = Completion(prompt='a b', prefix='p q', max_tokens=tokens)
    headers = (
        (b'x-request-id', request_id.encode()),
        (b'x-priority', str(priority).encode()),
    )
    return await ask(port, 'POST', '/v1/completions', completion, headers)


def read_lines(reply: Reply) -> list[Any]:
    return [msgspec.json.decode(line) for line in reply.body.splitlines()]


def expect_lines(request_id: str, tokens: int) -> list[Any]:
    asked = Completion(prompt='a b', prefix='p q', max_tokens=tokens)
    lines: list[Any] = [
        {'index': index, 'token': make_token(request_id, asked, index)}
        for index in range(tokens)
    ]
    return [*lines, {'done': True, 'tokens': tokens}]


async def wait_for(port: int, event: str, request_id: str) -> None:
    seen: set[tuple[str, str]] = set()
    async with curio.timeout_after(LONG_SECONDS):
        while (event, request_id) not in seen:
            entries = await read_journal(port)
            seen = {(entry.event, entry.request_id) for entry in entries}
            await curio.sleep(0.01)


async def complete_together(port: int) -> dict[str, Reply]:
    await control(port, {'max_queue': 4})
    tasks = {
        name: await curio.spawn(complete, port, name, tokens)
        for name, tokens in SIZES
    }
    return {name: await task.join() for name, task in tasks.items()}


def test_each_caller_gets_its_own_whole_answer(port: int) -> None:
    replies = curio.run(complete_together, port)
    for name, size in SIZES:
        assert read_lines(replies[name]) == expect_lines(name, size)
        assert replies[name].find(b'x-request-id') == name
    tokens = {line for reply in replies.values() for line in reply.body.split()}
    assert len(tokens) == sum(size + 1 for _, size in SIZES)
    hits = [reply.find(b'x-prefix-hit') for reply in replies.values()]
    assert sorted(hits) == ['false', 'true', 'true', 'true']


async def queue_behind_full_batch(port: int) -> tuple[list[str], int]:
    fillers = [
        await curio.spawn(complete, port, 'filler', ENDLESS) for _ in 'ab'
    ]
    while (await ask(port, 'GET', '/load')).decode(Load).in_flight < 2:
        await curio.sleep(0.01)
    waiting = []
    for name, priority in (('low', 1), ('high', 9), ('middle', 5)):
        task = await curio.spawn(complete, port, name, 20, priority)
        waiting.append(task)
        await wait_for(port, 'queued', name)
    refused = await complete(port, 'surplus', 1)
    await fillers[0].cancel()
    for waited in waiting:
        await waited.join()
    await ask(port, 'DELETE', '/v1/requests/filler')
    await fillers[1].join()
    entries = await read_journal(port)
    ran = [entry.request_id for entry in entries if entry.event == 'running']
    return ran[2:], refused.status


def test_queue_is_bounded_and_ordered_by_priority(port: int) -> None:
    order, refused = curio.run(queue_behind_full_batch, port)
    assert order == ['high', 'middle', 'low']
    assert refused == 503


async def end_early(port: int, reached: str, *, hang_up: bool) -> Any:
    await control(port, {'stalled': reached == 'queued'})
    task = await curio.spawn(complete, port, 'r1', ENDLESS)
    await wait_for(port, reached, 'r1')
    if hang_up:
        await task.cancel()
        await wait_for(port, 'cancelled', 'r1')
        return None
    reply = await ask(port, 'DELETE', '/v1/requests/r1')
    assert reply.status == 200
    return read_lines(await task.join())[-1]


@pytest.mark.parametrize('hang_up', [True, False])
@pytest.mark.parametrize('reached', ['queued', 'running'])
def test_request_is_cancelled(port: int, reached: str, hang_up: bool) -> None:
    # Symptom: an engine goes on for a caller that is gone.
    # Sequence: request queued or running, caller hangs up or cancels.
    # Cause: nobody told the engine; its journal shows that it was told.
    ending = curio.run(lambda: end_early(port, reached, hang_up=hang_up))
    assert hang_up or ending['done'] is False
    events = {entry.event for entry in curio.run(read_journal, port)}
    assert events == {'queued', reached, 'cancelled'}
    load = curio.run(ask, port, 'GET', '/load').decode(Load)
    assert (load.in_flight, load.queued) == (0, 0)
    again = curio.run(ask, port, 'DELETE', '/v1/requests/r1')
    assert again.status == 404


@pytest.mark.parametrize('limit', [0, 3])
def test_cut_stream_has_no_clean_end(port: int, limit: int) -> None:
    curio.run(control, port, {'cut_after_tokens': limit})
    with pytest.raises(ConnectionLost):
        curio.run(complete, port, 'r1', 5)
    curio.run(control, port, {'cut_after_tokens': -1})
    lines = read_lines(curio.run(complete, port, 'r1', 5))
    assert lines == expect_lines('r1', 5)


def give_order(port: int, fencing: int, order: str) -> int:
    message = {'fencing': fencing, 'order': order, 'role': 'prefill'}
    reply: Reply = curio.run(ask, port, 'POST', '/orders', message)
    return reply.status


@pytest.mark.parametrize(
    ('honour', 'statuses'),
    [(True, [200, 200, 409, 200]), (False, [200, 200, 200, 200])],
)
def test_orders_and_fencing(
    port: int, honour: bool, statuses: list[int]
) -> None:
    curio.run(control, port, {'honour_fencing': honour})
    orders = [(2, 'role'), (3, 'load-model'), (2, 'role'), (3, 'role')]
    seen = [give_order(port, *order) for order in orders]
    assert seen == statuses
    journal = curio.run(read_journal, port)
    events = {entry.event for entry in journal}
    assert ('order-refused' in events) == honour


@pytest.mark.parametrize(
    ('options', 'after', 'numbers'),
    [
        ({}, 0, [1]),
        ({}, 1, []),
        ({'event_lag_seconds': 3600}, 0, []),
        ({'event_gap': 1}, 0, []),
    ],
)
def test_cache_events_come_late_and_with_gaps(
    port: int, options: Any, after: int, numbers: list[int]
) -> None:
    curio.run(control, port, options)
    curio.run(complete, port, 'r1', 1)
    target = f'/cache-events?after={after}'
    reply = curio.run(ask, port, 'GET', target)
    events = reply.decode(dict[str, list[Any]])['events']
    assert [event['number'] for event in events] == numbers


@pytest.mark.parametrize('changes', [{'unknown': 1}, {'step_ms': 'long'}])
def test_bad_control_is_refused(port: int, changes: Any) -> None:
    assert curio.run(ask, port, 'POST', '/control', changes).status == 400


def test_prefix_cache_evicts_least_recently_used() -> None:
    cache = PrefixCache(4)
    hits = [cache.touch(name) for name in ('a a', 'b b', 'a a', 'c', 'b b')]
    assert hits == [False, False, True, False, False]
    events = [(event.event, event.prefix) for event in cache.events_after(2, 0)]
    a, b, c = (hash_prefix(name) for name in ('a a', 'b b', 'c'))
    assert events == [
        ('evicted', b),
        ('stored', c),
        ('evicted', a),
        ('stored', b),
    ]


@pytest.mark.parametrize(('lag', 'in_flight'), [(0, 7), (3600, 0)])
def test_load_is_reported_with_a_lag(lag: float, in_flight: int) -> None:
    history = LoadHistory()
    history.append(Load(in_flight=7), lag)
    report = history.read(lag)
    assert (report.in_flight, report.age_seconds) == (in_flight, lag)
