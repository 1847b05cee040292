from __future__ import annotations

from typing import Any

import curio
import pytest

from ospreyford.http.errors import ConnectionLost
from ospreyford.standins.controls import Reply, ask, control, read_journal
from ospreyford.standins.launcher import Launcher
from ospreyford.standins.plain import Rate, Record, make_rate

HEADERS = ((b'x-request-id', b'r1'), (b'idempotency-key', b'k1'))
QUOTE = ('savings', 5)


@pytest.fixture
def port(launcher: Launcher) -> int:
    options = ('--service-seconds', 0, '--name', 'desk')
    return launcher.start('ospreyford.standins.plain', *options).port


def post(port: int, path: str = '/quotes') -> Reply:
    reply: Reply = curio.run(ask, port, 'POST', path, QUOTE, HEADERS)
    return reply


def set_fault(port: int, **fault: Any) -> None:
    curio.run(control, port, {'fault': fault})


def list_runs(port: int) -> list[tuple[str, str, str]]:
    entries = curio.run(read_journal, port)
    return [(entry.event, entry.request_id, entry.key) for entry in entries]


def test_each_run_has_its_own_serial_and_journal_entry(port: int) -> None:
    paths = ('/quotes', '/invoice-lines', '/invoices/7')
    records = [post(port, path).decode(Record) for path in paths]
    assert [record.serial for record in records] == [1, 2, 3]
    assert {record.key for record in records} == {'k1'}
    assert list_runs(port) == [(path[1:], 'r1', 'k1') for path in paths]


def test_rates_are_fixed(port: int) -> None:
    replies = [curio.run(ask, port, 'GET', '/rates/a%20b') for _ in range(2)]
    rates = {reply.decode(Rate).rate for reply in replies}
    assert rates == {make_rate('a b').rate}


@pytest.mark.parametrize('before_run', [True, False])
@pytest.mark.parametrize('fault', ['close', 'cut'])
def test_lost_answer_ran_or_not(
    port: int, fault: str, before_run: bool
) -> None:
    # Symptom: the caller can't tell whether a lost call ran; the journal can.
    # Sequence: call, fault, connection closed. Cause: the fault's place.
    extra = {'after_bytes': 4} if fault == 'cut' else {}
    set_fault(port, type=fault, before_run=before_run, times=1, **extra)
    with pytest.raises(ConnectionLost):
        post(port)
    ran = fault == 'cut' or not before_run
    assert len(list_runs(port)) == int(ran)
    assert post(port).status == 200


@pytest.mark.parametrize('kind', ['delay', 'slow'])
def test_late_answers_are_whole(port: int, kind: str) -> None:
    set_fault(port, type=kind, seconds=0.01)
    assert post(port).decode(Record).serial == 1


def test_hung_call_has_run(port: int) -> None:
    set_fault(port, type='hang', times=1)
    curio.run(give_up_on_answer, port)
    assert post(port).decode(Record).serial == 2


async def give_up_on_answer(port: int) -> None:
    # Only the journal says that the call ran: no byte of an answer comes.
    task = await curio.spawn(ask, port, 'POST', '/quotes', QUOTE, HEADERS)
    while not await read_journal(port):
        await curio.sleep(0.01)
    assert not task.terminated
    await task.cancel()


@pytest.mark.parametrize(
    'message',
    [
        {'fault': {'type': 'cut'}},
        {'fault': {'type': 'unheard-of'}},
        {'service_seconds': 'long'},
    ],
)
def test_bad_control_is_refused(port: int, message: Any) -> None:
    assert curio.run(ask, port, 'POST', '/control', message).status == 400


@pytest.mark.parametrize(
    ('method', 'path'), [('GET', '/nothing'), ('POST', '/'), ('PUT', '/quotes')]
)
def test_unknown_path_is_refused(port: int, method: str, path: str) -> None:
    assert curio.run(ask, port, method, path).status == 404
    assert not list_runs(port)
