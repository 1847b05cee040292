"""Entry that hands each agent the members of its group."""

from __future__ import annotations

import socket
import zlib
from collections.abc import Iterable
from threading import Event

from ospreyford.direct.catalog import Engine as Figures
from ospreyford.rebalance.entrymessages import GroupStatus, Hello, HelloReply
from ospreyford.rebalance.messages import decode, encode

HELLO_INTERVAL_SECONDS = 0.05
BACKEND_PORT = 1
MAX_BYTES = 60_000


class FakeEntry:
    """Sends hellos to all agents, and learns their groups from the replies.

    ``groups`` are the groups by host, as told last; ``unasked`` counts the
    changes that agents have told, and ``statuses`` are the newest by tag.
    """

    def __init__(self, services: dict[str, str], figures: Figures) -> None:
        self.services = services
        self.groups: dict[str, str] = {}
        self.changes: list[tuple[str, str]] = []
        self.statuses: dict[int, GroupStatus] = {}
        self._figures = figures

    def run(self, finished: Event, port: int) -> None:
        """Send hellos and read what agents send until the end."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.settimeout(HELLO_INTERVAL_SECONDS)
            while not finished.is_set():
                for host, service in tuple(self.services.items()):
                    hello = self._make_hello(host, service)
                    sock.sendto(encode(hello), (host, port))
                finished.wait(HELLO_INTERVAL_SECONDS)
                self._read(sock)

    def _read(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        while True:
            try:
                datagram = sock.recv(MAX_BYTES)
            except OSError:
                return
            self._record(decode(datagram))

    def _record(self, message: object) -> None:
        match message:
            case HelloReply(host=host, group=group):
                if self.groups.get(host) != group:
                    self.changes.append((host, group))
                self.groups[host] = group
            case GroupStatus(tag=tag):
                self.statuses[tag] = message

    def _make_hello(self, host: str, service: str) -> Hello:
        group = self.groups.get(host, '')
        hosts = [one for one, name in self.services.items() if name == service]
        members = list_backends(
            one for one in hosts if group and self.groups.get(one) == group
        )
        unassigned = list_backends(
            one for one in hosts if not self.groups.get(one)
        )
        return Hello(
            'e',
            service,
            zlib.crc32(repr((members, unassigned)).encode()),
            members,
            self._figures,
            0.01,
            group=group,
            unassigned=unassigned,
        )


def list_backends(hosts: Iterable[str]) -> tuple[tuple[str, int], ...]:
    return tuple((host, BACKEND_PORT) for host in sorted(hosts))
