"""The settings file that the platform hands to each process."""

from __future__ import annotations

import os
from ipaddress import AddressValueError, IPv4Address
from pathlib import Path
from typing import TYPE_CHECKING, Final, NamedTuple

from ospreyford.platform.errors import BadNodeFile

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Environment variable with the file's path.
PATH_VARIABLE: Final = 'OSPREYFORD_NODE_FILE'
MS_PER_SECOND = 1000
MAX_FILE_BYTES = 1_048_576
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
BYTES_PER_MEGABIT = 125_000


class Node(NamedTuple):
    """What a settings file says, by the project's names.

    :param name: the host's name.
    :param ip: its IP number.
    :param zone: its availability zone.
    :param region: its region.
    :param front: where callers connect, on entries only.
    :param ready: where the balancer asks for readiness, on entries only.
    :param first_port: the first port for messages between processes.
    :param store: the address of the platform's store.
    :param drain_seconds: a back end whose leaving was acknowledged may still
        get requests for that long.
    :param grace_seconds: from SIGTERM to SIGKILL.
    :param revoke_seconds: a revoked key may be served for that long, or
        ``None`` if the deployment does not ask for it.
    :param retry_ratio: second sendings for each request.
    :param retry_window: in which they are counted, in seconds.
    :param retry_slack: second sendings beyond the ratio, of all processes.
    :param backend: the back end on this host, on agents only.
    :param service: that back end's service.
    :param link_bytes: what the host's link carries, in bytes a second.
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


class FieldReader:
    """The lines of a settings file, read by key.

    :param path: the file, for errors.
    :param lines: values by key.
    """

    def __init__(self, path: str, entries: Mapping[str, str]) -> None:
        self._path = path
        self._entries = entries

    def read_text(self, key: str) -> str:
        """Read a value that must be there.

        :param key: its key.
        :returns: the text.
        :raises BadNodeFile: it is missing.
        """
        found = self._entries.get(key)
        if not found:
            raise BadNodeFile(self._path, key, 'missing')
        return found

    def read_number(self, key: str) -> float:
        """Read a number that must be there.

        :param key: its key.
        :returns: the number; not negative.
        :raises BadNodeFile: it is missing or no such number.
        """
        text = self.read_text(key)
        try:
            number = float(text)
        except ValueError:
            raise BadNodeFile(self._path, key, f'no number: {text}') from None
        if not 0 <= number < float('inf'):
            raise BadNodeFile(self._path, key, f'out of range: {text}')
        return number

    def read_seconds(self, key: str) -> float:
        """Read a time that is given in milliseconds.

        :param key: its key.
        :returns: seconds.
        :raises BadNodeFile: it is missing or no time.
        """
        return self.read_number(key) / MS_PER_SECOND

    def read_address(self, key: str) -> tuple[str, int]:
        """Read an address that must be there.

        :param key: its key.
        :returns: IP number and port.
        :raises BadNodeFile: it is missing or no address.
        """
        text = self.read_text(key)
        address = parse_address(text)
        if address is None:
            raise BadNodeFile(self._path, key, f'no address: {text}')
        return address

    def read_optional_address(self, key: str) -> tuple[str, int] | None:
        """Read an address that may be missing.

        :param key: its key.
        :returns: IP number and port, or ``None``.
        :raises BadNodeFile: it is there and no address.
        """
        return self.read_address(key) if self._entries.get(key) else None

    def read_flag(self, key: str) -> bool:
        """Read a truth value that may be missing.

        :param key: its key.
        :returns: whether it is true.
        """
        return self._entries.get(key, '').lower() == 'true'


def parse_address(text: str) -> tuple[str, int] | None:
    """Parse an address.

    :param text: IP number, colon, port.
    :returns: both parts, or ``None`` if it is no address.
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
    """Read the settings file that the environment names.

    :returns: its content by the project's names.
    :raises BadNodeFile: it cannot be read, or an entry cannot be used.
    """
    path = os.environ.get(PATH_VARIABLE, '')
    try:
        with Path(path).open(encoding='utf-8', errors='replace') as stream:
            content = stream.read(MAX_FILE_BYTES)
    except OSError as error:
        raise BadNodeFile(path, '-', str(error)) from None
    return parse_node(path, content)


def parse_node(path: str, content: str) -> Node:
    """Decode a settings file.

    :param path: the file, for errors.
    :param content: lines of the form ``a.b=value``.
    :returns: its content by the project's names.
    :raises BadNodeFile: an entry is missing or cannot be used.
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
        # The budget's own slack: requests that may be sent again beyond the
        # ratio.
        retry_slack=reader.read_number('Bounds.BudgetSlack'),
        # The replica of a model service that shares this host.
        backend=reader.read_optional_address('app'),
        service=entries.get('Service') or None,
        link_bytes=reader.read_number('Limits.LinkMbps') * BYTES_PER_MEGABIT
        if entries.get('Limits.LinkMbps')
        else float('inf'),
    )


def _read_first_port(path: str, reader: FieldReader) -> int:
    text = reader.read_text('PortRange').split(',')[0]
    if not text.isdigit():
        raise BadNodeFile(path, 'PortRange', f'no port: {text}')
    return int(text)
