"""A program that takes no work; tests/console/test_program.py runs it."""

from __future__ import annotations

import sys

import curio

from ospreyford.console.program import Program, run_command_line
from ospreyford.peers.errors import AddressUnavailable
from ospreyford.settings.programs import EntrySettings


async def start(program: Program[EntrySettings]) -> None:
    if program.settings.identity.zone == 'taken':
        raise OSError(98, 'Address already in use')
    if program.settings.identity.zone == 'peer-taken':
        raise AddressUnavailable('127.0.0.1:8102', 'in use')
    in_flight = int(program.settings.identity.region.removeprefix('r'))
    program.stop.count_in_flight = lambda: in_flight
    sys.stdout.write('started\n')
    sys.stdout.flush()
    await program.stop.requested.wait()
    sys.stdout.write('draining\n')
    sys.stdout.flush()
    while in_flight:
        await curio.sleep(1)


if __name__ == '__main__':
    run_command_line(start, EntrySettings)
