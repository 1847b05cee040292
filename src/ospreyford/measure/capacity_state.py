"""Resident memory of an entry's and an agent's state at the full size.

Each role is filled in a process of its own, part after part, by the code
that runs; a part's memory is the growth of the resident set. A part may be
given memory that an earlier one let go, so the whole says more than a part.
"""

from __future__ import annotations

import gc
import os
from collections.abc import Callable
from multiprocessing import get_context
from random import Random
from typing import NamedTuple

from ospreyford.distribution.replica import Replica
from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.resolver import Resolver
from ospreyford.documents.schema import AGENT_KINDS, ALL_KINDS, Kinds
from ospreyford.entry.directory import FleetDirectory
from ospreyford.measure.capacity_parts import (
    fill_gate,
    fill_share,
    fill_spans,
    hold_documents,
    list_plans,
    route,
)
from ospreyford.measure.capacity_records import (
    HELD_SECONDS,
    RECORD,
    RETAINED,
    make_bare,
    make_executions,
    make_tombstones,
)
from ospreyford.measure.capacity_samples import (
    PIECE_BYTES,
    decode_fleet,
    encode_fleet,
)
from ospreyford.measure.capacity_size import (
    ENTRY_REQUESTS,
    FORGETS_PER_SECOND,
    REPLICA_IN_FLIGHT,
    REPLICA_REQUESTS,
    TOKENS_A_REQUEST,
)
from ospreyford.measure.membership import fill_tables
from ospreyford.measure.samples import SEED
from ospreyford.ports.fleet import Host
from ospreyford.routing.query import Identity
from ospreyford.routing.router import Router
from ospreyford.routing.settings import RoutingSettings

PLANS_HELD = round(ENTRY_REQUESTS / FORGETS_PER_SECOND)
MOST_PLANS = 16_384
IDLE_SECONDS = 60
#: Bytes of a plain service's answer.
PLAIN_BYTES = 2_000
MANY_ANSWERS = 500
MEGABYTE = 1_000_000
ME = Identity('entry-0', 'zone-0', 'region-0')


class Part(NamedTuple):
    """One part of a process's state.

    ``items`` is how many it holds, ``grown`` the bytes that the
    resident set grew by.
    """

    name: str
    items: int
    grown: int


class State(NamedTuple):
    """What a process holds that published documents change.

    An agent has no ``directory``.
    """

    replica: Replica
    resolver: Resolver
    directory: FleetDirectory | None


class Meter:
    """Reads the resident set after each part, and keeps the parts alive."""

    def __init__(self) -> None:
        self.parts: list[Part] = []
        self._kept: list[object] = []
        gc.collect()
        self._resident = read_resident()

    def fill(self, name: str, count: int, made: object) -> None:
        """Note a part that has just been made.

        :param name: the part.
        :param count: items in it.
        :param made: kept alive.
        """
        self._kept.append(made)
        gc.collect()
        resident = read_resident()
        self.parts.append(Part(name, count, resident - self._resident))
        self._resident = resident


def fill_entry() -> list[Part]:
    """Fill an entry's state.

    :returns: its parts.
    """
    meter = Meter()
    state = fill_entry_control(meter)
    if state.directory is not None:
        more = list_plans(state.directory, MOST_PLANS)
        meter.fill('plans, the most kept', len(more), more)
    return meter.parts


def fill_entry_control(meter: Meter) -> State:
    """Fill what an entry holds for control.

    :param meter: notes the parts.
    :returns: what changes while it runs.
    """
    hosts = fill_members(meter)
    directory = FleetDirectory()
    directory.handle_hosts(hosts)
    replica, resolver = fill_documents(meter)
    directory.handle_picture(resolver.snapshot)
    plans = list_plans(directory, PLANS_HELD)
    meter.fill('plans between two changes', len(plans), directory)
    router = Router(RoutingSettings(), ME, Random(SEED))
    meter.fill('back ends that the router knows', route(router, plans), router)
    customers = round(ENTRY_REQUESTS * IDLE_SECONDS)
    meter.fill('customers at the gate', *fill_gate(customers))
    meter.fill('customers that ask for leases', *fill_share(customers))
    meter.fill('spans', *fill_spans())
    return State(replica, resolver, directory)


def fill_agent() -> list[Part]:
    """Fill the state of the agent of a model's back end.

    :returns: its parts.
    """
    meter = Meter()
    fill_agent_control(meter)
    tokens = (round(TOKENS_A_REQUEST), PIECE_BYTES)
    running = make_executions(round(REPLICA_IN_FLIGHT), tokens, whole=False)
    meter.fill('answers under way', len(running), running)
    late = round(REPLICA_REQUESTS * RECORD.linger_seconds)
    lingering = make_executions(late, tokens, whole=True)
    meter.fill('answers that linger 5 s', len(lingering), lingering)
    remembered = make_bare(round(REPLICA_REQUESTS * HELD_SECONDS))
    meter.fill('executions remembered 154 s', len(remembered), remembered)
    return meter.parts


def fill_agent_control(meter: Meter) -> State:
    """Fill what an agent holds for control.

    :param meter: notes the parts.
    :returns: what changes while it runs.
    """
    fill_members(meter)
    replica, resolver = fill_documents(meter, AGENT_KINDS)
    meter.fill('spans', *fill_spans())
    return State(replica, resolver, None)


def fill_record() -> list[Part]:
    """Fill execution records in other ways than a model's agent does.

    :returns: the parts.
    """
    meter = Meter()
    plain = make_executions(RETAINED, (1, PLAIN_BYTES), whole=True)
    meter.fill('non-idempotent, 604 s, answers of 2 kB', len(plain), plain)
    bare = make_bare(RECORD.max_entries)
    meter.fill('executions, the most', len(bare), bare)
    voided = make_tombstones(RECORD.max_entries)
    meter.fill('tombstones, the most', len(voided), voided)
    tokens = (round(TOKENS_A_REQUEST), PIECE_BYTES)
    streamed = make_executions(MANY_ANSWERS, tokens, whole=True)
    meter.fill('non-idempotent, streamed answers kept', MANY_ANSWERS, streamed)
    return meter.parts


def fill_apart(fill: Callable[[], list[Part]]) -> list[Part]:
    """Fill a state in a process of its own.

    :param fill: one of the functions above.
    :returns: its parts.
    """
    with get_context('spawn').Pool(1) as pool:
        return pool.apply(fill)


def read_resident() -> int:
    """Read this process's resident set.

    :returns: bytes.
    """
    with open('/proc/self/statm', encoding='ascii') as statm:
        return int(statm.read().split()[1]) * os.sysconf('SC_PAGESIZE')


def fill_members(meter: Meter) -> tuple[Host, ...]:
    """Fill the host list and the members known.

    :param meter: notes the parts.
    :returns: the hosts.
    """
    hosts = decode_fleet(encode_fleet())
    meter.fill('host list', len(hosts), hosts)
    meter.fill('members', len(hosts), fill_tables(len(hosts)))
    return hosts


def fill_documents(
    meter: Meter, kinds: Kinds = ALL_KINDS
) -> tuple[Replica, Resolver]:
    """Fill the documents' texts and the picture that follows from them.

    :param meter: notes the part.
    :param kinds: the kinds of documents that the role decides by.
    :returns: the texts, and what holds the picture.
    """
    replica = hold_documents()
    resolver = Resolver(kinds)
    resolver.record(DocumentEntry(*each) for each in replica)
    held = (replica, resolver)
    meter.fill('documents: texts and picture', len(replica), held)
    return held
