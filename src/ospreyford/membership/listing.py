"""What the platform's host list adds to the view."""

from __future__ import annotations

from ospreyford.membership.digests import Record
from ospreyford.membership.member import Version, listed_member
from ospreyford.membership.tables import Tables
from ospreyford.ports.fleet import Host, HostState


def note_host(tables: Tables, host: Host) -> None:
    """Take in one listed host.

    The list lags and may be stale for long. So it adds hosts that are not
    known at all, and its leaving mark holds for the instance that it names;
    it never changes an address or a state that a process itself has told.
    Where it names another instance than the one known here, one of the two
    is out of date; the address is kept to be tried if need be.

    :param tables: the shared tables.
    :param host: the host.
    """
    view = tables.view
    is_leaving = host.state is HostState.leaving
    record = view.find(host.name)
    if record is None or _is_changed(record, host):
        listed = listed_member(host)
        view.put_listed(listed, Version(listed.incarnation, is_leaving))
    elif record.member.instance == host.instance:
        tables.other_instances.pop(host.name, None)
        if is_leaving:
            view.mark_leaving(host.name)
    else:
        tables.other_instances[host.name] = host.peer_address


def _is_changed(record: Record, host: Host) -> bool:
    return record.is_listed_only and record.member != listed_member(host)
