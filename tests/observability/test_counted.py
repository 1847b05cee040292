"""Each documented metric has a sample once what it counts has happened.

Symptom: a page describes six metrics that stay 0 whatever happens.
Sequence: they are registered; requests, failures and calls come.
Cause: nothing in the programs set them, and no test looked.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import MappingProxyType

import curio
import msgspec
import pytest
from prometheus_client.parser import text_string_to_metric_families

from ospreyford.http.client import fetch
from ospreyford.http.message import Request
from ospreyford.observability.metrics import Metrics
from ospreyford.settings.types import split_address
from ospreyford.standins.asking import Ask, ask_entry
from ospreyford.standins.deployment import Size
from ospreyford.standins.fleet import Program, ask
from ospreyford.standins.launcher import Launcher
from tests.config_processes.rig import Rig, wait_until

ENTRY, BACKEND = 'entry', 'backend'
CUSTOMER = 'home-carrier-stations'
MODEL, PLAIN = 'order-assistant', 'order-desk'
INTENT = 'intent-assistant-stations'
Check = Callable[[Rig, str, str], None]
SIZE = Size(model_replicas=2, plain_replicas=2, entries=1)
STREAM = msgspec.json.encode({'prompt': 'a', 'max_tokens': 4000})
SUFFIXES = MappingProxyType({'counter': '_total'})
RAW = (
    'POST /v1/completions HTTP/1.1\r\nhost: x\r\nospreyford-customer: {0}\r\n'
    'ospreyford-service: {1}\r\ncontent-length: {2}\r\n\r\n'
)


@pytest.fixture(scope='module')
def rig(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Rig]:
    with Launcher() as launcher:
        started = Rig(launcher, tmp_path_factory.mktemp('fleet'), size=SIZE)
        started.fleet.start()
        yield started


def list_programs(rig: Rig, role: str, service: str = '') -> list[Program]:
    return [
        program
        for program in rig.programs
        if program.host.role == role and service in program.host.service
    ]


def count(rig: Rig, role: str, name: str) -> float:
    """Add up a metric's samples over the processes of a role."""
    total: float = 0
    for program in list_programs(rig, role):
        address = split_address(program.admin_address)
        _, body = curio.run(fetch, address, Request('GET', '/metrics', ()))
        for family in text_string_to_metric_families(body.decode()):
            if family.name in {f'ospreyford_{name}', f'ospreyford_{name[:-6]}'}:
                total += sum(
                    sample.value
                    for sample in family.samples
                    if not sample.name.endswith('_created')
                )
    return total


def call(
    rig: Rig, service: str, target: str, body: bytes = b'', method: str = 'POST'
) -> None:
    entry = rig.fleet.list_entries()[0]
    ask_entry(entry, Ask(CUSTOMER, service, method, target, body, ''))


@contextmanager
def hold_stream(rig: Rig) -> Iterator[None]:
    """Have a long answer on its way."""
    entry = rig.fleet.list_entries()[0]
    address = split_address(entry.host.data_address)
    with socket.create_connection(address) as sock:
        head = RAW.format(CUSTOMER, MODEL, len(STREAM))
        sock.sendall(head.encode() + STREAM)
        assert sock.recv(1)
        yield


def check_while_streaming(rig: Rig, role: str, name: str) -> None:
    with hold_stream(rig):
        assert count(rig, role, name) > 0


def check_after(act: Callable[[Rig], None]) -> Check:
    def check(rig: Rig, role: str, name: str) -> None:
        act(rig)
        wait_until(lambda: count(rig, role, name) > 0)

    return check


def rest(rig: Rig) -> None:
    """Do nothing: it is counted without any request."""


def stream(rig: Rig) -> None:
    body = msgspec.json.encode({'prompt': 'a', 'max_tokens': 8})
    call(rig, MODEL, '/v1/completions', body)


def call_unknown(rig: Rig) -> None:
    call(rig, 'nothing-here', '/')


def send_garbage(rig: Rig) -> None:
    for program in rig.programs:
        for address in (program.host.data_address, program.admin_address):
            with socket.create_connection(split_address(address)) as sock:
                sock.sendall(b'\xff' * 9)
                sock.shutdown(socket.SHUT_WR)
                sock.recv(1)


def spoil(rig: Rig, fault: object) -> None:
    """Have a plain back end break its connections, or serve again."""
    port = rig.fleet.backends['caterer-plain-1'].port
    ask(port, '/control', {'fault': fault})


