from __future__ import annotations

from pathlib import Path
from typing import Any

import curio
import pytest

from ospreyford.standins.configservice import MAX_DOCUMENT_BYTES, Calls
from ospreyford.standins.controls import Reply, ask, control
from ospreyford.standins.launcher import Launcher


@pytest.fixture
def port(launcher: Launcher, tmp_path: Path) -> int:
    tmp_path.joinpath('a.toml').write_text('a = 1\n')
    tmp_path.joinpath('b.toml').write_text('b = 1\n')
    tmp_path.joinpath('notes.txt').write_text('no document')
    options = ('--documents', str(tmp_path))
    return launcher.start('ospreyford.standins.configservice', *options).port


def publish(port: int, name: str, text: str = 'new') -> None:
    curio.run(control, port, {'publish': {'name': name, 'text': text}})


def get(port: int, target: str) -> Any:
    return curio.run(ask, port, 'GET', target).decode(object)


def revisions(port: int) -> tuple[int, dict[str, int]]:
    index = get(port, '/v1/documents')
    documents = index['documents'].items()
    return index['revision'], {name: doc['revision'] for name, doc in documents}


def test_documents_have_one_growing_revision(port: int) -> None:
    assert revisions(port) == (2, {'a': 1, 'b': 2})
    publish(port, 'a', 'a = 2\n')
    curio.run(control, port, {'delete': 'b'})
    assert revisions(port) == (4, {'a': 3, 'b': 4})
    reply = curio.run(ask, port, 'GET', '/v1/documents/a')
    assert (reply.body, reply.find(b'x-revision')) == (b'a = 2\n', '3')
    for missing in ('b', 'c'):
        path = f'/v1/documents/{missing}'
        assert curio.run(ask, port, 'GET', path).status == 404


@pytest.mark.parametrize(
    ('after', 'changed'),
    [(0, 'ba'), (1, 'ba'), (2, 'a'), (3, ''), (9, '')],
)
def test_watch_tells_latest_changes(
    port: int, after: int, changed: str
) -> None:
    publish(port, 'a')
    answer = get(port, f'/v1/watch?after={after}&wait=0')
    assert answer['revision'] == 3
    names = [change['name'] for change in answer['changes']]
    assert ''.join(names) == changed


@pytest.mark.parametrize(
    ('message', 'status'),
    [
        ({'publish': {'name': 'c', 'text': ''}}, 200),
        ({'delete': 'a'}, 200),
        ({'mode': 'down'}, 503),
    ],
)
def test_waiting_watch_answers_early(
    port: int, message: Any, status: int
) -> None:
    assert curio.run(watch_while, port, message) == status


async def count_calls(port: int) -> Calls:
    return (await ask(port, 'GET', '/calls')).decode(Calls)


async def watch_while(port: int, message: Any) -> int:
    # The watch would wait for longer than the client does.
    target = '/v1/watch?after=2&wait=60'
    task = await curio.spawn(ask, port, 'GET', target)
    while not (await count_calls(port)).total:
        await curio.sleep(0.01)
    await control(port, message)
    reply: Reply = await task.join()
    return reply.status


def test_modes_serve_old_replicas(port: int) -> None:
    # Symptom: a reader is shown a revision older than one it knows.
    # Sequence: a replica falls behind, a document is published.
    # Cause: the service answers from the replica that fell behind.
    curio.run(control, port, {'mode': 'stale'})
    publish(port, 'a')
    assert [revisions(port)[0] for _ in range(2)] == [2, 2]
    curio.run(control, port, {'mode': 'flap'})
    flapping = [revisions(port)[0] for _ in range(4)]
    assert sorted(flapping) == [2, 2, 3, 3]
    curio.run(control, port, {'mode': 'down'})
    assert curio.run(ask, port, 'GET', '/v1/documents').status == 503
    curio.run(control, port, {'mode': 'up'})
    assert revisions(port)[0] == 3


def test_every_call_of_readers_is_counted(port: int) -> None:
    for target in ('documents', 'documents/none', 'watch?after=9&wait=0'):
        curio.run(ask, port, 'GET', f'/v1/{target}')
    calls = curio.run(count_calls, port)
    assert (calls.total, sum(calls.per_second.values())) == (3, 3)


@pytest.mark.parametrize(
    ('size', 'status'), [(MAX_DOCUMENT_BYTES, 200), (1_048_577, 413)]
)
def test_large_documents_are_refused(port: int, size: int, status: int) -> None:
    message = {'publish': {'name': 'big', 'text': 'x' * size}}
    reply = curio.run(ask, port, 'POST', '/control', message)
    assert reply.status == status
    assert ('big' in revisions(port)[1]) == (status == 200)
