"""Whether this agent's backend server is to take no new work."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ospreyford.ports.fleet import Host, HostState

if TYPE_CHECKING:
    from ospreyford.documents.picture import Picture


@dataclass(frozen=True)
class DrainCause:
    """One reason to take no new work.

    :param source: ``signal``, ``host list`` or ``drain request``.
    """

    source: str


class DrainState:
    """Joins what asks for a drain: any one of them is enough.

    The agent judges for itself, so that a leaving server gets no new work
    although entries, the host list or the configuration service lag behind.

    :param name: the backend server's name.
    """

    def __init__(self, name: str) -> None:
        self.stopping = False
        self._name = name
        self._host: Host | None = None
        self._picture: Picture | None = None

    def note_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Take over a newly read host list.

        :param hosts: all hosts of the fleet.
        """
        for host in hosts:
            if host.name == self._name:
                self._host = host

    def note_picture(self, picture: Picture) -> None:
        """Take over a new picture.

        :param picture: what the documents in force say.
        """
        self._picture = picture

    def find_causes(self) -> tuple[DrainCause, ...]:
        """Find out why no new work is taken.

        :returns: the causes; none when work is taken.
        """
        found = {
            'signal': self.stopping,
            'host list': self._is_leaving(),
            'drain request': self._is_requested(),
        }
        return tuple(DrainCause(name) for name in found if found[name])

    def _is_leaving(self) -> bool:
        return self._host is not None and self._host.state is HostState.leaving

    def _is_requested(self) -> bool:
        if self._host is None or self._picture is None:
            return False
        return self._picture.drain_of(self._host) is not None
