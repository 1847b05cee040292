"""What processes cost while they carry no request."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

import curio

from ospreyford.http.client import fetch
from ospreyford.http.message import Request
from ospreyford.measure.usage import read_usage
from ospreyford.settings.types import split_address

if TYPE_CHECKING:
    from collections.abc import Collection

    from ospreyford.standins.fleet import Program

PERCENT: Final = 100
PEER_BYTES: Final = 'ospreyford_peer_bytes_total'


def measure_idle(
    programs: Collection[Program], seconds: float
) -> list[list[str | float]]:
    """Watch processes for a while.

    :param programs: entries and agents without work.
    :param seconds: how long.
    :returns: for each its name, per cent of a core, resident MiB, and bytes a
        second of envelopes sent and received on the peer port.
    """
    before = [_read(program) for program in programs]
    time.sleep(seconds)
    after = [_read(program) for program in programs]
    return [
        [
            program.host.name,
            (late[0] - early[0]) / seconds * PERCENT,
            late[1],
            (late[2] - early[2]) / seconds,
        ]
        for program, early, late in zip(programs, before, after, strict=True)
    ]


def _read(program: Program) -> tuple[float, float, float]:
    usage = read_usage(program.process.pid)
    address = split_address(program.admin_address)
    _, page = curio.run(fetch, address, Request('GET', '/metrics', ()))
    peer_bytes = sum(
        float(line.rpartition(' ')[2])
        for line in page.decode().splitlines()
        if line.startswith(PEER_BYTES)
    )
    return usage.processor_seconds, usage.resident, peer_bytes
