"""Admission gates of all services with rank groups."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.direct.gate import StreamGate

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
            context.backends.count_slots(call.service),
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


def update_accepting(
    context: EntryContext, service: str, gate: StreamGate, now: float
) -> bool:
    """Apply which groups have backends that take requests.

    :param context: shared state of the entry.
    :param service: name of the service.
    :param gate: its gate.
    :param now: seconds on the monotonic clock.
    :returns: whether any backend takes requests.
    """
    declarations = context.declarations
    backends = context.backends.list_preferred(service)
    if declarations.has_any() and not gate.rooms.is_sole():
        accepting = declarations.list_accepting(backends, now)
        names = context.groups.find_names(backends)
        gate.rooms.update_declining(
            names - context.groups.find_names(accepting)
        )
    return declarations.find_resume_time(backends) <= now


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
        reported = load._replace(
            base_seconds=service.engine.pass_seconds,
            slots=room.backends.slots,
        )
        await gate.update_load(reported, context.count_entries(), key.name)


def _update_rooms(
    context: EntryContext, service: str, gate: StreamGate
) -> None:
    zone = context.settings.zone
    gate.rooms.update_backends(
        context.groups.list_backends(service, zone), context.count_entries()
    )
