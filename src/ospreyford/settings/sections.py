"""Settings sections shared by entry and agent.

Durations are in seconds, sizes in bytes. Checks across the keys of a section
are in ``__post_init__`` and raise :class:`KeyConflict`.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from ospreyford.http.message import Limits
from ospreyford.settings.errors import KeyConflict
from ospreyford.settings.types import (
    Address,
    BufferedLines,
    BufferedSpans,
    Bytes,
    Count,
    FilePath,
    HeadBytes,
    Name,
    Ratio,
    Seconds,
    split_address,
)

ANY_HOST = '0.0.0.0'  # noqa: S104 (refused below, never bound)


class Identity(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Identity of this process.

    :param name: the slot's lasting name.
    :param instance: the platform's id of the machine now in the slot.
    :param zone: availability zone.
    :param region: region.
    """

    name: Name
    instance: Name
    zone: Name
    region: Name


class Listen(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Listen addresses of this process.

    :param data_address: callers at an entry, entries at an agent.
    :param admin_address: metrics, health, status; for operators and scrapers.
    :param peer_address: messages between the system's own processes.
    """

    data_address: Address
    admin_address: Address
    peer_address: Address

    def __post_init__(self) -> None:
        """Refuse duplicate addresses and an unroutable peer address.

        :raises KeyConflict: names the key.
        """
        if self.admin_address == self.data_address:
            raise KeyConflict(
                'admin_address', 'an address other than listen.data_address'
            )
        if self.peer_address in {self.data_address, self.admin_address}:
            raise KeyConflict(
                'peer_address',
                'an address that no other key of listen has',
            )
        if split_address(self.peer_address)[0] == ANY_HOST:
            raise KeyConflict(
                'peer_address',
                'the IP number that other hosts reach this one by',
            )


class Platform(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Addresses of the platform's services.

    :param config_service: the configuration service.
    :param host_list: the list of live and leaving hosts.
    """

    config_service: Address
    host_list: Address


class Backend(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Backend server on the agent's host.

    :param address: where it listens.
    :param service: the service that it belongs to.
    :param kind: ``model`` for an engine, ``plain`` for any other service.
    """

    address: Address
    service: Name
    kind: Literal['model', 'plain']


class HttpLimits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Limits on callers' connections.

    :param head_seconds: from a head's first byte to its end.
    :param idle_seconds: between requests.
    :param body_seconds: for a whole body.
    :param head_bytes: size of a head.
    :param body_bytes: size of a body.
    :param connections: open at once; further ones are closed.
    """

    head_seconds: Seconds = 5.0
    idle_seconds: Seconds = 60.0
    body_seconds: Seconds = 15.0
    head_bytes: HeadBytes = 16_384
    body_bytes: Bytes = 1_048_576
    connections: Count = 4096

    def to_limits(self) -> Limits:
        """Convert to the limits of the HTTP server.

        :returns: the limits.
        """
        bounds = msgspec.structs.asdict(self)
        bounds.pop('connections')
        return Limits(**bounds)


class Drain(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Graceful shutdown.

    :param deadline_seconds: after it, work still in flight is cut.
    """

    deadline_seconds: Seconds = 150.0


class Logs(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Log output, one JSON object per line.

    :param destination: ``stderr`` or ``file``.
    :param path: where to write, for ``file`` only.
    :param level: the lowest level written.
    :param max_buffered_lines: lines kept while the destination is slow; more
        are dropped and counted.
    """

    destination: Literal['stderr', 'file'] = 'stderr'
    path: FilePath | None = None
    level: Literal['info', 'warning', 'error'] = 'info'
    max_buffered_lines: BufferedLines = 4096

    def __post_init__(self) -> None:
        """Refuse a file destination without a path, and an unused path.

        :raises KeyConflict: names the key.
        """
        _check_file('destination', self.destination, self.path)


class Traces(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Trace spans.

    :param sample_ratio: share of requests whose spans are exported and kept
        apart; failed ones always are.
    :param exporter: ``none`` or ``file``, JSON lines.
    :param path: where to write, for ``file`` only.
    :param max_spans: spans kept in memory for ``/traces``, and as many again
        of sampled and failed ones.
    """

    sample_ratio: Ratio = 0.01
    exporter: Literal['none', 'file'] = 'none'
    path: FilePath | None = None
    max_spans: BufferedSpans = 1024

    def __post_init__(self) -> None:
        """Refuse a file exporter without a path, and an unused path.

        :raises KeyConflict: names the key.
        """
        _check_file('exporter', self.exporter, self.path)


def _check_file(key: str, destination: str, path: str | None) -> None:
    if destination == 'file' and path is None:
        raise KeyConflict('path', f'a path, since {key} is "file"')
    if destination != 'file' and path is not None:
        raise KeyConflict('path', f'no path, since {key} is "{destination}"')
