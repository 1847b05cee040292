"""Parser of the node settings file that the platform provides."""

from __future__ import annotations

import os
from ipaddress import AddressValueError, IPv4Address
from pathlib import Path
from typing import TYPE_CHECKING, Final, NamedTuple

from ospreyford.platform.errors import BadNodeFile

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Environment variable that holds the file's path.
PATH_VARIABLE: Final = 'OSPREYFORD_NODE_FILE'
MS_PER_SECOND = 1000
MAX_FILE_BYTES = 1_048_576
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
BYTES_PER_MEGABIT = 125_000
BYTES_PER_MEGABYTE = 1_048_576
#: Bounds of settings files that name none.
DEFAULT_COLD_OVERAGE = 1.5
DEFAULT_COLD_SLACK = 5.0


class Node(NamedTuple):
    """Node settings.

    :param name: the host's name.
    :param ip: its IP address.
    :param zone: its availability zone.
    :param region: its region.
    :param front: listen address for callers, on entries only.
    :param ready: listen address for readiness checks, on entries only.
    :param first_port: first port for datagrams between processes.
    :param store: address of the platform's store.
    :param drain_seconds: maximum time a backend may get requests after
        deregistration.
    :param grace_seconds: time from SIGTERM to SIGKILL.
    :param revoke_seconds: maximum time a revoked key may be accepted; ``None``
        if keys stay valid during a store outage.
    :param retry_ratio: retries per request.
    :param retry_window: sliding window of the retry budget, in seconds.
    :param retry_slack: additional retries of all entries together.
    :param backend: address of the backend on this host, on agents only.
    :param service: the service of that backend.
    :param link_bytes: bandwidth of the host's link, in bytes per second.
    :param cold_overage: requests that a cold backend may get in a second,
        relative to the rate that its service publishes.
    :param cold_slack: additional requests in that second.
    :param memory_bytes: limit of the process's memory, in bytes; ``None`` if
        the file names none.
    """

    name: str
    ip: str
    zone: str
    region: str
    front: tuple[str, int] | None
    ready: tuple[str, int] | None
    first_port: int
    store: tuple[str, int]
    drain_seconds: float
    grace_seconds: float
    revoke_seconds: float | None
    retry_ratio: float
    retry_window: float
    retry_slack: float
    backend: tuple[str, int] | None
    service: str | None
    link_bytes: float = float('inf')
    cold_overage: float = DEFAULT_COLD_OVERAGE
    cold_slack: float = DEFAULT_COLD_SLACK
    memory_bytes: float | None = None


class FieldReader:
    """Reads typed values from the entries of a settings file.

    :param path: the file, for error messages.
    :param entries: values by key.
    """

    def __init__(self, path: str, entries: Mapping[str, str]) -> None:
        self._path = path
        self._entries = entries

    def read_text(self, key: str) -> str:
        """Read a required string.

        :param key: its key.
        :returns: the text.
        :raises BadNodeFile: it is missing.
        """
        text = self._entries.get(key)
        if not text:
            raise BadNodeFile(self._path, key, 'missing')
        return text

    def read_number(self, key: str) -> float:
        """Read a required number.

        :param key: its key.
        :returns: a finite number, 0 or greater.
        :raises BadNodeFile: it is missing or invalid.
        """
        text = self.read_text(key)
        try:
            number = float(text)
        except ValueError:
            raise BadNodeFile(
                self._path, key, f'not a number: {text}'
            ) from None
        if not 0 <= number < float('inf'):
            raise BadNodeFile(self._path, key, f'out of range: {text}')
        return number

    def read_optional_number(self, key: str, default: float) -> float:
        """Read an optional number.

        :param key: its key.
        :param default: the number if it is missing.
        :returns: a finite number, 0 or greater.
        :raises BadNodeFile: it is invalid.
        """
        return self.read_number(key) if self._entries.get(key) else default

    def read_seconds(self, key: str) -> float:
        """Read a required duration in milliseconds.

        :param key: its key.
        :returns: seconds.
        :raises BadNodeFile: it is missing or invalid.
        """
        return self.read_number(key) / MS_PER_SECOND

    def read_address(self, key: str) -> tuple[str, int]:
        """Read a required address.

        :param key: its key.
        :returns: IP address and port.
        :raises BadNodeFile: it is missing or invalid.
        """
        text = self.read_text(key)
        address = parse_address(text)
        if address is None:
            raise BadNodeFile(
                self._path, key, f'not an IPv4 address and port: {text}'
            )
        return address

    def read_optional_address(self, key: str) -> tuple[str, int] | None:
        """Read an optional address.

        :param key: its key.
        :returns: IP address and port, or ``None``.
        :raises BadNodeFile: it is invalid.
        """
        return self.read_address(key) if self._entries.get(key) else None

    def read_flag(self, key: str) -> bool:
        """Read an optional boolean.

        :param key: its key.
        :returns: whether it is ``true``, in any letter case.
        """
        return self._entries.get(key, '').lower() == 'true'


