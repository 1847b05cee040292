"""Whether this agent's backend server is to take no new work."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ospreyford.membership.member import MemberState
from ospreyford.ports.fleet import Host, HostState

if TYPE_CHECKING:
    from ospreyford.documents.snapshot import ConfigurationSnapshot
    from ospreyford.membership.member import StateChange


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
        self._marked = False
        self._host: Host | None = None
        self._picture: ConfigurationSnapshot | None = None

    def note_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Take over the hosts as they are known now.

        :param hosts: all hosts of the fleet.
        """
        for host in hosts:
            if host.name == self._name:
                self._host = host

    def note_member(self, change: StateChange) -> None:
        """Take over a leaving mark that another process has read.

        What goes wrong without it: few processes read the host list, so the
        agent itself may not for hours; it would take new work from entries
        that lag. The mark is for good, also where a stale list shows none.

        :param change: a member's new state.
        """
        # A stopping agent announces by the same state that it leaves.
        is_own = change.member.name == self._name and not self.stopping
        if is_own and change.after is MemberState.leaving:
            self._marked = True

    def note_picture(self, picture: ConfigurationSnapshot) -> None:
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
        if self._marked:
            return True
        return self._host is not None and self._host.state is HostState.leaving

    def _is_requested(self) -> bool:
        if self._host is None or self._picture is None:
            return False
        return self._picture.drain_of(self._host) is not None
