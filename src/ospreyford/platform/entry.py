"""Entry program for the platform."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from socket import socket

import curio
from curio.io import Socket

from ospreyford.console.allocator import hand_back_memory
from ospreyford.console.stopping import Stop
from ospreyford.direct.context import EntryContext
from ospreyford.direct.program import EntryServer, Listeners
from ospreyford.direct.settings import Bounds, DirectSettings, RetrySettings
from ospreyford.http.buffers import (
    DEFAULT_BUFFER_BYTES,
    DEFAULT_REQUEST_BYTES,
)
from ospreyford.observability.events import Started
from ospreyford.observability.logs import ChangeLog
from ospreyford.observability.tallies import serve_tally
from ospreyford.platform.errors import BadNodeFile
from ospreyford.platform.feed import StoreFeed
from ospreyford.platform.headernames import HEADER_NAMES
from ospreyford.platform.nodefile import PATH_VARIABLE, Node
from ospreyford.platform.output import METRICS_PORT, open_log
from ospreyford.platform.reloader import SettingsReloader
from ospreyford.platform.store import StoreClient

#: Part of the process's memory for unfinished responses of backends.
BUFFER_FRACTION = 0.01
#: The same for callers' unfinished requests.
REQUEST_FRACTION = 0.1
MIN_BUFFER_BYTES = 1_048_576


def make_settings(node: Node) -> DirectSettings:
    """Convert node settings to entry settings.

    :param node: the node settings.
    :returns: the settings.
    :raises BadNodeFile: a listen address is missing.
    """
    if node.front is None or node.ready is None:
        raise BadNodeFile(PATH_VARIABLE, 'Listen.Front', 'missing')
    return DirectSettings(
        name=node.name,
        zone=node.zone,
        region=node.region,
        front=node.front,
        ready=node.ready,
        datagrams=(node.ip, node.first_port),
        metrics_port=METRICS_PORT,
        agent_port=node.first_port,
        retries=RetrySettings(
            node.retry_ratio, node.retry_slack, node.retry_window
        ),
        bounds=Bounds(
            node.drain_seconds,
            node.grace_seconds,
            node.revoke_seconds,
            cold_overage=node.cold_overage,
            cold_slack=node.cold_slack,
        ),
        identity_salt=make_identity_salt(node),
        buffer_bytes=compute_share(node, BUFFER_FRACTION, DEFAULT_BUFFER_BYTES),
        request_bytes=compute_share(
            node, REQUEST_FRACTION, DEFAULT_REQUEST_BYTES
        ),
    )


def compute_share(node: Node, fraction: float, default: int) -> int:
    """Compute a part of the process's memory.

    :param node: the node settings.
    :param fraction: the part.
    :param default: bytes if the node settings name no limit of memory.
    :returns: bytes; at least one mebibyte.
    """
    if node.memory_bytes is None:
        return default
    return max(int(node.memory_bytes * fraction), MIN_BUFFER_BYTES)


def make_identity_salt(node: Node) -> bytes:
    """Make the key of requests' identities, the same on all hosts.

    It keeps bodies from being guessed from logs and messages without knowledge
    of the deployment.

    :param node: the node settings.
    :returns: the key.
    """
    host, port = node.store
    return f'{host}:{port}'.encode()


def apply_settings(
    context: EntryContext, store: StoreClient, stop: Stop, changed: Node
) -> None:
    """Apply reloaded settings to a running entry.

    :param context: the entry's shared state.
    :param store: the client of the store.
    :param stop: the entry's shutdown controller.
    :param changed: the reloaded node settings.
    """
    context.apply_settings(make_settings(changed))
    store.set_address(changed.store)
    stop.deadline = changed.grace_seconds


async def serve(
    node: Node, listeners: Sequence[socket], log: ChangeLog, stop: Stop
) -> None:
    """Run the entry until it stops.

    :param node: the node settings.
    :param listeners: sockets for callers and for readiness checks.
    :param log: event log.
    :param stop: shutdown controller.
    """
    context = EntryContext(make_settings(node), HEADER_NAMES, log)
    log.log_change(Started('entry', node.name, ''))
    server = EntryServer(context, stop, Listeners(*map(Socket, listeners)))
    store = StoreClient(node.store)
    serve_tally(
        context.metrics.registry,
        'ospreyford_store_calls',
        "Calls of the platform's store.",
        store,
        'calls',
    )
    serve_tally(
        context.metrics.registry,
        'ospreyford_store_generation',
        'Generation of the store; rises when it comes back from a copy.',
        store.generations,
        'number',
    )
    feed = StoreFeed(store, server.updater, context)
    reloader = SettingsReloader(
        node, partial(apply_settings, context, store, stop), log
    )
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(server.run, feed.run)
        await group.spawn(reloader.run, stop.hung_up)
        await group.spawn(stop.watch)


def run(node: Node, listeners: Sequence[socket]) -> None:
    """Run the entry.

    :param node: the node settings.
    :param listeners: sockets for callers and for readiness checks.
    """
    hand_back_memory()
    log = open_log(node)
    # The platform ends the grace by SIGKILL, never by a second SIGTERM.
    stop = Stop(node.grace_seconds, may_repeat=True)
    stop.record_signal = log.log_change
    stop.install()
    try:
        curio.run(serve, node, listeners, log, stop)
    finally:
        stop.finish()
        log.close()
