"""What the platform's host list adds to the view."""

from __future__ import annotations

from ospreyford.membership.digests import Record
from ospreyford.membership.member import Member, Version, listed_member
from ospreyford.membership.view import View
from ospreyford.ports.fleet import Host, HostState


def note_host(view: View, host: Host) -> None:
    """Take in one listed host.

    The list lags and may be stale for long. So it adds hosts that are not
    known at all, and its leaving mark holds for the instance that it names;
    it never changes an address or a state that a process itself has told.

    :param view: the members.
    :param host: the host.
    """
    is_leaving = host.state is HostState.leaving
    record = view.find(host.name)
    if record is None or _is_outdated(record, host):
        listed = listed_member(host)
        view.put_listed(listed, Version(listed.incarnation, is_leaving))
    elif is_leaving and record.member.instance == host.instance:
        view.mark_leaving(host.name)


def _is_outdated(record: Record, host: Host) -> bool:
    if not record.is_listed_only:
        return False
    known: Member = record.member
    return known != listed_member(host) or record.version.leaving is not (
        host.state is HostState.leaving
    )
