"""Which back end takes a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from ospreyford.direct.catalog import Split
    from ospreyford.direct.registry import BackendState

#: What a failure rate of 1 weighs, in requests per slot. A back end that
#: fails all it gets is then chosen only when the others hold twice their
#: slots more.
FAILURE_WEIGHT = 2.0
#: What another availability zone weighs, in requests of a back end: bytes stay
#: in the zone unless a back end there has more to do than one elsewhere.
ZONE_WEIGHT = 1.0
#: Back ends that are drawn in the entry's own zone and elsewhere; the least
#: loaded of them takes the request.
SAME_ZONE_SAMPLE = 4
OTHER_ZONE_SAMPLE = 2
#: From here on a rank counts as slow: all ranks wait in each pass for the work
#: of its own requests, so it gets none while others have room.
SLOW_FACTOR = 1.25
#: What an agent that is not heard of weighs, in requests per slot. Its host may
#: be frozen or cut off with the back end beside it. Requests sent there hang
#: until their callers leave, and its last figures, of a back end with little to
#: do, would draw ever more. If the agent alone is gone, the others of its group
#: can take its part; if all are silent, all weigh the same.
UNREACHABLE_AGENT_WEIGHT = 2.0
#: From here on streams leave a rank. The work of its own requests is a small
#: part of a pass; at twice its time it is longer than what level experts leave
#: for all others, at twelve times a pass takes half a second for everybody.
MIGRATION_FACTOR = 2.0
#: A failure is held against a back end for this long, in seconds. Without an
#: end it would get no request any more that could show it sound again.
FAILURE_MEMORY_SECONDS = 4.0


class SelectionCriteria(NamedTuple):
    """What a request wants of its back end.

    :param zone: the entry's availability zone.
    :param avoided: ids of back ends that it was sent to before.
    :param now: seconds on the monotonic clock.
    """

    zone: str
    excluded: Collection[str]
    now: float


def select_backend(
    backends: Sequence[BackendState],
    criteria: SelectionCriteria,
    random: Random,
) -> BackendState | None:
    """Choose the least loaded of a few back ends that are drawn.

    Load pattern: many short and few long requests of unequal size, from
    several entries that know of each other's load only some time later. In that
    time 35 entries send 70 streams to a group of 129 ranks with three slots
    each. Had each of them chosen the least loaded rank of all, they would agree
    on the same ones: every eighth stream waited behind three others while half
    of all slots were free. Drawn, the candidates differ from entry to entry.

    :param members: back ends that take new work.
    :param wish: what the request wants.
    :param random: draws between equals.
    :returns: the member, or ``None`` if there is none.
    """
    untried = [
        one for one in backends if one.server.id not in criteria.excluded
    ]
    candidates = untried or list(backends)
    healthy = [one for one in candidates if _is_healthy(one)]
    sampled = _sample_candidates(healthy or candidates, criteria.zone, random)
    return min(
        sampled,
        key=lambda backend: (
            compute_load_score(backend, criteria),
            random.random(),
        ),
        default=None,
    )


def is_slow(backend: BackendState) -> bool:
    """Tell whether a rank is so slow that its streams leave it.

    :param member: the rank.
    :returns: whether they do.
    """
    return backend.slowdown >= MIGRATION_FACTOR


def find_migration_target(
    backends: Sequence[BackendState], slow: BackendState
) -> BackendState | None:
    """Find where the streams of a slow rank may go on.

    Load pattern: one rank of a group turns slow while streams run there. It
    gets no new ones, but all ranks wait in each pass for its own requests, and
    those take many times as long to end as elsewhere: every stream of the
    group is late until the last of them is out.

    :param members: back ends that take new work.
    :param slow: where a stream runs now.
    :returns: a rank at its usual pace with room, or ``None`` if there is none
        or the rank is not slow enough.
    """
    if not is_slow(slow):
        return None
    for backend in backends:
        has_room = backend.count_load() < backend.server.slots
        if _is_healthy(backend) and has_room:
            return backend
    return None


def compute_load_score(
    backend: BackendState, criteria: SelectionCriteria
) -> float:
    """Tell how little a back end suits a request.

    :param member: the back end.
    :param wish: what the request wants.
    :returns: requests per slot, with what else speaks against it.
    """
    slots = max(backend.server.slots, 1)
    weight = backend.count_load() / slots
    if backend.slowdown > SLOW_FACTOR:
        weight += backend.slowdown
    if backend.is_agent_unreachable:
        weight += UNREACHABLE_AGENT_WEIGHT
    if criteria.now - backend.failed_at < FAILURE_MEMORY_SECONDS:
        weight += FAILURE_WEIGHT * backend.failure_rate
    if backend.server.zone != criteria.zone:
        weight += ZONE_WEIGHT / slots
    return weight


def _is_healthy(backend: BackendState) -> bool:
    return backend.slowdown <= SLOW_FACTOR and not backend.is_agent_unreachable


def _sample_candidates(
    backends: Sequence[BackendState], zone: str, random: Random
) -> list[BackendState]:
    same_zone = [one for one in backends if one.server.zone == zone]
    other_zones = [one for one in backends if one.server.zone != zone]
    same_zone = random.sample(same_zone, min(SAME_ZONE_SAMPLE, len(same_zone)))
    remaining = OTHER_ZONE_SAMPLE + SAME_ZONE_SAMPLE - len(same_zone)
    return same_zone + random.sample(
        other_zones, min(remaining, len(other_zones))
    )


def select_service(splits: Sequence[Split], random: Random) -> str | None:
    """Draw the service of a request by the weights of its route.

    :param splits: the route's services.
    :param random: the source of the draw.
    :returns: the service's name, or ``None`` if the route has none.
    """
    total = sum(split.weight for split in splits)
    point = random.random() * total
    for split in splits:
        point -= split.weight
        if point < 0:
            return split.service
    return splits[-1].service if splits else None