def parse_address(text: str) -> tuple[str, int] | None:
    """Parse an address.

    :param text: ``ip:port``.
    :returns: IP address and port, or ``None`` if it is invalid.
    """
    host, _, port = text.rpartition(':')
    is_number = port.isascii() and port.isdigit()
    if not is_number or len(port) > MAX_PORT_DIGITS:
        return None
    try:
        IPv4Address(host)
    except AddressValueError:
        return None
    return (host, int(port)) if 0 < int(port) <= MAX_PORT else None


def read_node() -> Node:
    """Read the settings file that the environment variable names.

    :returns: the node settings.
    :raises BadNodeFile: it cannot be read, or an entry is missing or invalid.
    """
    path = os.environ.get(PATH_VARIABLE, '')
    try:
        with Path(path).open(encoding='utf-8', errors='replace') as stream:
            content = stream.read(MAX_FILE_BYTES)
    except OSError as error:
        raise BadNodeFile(path, '-', str(error)) from None
    return parse_node(path, content)


def parse_node(path: str, content: str) -> Node:
    """Parse a settings file.

    :param path: the file, for error messages.
    :param content: lines of the form ``a.b=value``.
    :returns: the node settings.
    :raises BadNodeFile: an entry is missing or invalid.
    """
    entries: dict[str, str] = {}
    for line in content.splitlines():
        key, separator, text = line.partition('=')
        if separator:
            entries[key.strip()] = text.strip()
    reader = FieldReader(path, entries)
    return Node(
        name=reader.read_text('NodeName'),
        ip=reader.read_text('Ip'),
        zone=reader.read_text('Zone'),
        region=reader.read_text('Region'),
        front=reader.read_optional_address('Listen.Front'),
        ready=reader.read_optional_address('Listen.Ready'),
        first_port=_read_first_port(path, reader),
        store=reader.read_address('Platform.Address'),
        drain_seconds=reader.read_seconds('Bounds.DrainMs'),
        grace_seconds=reader.read_number('Bounds.GraceS'),
        revoke_seconds=(
            reader.read_seconds('Bounds.RevokeMs')
            if reader.read_flag('Bounds.FailClosed')
            else None
        ),
        retry_ratio=reader.read_number('Bounds.RetryBudgetRatio'),
        retry_window=reader.read_number('Bounds.RetryWindowS'),
        retry_slack=reader.read_number('Bounds.BudgetSlack'),
        backend=reader.read_optional_address('app'),
        service=entries.get('Service') or None,
        link_bytes=reader.read_number('Limits.LinkMbps') * BYTES_PER_MEGABIT
        if entries.get('Limits.LinkMbps')
        else float('inf'),
        cold_overage=reader.read_optional_number(
            'Bounds.ColdOverage', DEFAULT_COLD_OVERAGE
        ),
        cold_slack=reader.read_optional_number(
            'Bounds.ColdSlack', DEFAULT_COLD_SLACK
        ),
        memory_bytes=reader.read_number('Limits.MemoryMb') * BYTES_PER_MEGABYTE
        if entries.get('Limits.MemoryMb')
        else None,
    )


def _read_first_port(path: str, reader: FieldReader) -> int:
    text = reader.read_text('PortRange').split(',')[0]
    if not text.isdigit():
        raise BadNodeFile(path, 'PortRange', f'not a port: {text}')
    return int(text)
