"""Memory and processor time of real entries and agents at rest.

The product's own programs run on loopback beside the stand-ins, in fleets of
two sizes; nobody sends requests. Then connections are opened and left idle.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from statistics import fmean
from typing import NamedTuple

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
PERCENT = 100
#: Where user and system time stand in what follows the name.
USER_TIME = 11
SYSTEM_TIME = 12
PAGE_BYTES = os.sysconf('SC_PAGESIZE')
TICKS = os.sysconf('SC_CLK_TCK')


class Rest(NamedTuple):
    """What the processes of one role use at rest, the mean of them.

    ``processes`` is the size of the fleet, ``resident`` in bytes, ``percent``
    of a core, ``connection`` bytes for each idle connection to one of them.
    """

    role: str
    processes: int
    resident: float
    percent: float
    connection: float


def measure_rest(fleet: Fleet) -> Iterator[Rest]:
    """Measure the roles of a fleet that runs.

    :param fleet: the fleet.
    :yields: a row for each role.
    """
    programs = tuple(fleet.programs.values())
    before = {one.host.name: read_seconds(one) for one in programs}
    time.sleep(REST_SECONDS)
    spent = {
        one.host.name: read_seconds(one) - before[one.host.name]
        for one in programs
    }
    for role in ROLES:
        chosen = [one for one in programs if one.host.role == role]
        yield Rest(
            role,
            len(programs),
            fmean(read_resident(one) for one in chosen),
            fmean(spent[one.host.name] for one in chosen)
            / REST_SECONDS
            * PERCENT,
            measure_connections(chosen[0]),
        )


def measure_connections(program: Program) -> float:
    """Open connections to a process and leave them idle.

    :param program: the process.
    :returns: bytes that it grows by for each.
    """
    before = read_resident(program)
    address = split_address(program.host.data_address)
    with ExitStack() as stack:
        for _ in range(CONNECTIONS):
            stack.enter_context(socket.create_connection(address))
        time.sleep(CONNECTED_SECONDS)
        return (read_resident(program) - before) / CONNECTIONS


def read_resident(program: Program) -> int:
    """Read a process's resident set.

    :param program: the process.
    :returns: bytes.
    """
    statm = Path('/proc', str(program.process.pid), 'statm').read_text()
    return int(statm.split()[1]) * PAGE_BYTES


def read_seconds(program: Program) -> float:
    """Read the processor time that a process has used.

    :param program: the process.
    :returns: seconds, user and system.
    """
    stat = Path('/proc', str(program.process.pid), 'stat').read_text()
    # The name in brackets may hold blanks; the fields after it do not.
    fields = stat.rpartition(')')[2].split()
    return (int(fields[USER_TIME]) + int(fields[SYSTEM_TIME])) / TICKS
