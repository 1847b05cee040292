"""Memory and processor time of streamed answers under way.

One real entry is sent requests whose tokens come 39 ms apart, the promised
time; the engines are stand-ins. Nothing is saturated.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator, Mapping
from contextlib import ExitStack
from typing import NamedTuple

import msgspec

from ospreyford.measure.capacity_processes import read_resident, read_seconds
from ospreyford.measure.capacity_size import TOKEN_GAP_SECONDS
from ospreyford.settings.types import split_address
from ospreyford.standins.deployment import PENSION_OFFICE
from ospreyford.standins.fleet import Fleet, Program, ask

#: Customers without a limit that so few requests would meet.
CUSTOMERS = (
    'soum-insurance-clerks',
    'retiree-portal',
    'ulaanbaatar-counters',
    'darkhan-counters',
    'erdenet-counters',
    'pension-hotline',
)
STREAMS_EACH = 8
TOKENS = 400
BEGIN_SECONDS = 4
WATCH_SECONDS = 6
READ_BYTES = 65_536
MILLISECONDS = 1000
MICROSECONDS = 1e6
ENGINE_BATCH = 64
REQUEST = (
    'POST /v1/completions HTTP/1.1\r\n'
    'host: entry\r\n'
    'ospreyford-customer: {customer}\r\n'
    'ospreyford-service: {service}\r\n'
    'content-length: {length}\r\n\r\n{body}'
)


class Streams(NamedTuple):
    """What answers under way cost a role.

    ``resident`` bytes for each stream, ``microseconds`` of processor time for
    each token.
    """

    role: str
    streams: int
    tokens: int
    resident: float
    microseconds: float


class Reading(NamedTuple):
    """Memory and processor time of some processes together."""

    resident: float
    seconds: float


def measure_streams(fleet: Fleet) -> Iterator[Streams]:
    """Measure one entry and all agents of the model.

    :param fleet: a fleet that runs and has nothing else to do.
    :yields: a row for each role.
    """
    slow_engines(fleet)
    entry = fleet.list_entries()[0]
    groups = {'entry': [entry], 'agent': list_agents(fleet)}
    watch = Watch(groups)
    with ExitStack() as stack:
        socks = list(map(stack.enter_context, open_streams(entry)))
        time.sleep(BEGIN_SECONDS)
        streams = sum(count_lines(sock) > 0 for sock in socks)
        watch.begin()
        time.sleep(WATCH_SECONDS)
        tokens = sum(map(count_lines, socks))
        yield from watch.end(streams, tokens)


class Watch:
    """Reads groups of processes before, at the start and at the end.

    :param groups: processes by role; they are at rest now.
    """

    def __init__(self, groups: Mapping[str, list[Program]]) -> None:
        self._groups = groups
        self._rest = self._read()
        self._began = self._rest

    def begin(self) -> None:
        """Start the watch, with the streams under way."""
        self._began = self._read()

    def end(self, streams: int, tokens: int) -> Iterator[Streams]:
        """End the watch.

        :param streams: streams under way.
        :param tokens: tokens since the start of the watch.
        :yields: a row for each role.
        """
        ended = self._read()
        for role, reading in ended.items():
            grown = (reading.resident - self._rest[role].resident) / streams
            spent = (reading.seconds - self._began[role].seconds) / tokens
            yield Streams(role, streams, tokens, grown, spent * MICROSECONDS)

    def _read(self) -> dict[str, Reading]:
        return {role: read_all(self._groups[role]) for role in self._groups}


def list_agents(fleet: Fleet) -> list[Program]:
    """List the agents of the model's replicas.

    :param fleet: the fleet.
    :returns: them.
    """
    return [
        program
        for program in fleet.programs.values()
        if program.host.service == PENSION_OFFICE.model_service
    ]


def slow_engines(fleet: Fleet) -> None:
    """Have the engines make a token in 39 ms.

    :param fleet: the fleet.
    """
    options = {
        'step_ms': TOKEN_GAP_SECONDS * MILLISECONDS,
        'batch_size': ENGINE_BATCH,
    }
    for host in fleet.hosts:
        if host.service == PENSION_OFFICE.model_service:
            ask(fleet.backends[host.name].port, '/control', options)


def open_streams(entry: Program) -> Iterator[socket.socket]:
    """Send requests, each on a connection of its own.

    :param entry: where to.
    :yields: the connections.
    """
    for number in range(STREAMS_EACH):
        prompt = {'prompt': f'letter {number}', 'max_tokens': TOKENS}
        body = msgspec.json.encode(prompt).decode()
        for customer in CUSTOMERS:
            text = REQUEST.format(
                customer=customer,
                service=PENSION_OFFICE.model_service,
                length=len(body),
                body=body,
            )
            sock = socket.create_connection(
                split_address(entry.host.data_address)
            )
            sock.sendall(text.encode())
            sock.setblocking(False)
            yield sock


def count_lines(sock: socket.socket) -> int:
    """Read what has come and count its lines of JSON, one for each token.

    :param sock: the connection; it is not waited on.
    :returns: the lines.
    """
    lines = 0
    while True:
        try:
            received = sock.recv(READ_BYTES)
        except BlockingIOError:
            return lines
        if not received:
            return lines
        lines += received.count(b'}\n')


def read_all(programs: list[Program]) -> Reading:
    """Read some processes.

    :param programs: the processes.
    :returns: their sums.
    """
    return Reading(
        sum(read_resident(one) for one in programs),
        sum(read_seconds(one) for one in programs),
    )
