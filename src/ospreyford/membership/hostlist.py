"""Merging the platform's host list into the view."""

from __future__ import annotations

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.digests import Record
from ospreyford.membership.member import Version, build_listed_member
from ospreyford.ports.fleet import Host, HostState


def merge_listed_host(context: MembershipContext, host: Host) -> None:
    """Merge one listed host.

    The list may be stale, so it only adds unknown hosts and marks the listed
    instance as leaving. The address of another instance than the known one
    is kept as a probe target.

    :param context: the shared state.
    :param host: the host.
    """
    view = context.view
    is_leaving = host.state is HostState.leaving
    record = view.find(host.name)
    if record is None or _is_changed(record, host):
        member = build_listed_member(host)
        view.store_listed(member, Version(member.incarnation, is_leaving))
    elif record.member.instance == host.instance:
        context.unconfirmed_addresses.pop(host.name, None)
        if is_leaving:
            view.mark_leaving(host.name)
    else:
        context.unconfirmed_addresses[host.name] = host.peer_address


def _is_changed(record: Record, host: Host) -> bool:
    return record.is_listed_only and record.member != build_listed_member(host)
