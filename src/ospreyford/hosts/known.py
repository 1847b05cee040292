"""The hosts as one process knows them, from the list and from membership."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

from ospreyford.hosts.messages import (
    HostAnswer,
    HostQuestion,
    read_host,
    write_host,
)
from ospreyford.membership.member import (
    UNKNOWN_INCARNATION,
    Member,
    MemberState,
)
from ospreyford.ports.fleet import Host

if TYPE_CHECKING:
    from ospreyford.membership.member import StateChange

#: How long a reading lets a process say that a host is gone from the list.
RECENT_SECONDS: Final = 60.0
#: From so many unknown listings on, reading the list costs less than asking.
MANY: Final = 64
BACKEND: Final = 'backend'


class Fleet(Protocol):
    """Membership, as far as the hosts are joined with it."""

    def members(self) -> Sequence[Member]:
        """List the live and suspected members."""

    def find(self, name: str) -> Member | None:
        """Look up a member in whatever state."""

    def state_of(self, name: str) -> MemberState | None:
        """Look up a member's state."""


class _Instance(Protocol):
    """A host, a member or a listing."""

    @property
    def name(self) -> str:
        """The slot's lasting name."""

    @property
    def instance(self) -> str:
        """The machine now in it."""


class Scope(NamedTuple):
    """Whose listings a process needs.

    Membership carries all fields of a host but its labels. An entry needs
    the labels of every backend server, an agent only its own.

    :param me: this process's name.
    :param routes: whether it is an entry.
    """

    me: str
    routes: bool

    def needs(self, member: Member) -> bool:
        """Tell whether the labels of a member are needed.

        :param member: the member.
        :returns: whether they are.
        """
        if self.routes:
            return member.role == BACKEND
        return member.name == self.me


class KnownHosts:
    """Joins listings and members.

    Membership decides which instance of a name counts: its incarnations are
    ordered, listings are not. Symptom without that: a stale list sends new
    work to the address of a machine that was replaced long ago.

    :param scope: whose listings are needed.
    :param fleet: membership.
    """

    def __init__(self, scope: Scope, fleet: Fleet) -> None:
        self.changed = False
        #: Instances heard whose labels are needed, as of :meth:`hosts`.
        self.lacking: list[HostQuestion] = []
        self._dead: list[HostQuestion] = []
        self._scope = scope
        self._fleet = fleet
        self._rows: dict[HostQuestion, Host] = {}
        self._listed: frozenset[str] = frozenset()
        self._read_at = -math.inf

    def note_list(self, hosts: Iterable[Host], now: float) -> None:
        """Take over the whole list, however old; membership has it already.

        :param hosts: the hosts.
        :param now: monotonic time of the reading.
        """
        fresh = {_key(host): host for host in hosts}
        self._listed = frozenset(key.name for key in fresh)
        kept = {
            key: row for key, row in self._rows.items() if self._outlives(key)
        }
        self._rows = kept | fresh
        self._read_at = now
        self.changed = True

    def note_member(self, _change: StateChange) -> None:
        """Note that a member changed; subscribe this to membership.

        :param _change: the change.
        """
        self.changed = True

    def note_answer(
        self, asked: Iterable[HostQuestion], answer: HostAnswer
    ) -> bool:
        """Take over what another process answered.

        :param asked: what it was asked.
        :param answer: its answer.
        :returns: whether anything was new.
        """
        wanted = frozenset(asked)
        found = {_key(row): read_host(row) for row in answer.rows}
        news = {
            key: host
            for key, host in found.items()
            if key in wanted and key not in self._rows
        }
        self._rows |= news
        names = frozenset(answer.gone).intersection(one.name for one in wanted)
        lost = [key for key in self._rows if self._is_gone(key, names)]
        for key in lost:
            self._rows.pop(key)
        is_new = bool(news or lost)
        self.changed = self.changed or is_new
        return is_new

    def answer(
        self, questions: Iterable[HostQuestion], now: float
    ) -> HostAnswer:
        """Answer another process.

        :param questions: what it asks.
        :param now: monotonic time.
        :returns: the answer.
        """
        asked = tuple(questions)
        rows = [self._rows[one] for one in asked if one in self._rows]
        gone: tuple[str, ...] = ()
        if now - self._read_at <= RECENT_SECONDS:
            gone = tuple(
                one.name for one in asked if one.name not in self._listed
            )
        return HostAnswer(tuple(write_host(row) for row in rows), gone)

    def questions(self) -> list[HostQuestion]:
        """List what this process should ask its zone's readers.

        :returns: as of the last :meth:`hosts`, instances whose labels it
            lacks and, at an entry, dead ones that may be gone from the
            list: a former home is asked about its keys until it is.
        """
        return [*self.lacking, *self._dead]

    def hosts(self) -> tuple[Host, ...]:
        """List the hosts.

        A host that is heard but whose labels are needed and not known is
        left out: a selector of a pool could take it for another kind.

        :returns: one host for each name.
        """
        shown = {
            key.name: row for key, row in self._rows.items() if self._fits(key)
        }
        members = {one.name: one for one in self._fleet.members()}
        self._dead = [
            _key(host)
            for name, host in shown.items()
            if self._scope.routes
            and name not in members
            and self._fleet.state_of(name) is MemberState.dead
        ]
        self.lacking = []
        for name, member in members.items():
            if name in shown or not _is_heard(member):
                continue
            if self._scope.needs(member):
                self.lacking.append(_key(member))
            else:
                shown[name] = _to_host(member)
        return tuple(shown.values())

    def trim(self, now: float) -> None:
        """Drop what an agent read as a reader, a while after its turn.

        :param now: monotonic time.
        """
        if self._scope.routes or now - self._read_at <= RECENT_SECONDS:
            return
        self._rows = {
            key: row
            for key, row in self._rows.items()
            if key.name == self._scope.me
        }
        self._listed = frozenset()
        self._read_at = -math.inf

    def _fits(self, key: HostQuestion) -> bool:
        member = self._fleet.find(key.name)
        if member is None:
            return False
        return not _is_heard(member) or member.instance == key.instance

    def _is_dead(self, key: HostQuestion) -> bool:
        if self._fleet.state_of(key.name) is not MemberState.dead:
            return False
        return self._fits(key)

    def _is_gone(self, key: HostQuestion, names: frozenset[str]) -> bool:
        # The list may be older than a host that is heard.
        return key.name in names and self._is_dead(key)

    def _outlives(self, key: HostQuestion) -> bool:
        member = self._fleet.find(key.name)
        if member is None or not _is_heard(member):
            return False
        if member.instance != key.instance:
            return False
        return key.name in self._listed or not self._is_dead(key)


def _key(named: _Instance) -> HostQuestion:
    return HostQuestion(named.name, named.instance)


def _to_host(member: Member) -> Host:
    return Host(
        name=member.name,
        instance=member.instance,
        role=member.role,
        zone=member.zone,
        region=member.region,
        service=member.service,
        data_address=member.data_address,
        peer_address=member.peer_address,
    )


def _is_heard(member: Member) -> bool:
    return member.incarnation != UNKNOWN_INCARNATION
