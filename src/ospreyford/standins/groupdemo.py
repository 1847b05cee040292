"""Two rank groups of one service in the demo: each follows its own load."""

from __future__ import annotations

import time
from collections import defaultdict
from itertools import chain
from typing import TYPE_CHECKING, Final

import curio

from ospreyford.standins.controls import control, read_journal

if TYPE_CHECKING:
    from ospreyford.standins.fleet import Fleet, RunningGroup

EXPERTS: Final = 6
LAYERS: Final = 2
HOT_TOKENS: Final = 5000.0
COLD_TOKENS: Final = 100.0
CHANGE_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.5


def shift_loads(fleet: Fleet) -> None:
    """Give each group a load of its own.

    :param fleet: a site's processes.
    """
    for hot, group in enumerate(fleet.rank_groups):
        tokens = [COLD_TOKENS for _ in range(EXPERTS)]
        tokens[hot] = HOT_TOKENS
        loads = [tokens for _ in range(LAYERS)]
        curio.run(control, group.engine.port, {'loads': loads})


def judge_groups(fleet: Fleet) -> tuple[list[str], list[str]]:
    """Wait for a new map in each group, and check all of their steps.

    :param fleet: a site's processes.
    :returns: a line about each group, and the promises that did not hold.
    """
    shown: list[str] = []
    problems: list[str] = []
    until = time.monotonic() + CHANGE_SECONDS
    for group in fleet.rank_groups:
        digests, faults = _read_steps(group)
        while len(digests) < 2 and time.monotonic() < until:
            time.sleep(POLL_SECONDS)
            digests, faults = _read_steps(group)
        if len(digests) < 2:
            faults.append(f'{group.name} has not changed its map')
        problems += faults
        hosts = ', '.join(host.name for host in group.hosts)
        shown.append(f'group {group.name} ({hosts}): {len(digests)} maps')
    return shown, problems


def _read_steps(group: RunningGroup) -> tuple[set[int], list[str]]:
    """Read the maps of a group and what is wrong with its steps."""
    steps: defaultdict[int, dict[int, int]] = defaultdict(dict)
    faults: list[str] = []
    for entry in curio.run(read_journal, group.engine.port):
        note = entry.note
        if entry.event == 'step':
            steps[note['step']][note['rank']] = note['digest']
            if note['lacks']:
                faults.append(f'{group.name} lacked experts: {note}')
    for step, used in steps.items():
        is_whole = len(used) == len(group.hosts)
        if not is_whole or len(set(used.values())) > 1:
            faults.append(f'{group.name} ran step {step} with {used}')
    maps = chain.from_iterable(by_rank.values() for by_rank in steps.values())
    return set(maps), faults
