"""Memory, processor time and messages of real processes at rest.

The product's own programs run on loopback beside the stand-ins, in fleets of
two sizes; nobody sends requests. Then connections are opened and left idle.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from statistics import fmean
from typing import NamedTuple

from ospreyford.measure.bench_idle import measure_idle
from ospreyford.measure.usage import read_usage
from ospreyford.settings.types import split_address
from ospreyford.standins.deployment import Size
from ospreyford.standins.fleet import Fleet, Program

DOCUMENTS = Path(__file__).parents[3] / 'examples/pension-office/documents'
SIZES = (Size(2, 1, 2), Size(6, 3, 3))
ROLES = ('entry', 'backend')
SETTLE_SECONDS = 10
REST_SECONDS = 20
CONNECTIONS = 400
CONNECTED_SECONDS = 2
MEBIBYTE = 1_048_576
MEGABYTE = 1_000_000


class Rest(NamedTuple):
    """What the processes of one role use at rest, the mean of them.

    ``processes`` is the size of the fleet, ``peer_bytes`` those a second of
    envelopes on the peer port, sent and received.
    """

    role: str
    processes: int
    megabytes: float
    percent: float
    peer_bytes: float


def measure_rest(fleet: Fleet) -> Iterator[Rest]:
    """Measure the roles of a fleet that runs.

    :param fleet: the fleet.
    :yields: a row for each role.
    """
    programs = tuple(fleet.programs.values())
    usages = dict(
        zip(fleet.programs, measure_idle(programs, REST_SECONDS), strict=True)
    )
    for role in ROLES:
        columns = zip(
            *(usages[one.host.name][1:] for one in list_role(fleet, role)),
            strict=True,
        )
        percent, mebibytes, peer_bytes = map(fmean, columns)
        megabytes = mebibytes * MEBIBYTE / MEGABYTE
        yield Rest(role, len(programs), megabytes, percent, peer_bytes)


def measure_connections(fleet: Fleet) -> Iterator[tuple[str, int, float]]:
    """Open connections to one process of each role and leave them idle.

    :param fleet: the fleet.
    :yields: the role, the connections, and the bytes that its process grows
        by for each.
    """
    for role in ROLES:
        program = list_role(fleet, role)[0]
        before = read_resident(program)
        address = split_address(program.host.data_address)
        with ExitStack() as stack:
            for _ in range(CONNECTIONS):
                stack.enter_context(socket.create_connection(address))
            time.sleep(CONNECTED_SECONDS)
            grown = read_resident(program) - before
        yield role, CONNECTIONS, grown / CONNECTIONS


def list_role(fleet: Fleet, role: str) -> list[Program]:
    """List the processes of a role.

    :param fleet: the fleet.
    :param role: ``entry`` or ``backend``.
    :returns: them.
    """
    return [
        program
        for program in fleet.programs.values()
        if program.host.role == role
    ]


def read_resident(program: Program) -> float:
    """Read a process's resident set.

    :param program: the process.
    :returns: bytes.
    """
    return read_usage(program.process.pid).resident * MEBIBYTE


def read_seconds(program: Program) -> float:
    """Read the processor time that a process has used.

    :param program: the process.
    :returns: seconds, user and system.
    """
    return read_usage(program.process.pid).processor_seconds
