"""Admission gates of all services with rank groups."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ospreyford.direct.gate import StreamGate
from ospreyford.direct.roomreports import log_rooms

if TYPE_CHECKING:
    from ospreyford.direct.admission import GroupLoad
    from ospreyford.direct.call import Call
    from ospreyford.direct.context import EntryContext
    from ospreyford.rebalance.groupkey import GroupKey


def find_gate(context: EntryContext, call: Call) -> StreamGate | None:
    """Find the admission gate of a request.

    :param context: shared state of the entry.
    :param call: the request.
    :returns: the gate, or ``None`` if its service has no rank groups.
    """
    catalog = context.catalog
    service = catalog.services.get(call.service) if catalog else None
    if service is None or service.engine is None or not call.route.max_gap:
        return None
    gate = context.gates.get(call.service)
    if gate is None:
        gate = StreamGate(
            call.route.max_gap,
            context.room.count_slots(
                context.backends.list_available(call.service)
            ),
            context.count_entries(),
            context.random,
        )
        refresh_groups(context)
        _update_rooms(context, call.service, gate)
        context.gates[call.service] = gate
    return gate


def refresh_groups(context: EntryContext) -> None:
    """Apply changes of backends and of their groups to the gates.

    :param context: shared state of the entry.
    """
    if context.groups.refresh():
        for service, gate in context.gates.items():
            _update_rooms(context, service, gate)


async def process_queues(context: EntryContext) -> None:
    """Admit and refuse queued requests as time passes.

    :param context: shared state of the entry.
    """
    for service, gate in context.gates.items():
        if context.zones.has_any():
            # Zones that return get more by the second.
            _update_rooms(context, service, gate)
        if context.suspects.blocked_count:
            await gate.refuse_blocked(context.suspects.is_blocked)
        is_accepting = _update_accepting(context, service, gate)
        await gate.process_queue(is_accepting=is_accepting)
        log_rooms(service, gate, context.log)


async def update_group_load(
    context: EntryContext, key: GroupKey, load: GroupLoad
) -> None:
    """Apply a coordinator's load report.

    :param context: shared state of the entry.
    :param key: key of the group.
    :param load: the report, without the published base time.
    """
    gate = context.gates.get(key.service)
    room = None if gate is None else gate.rooms.find(key.name)
    catalog = context.catalog
    service = catalog.services.get(key.service) if catalog else None
    if gate is None or room is None or service is None:
        return
    if service.engine is not None:
        members = context.groups.select_members(
            context.backends.list_available(key.service), key.name
        )
        reported = load._replace(
            base_seconds=service.engine.pass_seconds,
            slots=room.backends.slots,
            free_slots=context.room.count_free_slots(members),
        )
        await gate.update_load(reported, context.count_entries(), key.name)


def _update_rooms(
    context: EntryContext, service: str, gate: StreamGate
) -> None:
    zone = context.settings.zone
    gate.rooms.update_backends(
        context.groups.list_backends(service, zone, context.room),
        context.count_entries(),
    )


def _update_accepting(
    context: EntryContext, service: str, gate: StreamGate
) -> bool:
    """Apply which groups have backends that take requests.

    :returns: whether any backend of the service does.
    """
    now = time.monotonic()
    declarations = context.declarations
    backends = context.backends.list_preferred(service)
    if not gate.rooms.is_sole():
        accepting = declarations.list_accepting(backends, now)
        names = context.groups.find_names
        gate.rooms.update_declining(names(backends) - names(accepting))
    return declarations.find_resume_time(backends) <= now
