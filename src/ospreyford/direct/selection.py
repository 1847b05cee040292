"""Selection of the backend and the service for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from ospreyford.direct.catalog import Split
    from ospreyford.direct.registry import BackendState

#: Load score of a failure rate of 1, in requests per slot: a backend that fails
#: everything is selected only when the others hold twice their slots more.
FAILURE_WEIGHT = 2.0
#: Load score of another availability zone, in requests of a backend: traffic
#: stays in the zone unless a backend there has more to do than one elsewhere.
ZONE_WEIGHT = 1.0
#: Backends sampled in the entry's own zone and in other zones.
SAME_ZONE_SAMPLE = 4
OTHER_ZONE_SAMPLE = 2
#: Slowdown above which a rank gets no new requests while others have room: all
#: ranks wait in each pass for the work of its own requests.
SLOW_FACTOR = 1.25
#: Penalty in requests per slot: the reported load is stale. The host may be
#: frozen or cut off with its backend, and requests sent there hang until their
#: callers disconnect.
UNREACHABLE_AGENT_WEIGHT = 2.0
#: Slowdown from which streams are migrated away from a rank. Its own requests
#: are a small part of a pass; at twice their time they take longer than what
#: balanced experts leave for all others.
MIGRATION_FACTOR = 2.0
#: Failures older than this are ignored, so that the backend is tried again.
FAILURE_MEMORY_SECONDS = 4.0


class SelectionCriteria(NamedTuple):
    """Criteria for the backend of a request.

    :param zone: the entry's availability zone.
    :param excluded: ids of backends that were already tried.
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
    """Select the least loaded of a random sample of backends.

    Load reports are delayed: if every entry picked the least loaded backend of
    all, entries would overload the same ones until the next report. Sampling
    makes the candidates differ between entries.

    :param backends: backends that accept new requests.
    :param criteria: the request's criteria.
    :param random: source of the sample and of tie-breaking.
    :returns: the backend, or ``None`` if there is none.
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


def find_selectable(
    backends: Sequence[BackendState],
    tried: set[str],
    reached: set[str],
    limit: int,
) -> set[str] | None:
    """Find the backends to which a route's limit restricts a request.

    A backend that accepted no connection cannot have run it, so others may take
    its place.

    :param backends: backends that accept new requests.
    :param tried: ids of backends that it was to be sent to.
    :param reached: those of them that accepted a connection.
    :param limit: maximum number of backends that may run it.
    :returns: ids of the backends, or ``None`` if others may be tried.
    """
    if len(reached) >= limit:
        return reached
    are_all_tried = tried.issuperset(one.server.id for one in backends)
    return tried if are_all_tried and len(tried) >= limit else None


def is_slow(backend: BackendState) -> bool:
    """Check whether a rank is slow enough to migrate its streams.

    :param backend: the rank.
    :returns: whether it is.
    """
    return backend.slowdown >= MIGRATION_FACTOR


def find_migration_target(
    backends: Sequence[BackendState], slow: BackendState
) -> BackendState | None:
    """Find a rank to which streams of a slow rank can migrate.

    All ranks of a group wait in each pass for the slowest one.

    :param backends: backends that accept new requests.
    :param slow: the rank that runs the stream.
    :returns: a healthy rank with free slots, or ``None`` if there is none or
        ``slow`` is not slow enough.
    """
    if not is_slow(slow):
        return None
    for backend in backends:
        has_slots = backend.count_load() < backend.server.slots
        if _is_healthy(backend) and has_slots:
            return backend
    return None


def compute_load_score(
    backend: BackendState, criteria: SelectionCriteria
) -> float:
    """Compute the load score of a backend; the lowest is selected.

    :param backend: the backend.
    :param criteria: the request's criteria.
    :returns: requests per slot, plus penalties.
    """
    slots = max(backend.server.slots, 1)
    weight = backend.count_load() / slots
    if backend.slowdown > SLOW_FACTOR:
        weight += backend.slowdown
    if backend.is_agent_unreachable:
        weight += UNREACHABLE_AGENT_WEIGHT
    if has_failed_recently(backend, criteria.now):
        weight += FAILURE_WEIGHT * backend.failure_rate
    if backend.server.zone != criteria.zone:
        weight += ZONE_WEIGHT / slots
    return weight


def has_failed_recently(backend: BackendState, now: float) -> bool:
    """Check whether a backend's failures count against it.

    :param backend: the backend.
    :param now: seconds on the monotonic clock.
    :returns: whether its last failure is remembered.
    """
    return now - backend.failed_at < FAILURE_MEMORY_SECONDS


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
    """Select the service of a request at random by the route's weights.

    :param splits: the route's services.
    :param random: source of randomness.
    :returns: the service's name, or ``None`` if the route has none.
    """
    total = sum(split.weight for split in splits)
    point = random.random() * total
    for split in splits:
        point -= split.weight
        if point < 0:
            return split.service
    return splits[-1].service if splits else None