def check_failing(method: str, target: str) -> Check:
    """Make a check that calls until a failing back end was asked enough."""

    def check(rig: Rig, role: str, name: str) -> None:
        def call_and_count() -> bool:
            call(rig, PLAIN, target, b'{}', method)
            return count(rig, role, name) > 0

        spoil(rig, {'type': 'close'})
        try:
            wait_until(call_and_count)
        finally:
            spoil(rig, None)

    return check


def check_hedges(rig: Rig, role: str, name: str) -> None:
    text = rig.read_example(INTENT)
    quick = text.replace('= 900', '= 1').replace('= 0.02', '= 1.0')
    rig.publish(INTENT, quick)
    rig.await_in_force()

    def call_and_count() -> bool:
        stream(rig)
        return count(rig, role, name) > 0

    wait_until(call_and_count)
    rig.publish(INTENT, text)


def check_missed_beats(rig: Rig, role: str, name: str) -> None:
    """Pause the other side of a connection with an answer on its way."""
    other = BACKEND if role == ENTRY else ENTRY
    service = MODEL if role == ENTRY else ''
    paused = list_programs(rig, other, service)
    with hold_stream(rig):
        for program in paused:
            program.process.pause()
        try:
            wait_until(lambda: count(rig, role, name) > 0)
        finally:
            for program in paused:
                program.process.resume()


def check_present(rig: Rig, role: str, name: str) -> None:
    """Nothing is dropped on a machine that keeps up; it shows a 0."""
    for program in list_programs(rig, role):
        address = split_address(program.admin_address)
        _, body = curio.run(fetch, address, Request('GET', '/metrics', ()))
        assert f'ospreyford_{name}{{'.encode() in body


BY_ITSELF = check_after(rest)
AFTER_STREAM = check_after(stream)
CHECKS: MappingProxyType[tuple[str, str], Check] = MappingProxyType(
    {
        (ENTRY, 'requests_total'): AFTER_STREAM,
        (ENTRY, 'refused_total'): check_after(call_unknown),
        (ENTRY, 'bad_input_total'): check_after(send_garbage),
        (BACKEND, 'bad_input_total'): check_after(send_garbage),
        (ENTRY, 'retries_total'): check_failing('GET', '/rates/a'),
        (ENTRY, 'hedges_total'): check_hedges,
        (ENTRY, 'unknowns_total'): check_failing('POST', '/orders'),
        (ENTRY, 'in_flight'): check_while_streaming,
        (BACKEND, 'in_flight'): check_while_streaming,
        (ENTRY, 'first_token_seconds'): AFTER_STREAM,
        (ENTRY, 'token_gap_seconds'): AFTER_STREAM,
        (ENTRY, 'request_seconds'): AFTER_STREAM,
        (ENTRY, 'transferred_bytes_total'): AFTER_STREAM,
        (ENTRY, 'connections'): check_while_streaming,
        (BACKEND, 'connections'): check_while_streaming,
        (ENTRY, 'missed_beats_total'): check_missed_beats,
        (BACKEND, 'missed_beats_total'): check_missed_beats,
        (BACKEND, 'records'): check_while_streaming,
        (ENTRY, 'configuration_revision'): BY_ITSELF,
        (BACKEND, 'configuration_revision'): BY_ITSELF,
        (ENTRY, 'members'): BY_ITSELF,
        (BACKEND, 'members'): BY_ITSELF,
        (ENTRY, 'peer_bytes_total'): BY_ITSELF,
        (BACKEND, 'peer_bytes_total'): BY_ITSELF,
        (ENTRY, 'ejected_backends'): check_failing('GET', '/rates/a'),
        (ENTRY, 'platform_calls_total'): BY_ITSELF,
        (BACKEND, 'platform_calls_total'): BY_ITSELF,
        (ENTRY, 'dropped_lines_total'): check_present,
        (BACKEND, 'dropped_lines_total'): check_present,
    },
)


@pytest.mark.parametrize(('role', 'name'), CHECKS)
def test_metric_is_counted(rig: Rig, role: str, name: str) -> None:
    CHECKS[role, name](rig, role, name)


def test_every_metric_is_in_the_table() -> None:
    registered = {
        family.name.removeprefix('ospreyford_') + SUFFIXES.get(family.type, '')
        for family in Metrics().registry.collect()
    }
    # Registered by the programs, beside those of the class.
    registered.add('peer_bytes_total')
    assert registered == {name for _, name in CHECKS}
