"""Processor time of what entries and agents do for control.

Each figure is the processor time of this process for one go of the code that
runs, at the full size; the peers' messages go over real sockets.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from functools import partial
from random import Random

import curio

from ospreyford.agent.executiontable import ExecutionTable
from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.resolver import Resolver
from ospreyford.documents.snapshot import ConfigurationSnapshot
from ospreyford.entry.directory import FleetDirectory
from ospreyford.measure.capacity_cost import MICROSECONDS, Cost, spend
from ospreyford.measure.capacity_members import time_members
from ospreyford.measure.capacity_parts import (
    fill_share,
    hold_documents,
    list_plans,
    make_homes,
    route,
)
from ospreyford.measure.capacity_records import (
    HELD_SECONDS,
    RECORD,
    RETAINED,
    make_bare,
    make_executions,
)
from ospreyford.measure.capacity_samples import (
    PIECE_BYTES,
    decode_fleet,
    encode_fleet,
)
from ospreyford.measure.capacity_size import (
    ACTIVE_SECONDS,
    ENTRY_REQUESTS,
    FORGETS_PER_SECOND,
    REPLICA_IN_FLIGHT,
    REPLICA_REQUESTS,
    TOKENS_A_REQUEST,
)
from ospreyford.measure.capacity_state import (
    MANY_ANSWERS,
    ME,
    PLAIN_BYTES,
    PLANS_HELD,
)
from ospreyford.measure.samples import SEED
from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings
from ospreyford.ports.fleet import Host
from ospreyford.routing.router import Router
from ospreyford.routing.settings import RoutingSettings

QUESTIONS = 2_000
QUESTION_BYTES = 100
LOOPBACK = '127.0.0.1:0'


def measure_times() -> Iterator[Cost]:
    """Measure everything.

    :yields: the costs.
    """
    body = encode_fleet()
    hosts = decode_fleet(body)
    yield from time_members(body, hosts)
    resolver = Resolver()
    resolver.record(DocumentEntry(*each) for each in hold_documents())
    yield from time_plans(resolver.snapshot, hosts)
    yield from time_limits()
    yield from time_records()
    yield Cost('both', 'a question and its answer, both ends', ask_peers(), 0)


def time_plans(
    picture: ConfigurationSnapshot, hosts: tuple[Host, ...]
) -> Iterator[Cost]:
    """Time the plans of an entry after they were forgotten.

    :param picture: the documents in force.
    :param hosts: the hosts.
    :yields: the costs.
    """
    directory = FleetDirectory()
    directory.handle_hosts(hosts)
    directory.handle_picture(picture)
    work = partial(_plan_anew, directory, picture)
    yield Cost(
        'entry',
        f'{PLANS_HELD} plans made anew',
        spend(work),
        FORGETS_PER_SECOND,
    )
    plans = list_plans(directory, PLANS_HELD)
    router = Router(RoutingSettings(), ME, Random(SEED))
    route(router, plans, PLANS_HELD)
    again = spend(lambda: route(router, plans, PLANS_HELD))
    yield Cost(
        'request',
        'a choice and its two notes, seen before',
        again / PLANS_HELD,
        ENTRY_REQUESTS,
    )


def time_limits() -> Iterator[Cost]:
    """Time the sharing of customer limits at an entry.

    :yields: the costs.
    """
    homes = make_homes()
    names = [f'customer-{number}' for number in range(100)]
    spent = spend(lambda: [homes.find_owner(name) for name in names], 1)
    yield Cost('entry', 'home of a customer among 1,200', spent / len(names), 0)
    count = round(ENTRY_REQUESTS * ACTIVE_SECONDS)
    share = fill_share(count)[1]
    first = spend(lambda: curio.run(share.renew_leases), 1)
    yield Cost('entry', f'first round of {count} active customers', first, 0)
    second = spend(lambda: curio.run(share.renew_leases), 1)
    yield Cost('entry', f'further round of {count} customers', second, 1)


def time_records() -> Iterator[Cost]:
    """Time the sweep of an agent's execution record, once a second.

    :yields: the costs.
    """
    tokens = (round(TOKENS_A_REQUEST), PIECE_BYTES)
    running = make_executions(round(REPLICA_IN_FLIGHT), tokens, whole=False)
    yield _time_sweep('agent', 'answers under way', running)
    remembered = make_bare(round(REPLICA_REQUESTS * HELD_SECONDS))
    yield _time_sweep('agent', 'idempotent for 154 s', remembered)
    plain = make_executions(RETAINED, (1, PLAIN_BYTES), whole=True)
    yield _time_sweep('plain', 'non-idempotent for 604 s', plain)
    streamed = make_executions(MANY_ANSWERS, tokens, whole=True)
    yield _time_sweep('other', 'streamed answers kept', streamed)
    most = make_bare(RECORD.max_entries)
    yield _time_sweep('other', 'executions', most)
    yield Cost('other', 'longest part of that sweep', time_part(most), 0)


def time_part(memory: ExecutionTable) -> float:
    """Time the longest stretch of a sweep, after which other tasks run.

    :param memory: the record.
    :returns: microseconds of processor time.
    """
    parts = memory.sweep_batches()
    longest: float = 0
    started = time.process_time()
    for _ in parts:
        longest = max(longest, time.process_time() - started)
        started = time.process_time()
    return longest * MICROSECONDS


def ask_peers() -> float:
    """Time questions between two peers over ZeroMQ on loopback.

    :returns: microseconds of processor time for each, of both ends.
    """
    seconds: float = curio.run(_ask_peers)
    return seconds / QUESTIONS * MICROSECONDS


def _plan_anew(
    directory: FleetDirectory, picture: ConfigurationSnapshot
) -> None:
    directory.handle_picture(picture)
    plans = list_plans(directory, PLANS_HELD)
    router = Router(RoutingSettings(), ME, Random(SEED))
    route(router, plans, len(plans))


def _time_sweep(role: str, name: str, memory: ExecutionTable) -> Cost:
    spent = spend(partial(_sweep, memory))
    return Cost(role, 'sweep of {0} {1}'.format(len(memory), name), spent, 1)


def _sweep(memory: ExecutionTable) -> None:
    memory.sweep()
    memory.list_running()


async def _answer(body: bytes) -> bytes:
    return body


async def _ask_peers() -> float:
    asker = PeerNode(PeerSettings(address=LOOPBACK), 'asker')
    answerer = PeerNode(PeerSettings(address=LOOPBACK), 'answerer')
    answerer.serve('echo', _answer)
    await asker.start()
    await answerer.start()
    body = bytes(QUESTION_BYTES)
    started = time.process_time()
    for _ in range(QUESTIONS):
        await asker.ask(answerer.address, 'echo', body, 1)
    spent = time.process_time() - started
    await asker.stop()
    await answerer.stop()
    return spent
