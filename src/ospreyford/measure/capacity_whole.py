"""Resident memory of a whole entry and a whole agent at the full size.

Run ``python -m ospreyford.measure.capacity_whole``; it takes some 20 seconds.
Each role is a process of its own that imports what the program imports and
fills its state for control: no sockets, and no requests under way. The
modules of this measurement are in the figures too.
"""

from __future__ import annotations

import gc
import importlib
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from tempfile import TemporaryDirectory
from types import MappingProxyType
from typing import NamedTuple

from tabulate import tabulate

from ospreyford.console.allocator import hand_back_memory
from ospreyford.distribution.entries import Entry
from ospreyford.distribution.replica import Replica
from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.resolver import Resolver
from ospreyford.measure.capacity_parts import list_plans
from ospreyford.measure.capacity_samples import decode_fleet, encode_fleet
from ospreyford.measure.capacity_state import (
    MEGABYTE,
    PLANS_HELD,
    Meter,
    State,
    fill_agent_control,
    fill_entry_control,
    read_resident,
)

ROLES = MappingProxyType(
    {'entry': fill_entry_control, 'agent': fill_agent_control}
)
#: Documents changed one after the other, and readings of the host list.
CHANGES = 20


class Whole(NamedTuple):
    """Megabytes that a process of one role holds.

    ``imported`` before any state, ``filled`` at rest, ``changed`` after
    changes, each followed by what the program does upon it.
    """

    role: str
    imported: float
    filled: float
    changed: float


def main() -> None:
    """Print the table."""
    rows = list(measure_whole())
    table = tabulate(rows, Whole._fields, tablefmt='github', floatfmt='.1f')
    sys.stdout.write(f'{table}\n')


def measure_whole() -> Iterator[Whole]:
    """Measure each role in a process of its own.

    :yields: the roles.
    """
    with TemporaryDirectory() as directory:
        fleet = Path(directory) / 'hosts.json'
        fleet.write_bytes(encode_fleet())
        for role in ROLES:
            with get_context('spawn').Pool(1) as pool:
                yield pool.apply(fill_whole, (role, fleet))


def fill_whole(role: str, fleet: Path) -> Whole:
    """Fill this process with a role.

    :param role: ``entry`` or ``agent``.
    :param fleet: a file with the host list.
    :returns: its memory.
    """
    importlib.import_module(f'ospreyford.console.{role}')
    hand_back_memory()
    imported = read_own()
    # Keeps the members alive, which nothing below needs.
    meter = Meter()
    state = ROLES[role](meter)
    filled = read_own()
    change_documents(state, fleet)
    return Whole(role, imported, filled, read_own())


def change_documents(state: State, fleet: Path) -> None:
    """Change documents and read the host list, as happens all the time.

    :param state: what a process holds.
    :param fleet: a file with the host list.
    """
    names = tuple(entry.name for entry in state.replica)[:CHANGES]
    revision = state.replica.revision
    # The program resolves in a thread too, which has an arena of its own.
    with ThreadPoolExecutor(1) as thread:
        for number, name in enumerate(names, revision + 1):
            entry = change_text(state.replica, name, number)
            thread.submit(resolve, state.resolver, entry).result()
            hosts = decode_fleet(fleet.read_bytes())
            if state.directory is not None:
                state.directory.handle_hosts(hosts)
                state.directory.handle_picture(state.resolver.snapshot)
                list_plans(state.directory, PLANS_HELD)


def change_text(replica: Replica, name: str, revision: int) -> Entry:
    """Publish a document anew with another title.

    :param replica: the documents; the new one is taken in.
    :param name: which document.
    :param revision: its new revision.
    :returns: the new version.
    """
    held = replica.find(name)[0]
    text = held.text.replace(b'"measured"', b'"changed"')
    entry = Entry(name, revision, text)
    replica.accept(entry)
    return entry


def resolve(resolver: Resolver, entry: Entry) -> None:
    """Resolve a document.

    :param resolver: holds the picture.
    :param entry: the document.
    """
    resolver.record([DocumentEntry(*entry)])


def read_own() -> float:
    """Read what this process holds once its garbage is gone.

    :returns: megabytes.
    """
    gc.collect()
    return read_resident() / MEGABYTE


if __name__ == '__main__':
    main()
