"""Processor time and memory of a running process, from ``/proc``."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final, NamedTuple

#: Position of ``utime`` behind the command's name in ``/proc/PID/stat``.
USER_TICKS: Final = 11
KIBIBYTES: Final = 1024
TICKS: Final = os.sysconf('SC_CLK_TCK')


class Usage(NamedTuple):
    """What a process has used: processor seconds, resident MiB now."""

    processor_seconds: float
    resident: float


def read_usage(pid: int) -> Usage:
    """Read what a process has used so far.

    :param pid: the process's id.
    :returns: user and system time together, in steps of a clock tick, 10 ms
        as a rule, and resident memory.
    """
    stat = Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = sum(int(field) for field in fields[USER_TICKS : USER_TICKS + 2])
    return Usage(ticks / TICKS, _read_resident(pid))


def _read_resident(pid: int) -> float:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / KIBIBYTES
    return 0
