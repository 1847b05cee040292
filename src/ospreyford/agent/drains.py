"""Drain state of the agent's backend server."""

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
    """Reason why the backend server is draining.

    :param source: ``signal``, ``host list`` or ``drain request``.
    """

    source: str


class DrainState:
    """Combines all drain sources; any one of them is sufficient.

    The agent decides locally, so that a leaving server refuses new work even
    if entries act on stale state.

    :param name: the backend server's name.
    """

    def __init__(self, name: str) -> None:
        self.stopping = False
        self._name = name
        self._is_marked_leaving = False
        self._host: Host | None = None
        self._picture: ConfigurationSnapshot | None = None

    def handle_hosts(self, hosts: tuple[Host, ...]) -> None:
        """Update this server's host.

        :param hosts: all hosts of the fleet.
        """
        for host in hosts:
            if host.name == self._name:
                self._host = host

    def handle_member_change(self, change: StateChange) -> None:
        """Record that another process read a leaving mark for this server.

        The agent itself may not read the host list for hours. The mark is
        permanent, even if a stale list lacks it.

        :param change: a member's state change.
        """
        # A stopping agent announces the same state itself.
        is_own = change.member.name == self._name and not self.stopping
        if is_own and change.after is MemberState.leaving:
            self._is_marked_leaving = True

    def handle_picture(self, picture: ConfigurationSnapshot) -> None:
        """Update the configuration in force.

        :param picture: the resolved documents in force.
        """
        self._picture = picture

    def find_causes(self) -> tuple[DrainCause, ...]:
        """List the active drain causes.

        :returns: the causes; empty unless the server is draining.
        """
        is_active_by_source = {
            'signal': self.stopping,
            'host list': self._is_leaving(),
            'drain request': self._is_drain_requested(),
        }
        return tuple(
            DrainCause(name)
            for name in is_active_by_source
            if is_active_by_source[name]
        )

    def _is_leaving(self) -> bool:
        if self._is_marked_leaving:
            return True
        return self._host is not None and self._host.state is HostState.leaving

    def _is_drain_requested(self) -> bool:
        if self._host is None or self._picture is None:
            return False
        return self._picture.drain_of(self._host) is not None
