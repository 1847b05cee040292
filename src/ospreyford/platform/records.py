"""Decoders of the records in the platform's store."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import Final

import msgspec

from ospreyford.direct.catalog import (
    Catalog,
    Customer,
    Engine,
    RetryMode,
    Route,
    Service,
    Split,
)
from ospreyford.direct.registry import BackendServer
from ospreyford.http.message import Limits
from ospreyford.platform.coldfields import read_quantity
from ospreyford.platform.errors import BadRecord
from ospreyford.platform.nodefile import parse_address
from ospreyford.platform.schema import (
    MAX_NAME_CHARACTERS,
    StoredConfig,
    StoredEngine,
    StoredLimits,
    StoredRegistration,
    StoredRoute,
    StoredService,
    StoredTenant,
)

#: Key of the operators' configuration and prefix of backend registrations.
CATALOG_KEY: Final = 'op/config'
SERVERS_PREFIX: Final = 'servers/'
#: Prefix of the keys that take a zone out of service, whatever their value.
ZONES_PREFIX: Final = 'op/evacuate/'
MS_PER_SECOND = 1000
MEGABITS_PER_MEGABYTE = 8

#: Ids are sent in a header field; control characters would break the request.
_ID_PATTERN: Final = re.compile('[!-~]+')
_config_decoder = msgspec.json.Decoder(StoredConfig)
_registration_decoder = msgspec.json.Decoder(StoredRegistration)

#: Streams run at most once unless their route allows them to be resumed.
_RETRY_MODES: Final = MappingProxyType(
    {
        'idempotent': RetryMode.idempotent,
        'non_idempotent': RetryMode.once,
        'streaming': RetryMode.once,
    }
)


def decode_catalog(raw: bytes) -> Catalog:
    """Decode the operators' configuration.

    :param raw: the stored value.
    :returns: the catalog.
    :raises BadRecord: it is invalid.
    """
    try:
        config = _config_decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise BadRecord(CATALOG_KEY, str(error)) from None
    routes: dict[str, list[Route]] = {}
    for route in config.routes:
        routes.setdefault(route.host.lower(), []).append(_make_route(route))
    return Catalog(
        version=config.version,
        routes={
            host: tuple(sorted(found, key=_negate_prefix_length))
            for host, found in routes.items()
        },
        services={
            service.name: _make_service(service) for service in config.services
        },
        customers=_make_customers(config.tenants),
        limits=_make_limits(config.limits),
    )


def decode_registration(key: str, raw: bytes, revision: int) -> BackendServer:
    """Decode a backend's registration.

    :param key: its key.
    :param raw: the stored value.
    :param revision: revision of its last change.
    :returns: the backend.
    :raises BadRecord: it is invalid.
    """
    try:
        registration = _registration_decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise BadRecord(key, str(error)) from None
    address = parse_address(registration.address)
    if address is None:
        raise BadRecord(
            key, f'not an IPv4 address and port: {registration.address}'
        )
    server_id = key.removeprefix(SERVERS_PREFIX)
    if not _ID_PATTERN.fullmatch(server_id):
        raise BadRecord(
            key, 'id contains characters not allowed in a header field'
        )
    cold_ms, problem = read_quantity(
        'ColdRemainingMs', registration.cold_remaining_ms
    )
    if problem is not None:
        raise BadRecord(key, problem)
    return BackendServer(
        id=server_id,
        service=registration.service,
        host=address[0],
        port=address[1],
        zone=registration.zone,
        slots=registration.slots,
        is_draining=registration.state != 'ready',
        revision=revision,
        started_ms=registration.started_ms,
        cold_seconds=None if cold_ms is None else cold_ms / MS_PER_SECOND,
    )


def decode_zone(key: str) -> str:
    """Decode which zone a key takes out of service.

    :param key: the key.
    :returns: the zone's name.
    :raises BadRecord: no backend can be registered in a zone of this name.
    """
    zone = key.removeprefix(ZONES_PREFIX)
    if not zone:
        raise BadRecord(key, 'no name of a zone')
    if len(zone) > MAX_NAME_CHARACTERS:
        raise BadRecord(
            key, f'name longer than {MAX_NAME_CHARACTERS} characters'
        )
    return zone


def _negate_prefix_length(route: Route) -> int:
    return -len(route.prefix)


def _make_route(route: StoredRoute) -> Route:
    retry_mode = _RETRY_MODES.get(route.route_type)
    if retry_mode is None:
        raise BadRecord(CATALOG_KEY, f'unknown route type: {route.route_type}')
    if route.can_resume:
        retry_mode = RetryMode.resumable
    splits = tuple(
        Split(backend.service, backend.weight) for backend in route.backends
    )
    if route.service:
        splits = (Split(route.service, 1), *splits)
    return Route(
        name=route.name,
        prefix=route.prefix,
        splits=splits,
        retry_mode=retry_mode,
        streams=route.route_type == 'streaming',
        timeout=route.timeout_ms / MS_PER_SECOND,
        objective=route.target_latency_ms / MS_PER_SECOND,
        max_gap=route.target_gap_ms / MS_PER_SECOND,
        attempts=max(route.max_attempts, 1),
        priority=route.priority,
        public=route.public,
    )


def _make_service(service: StoredService) -> Service:
    engine = service.engine
    cold_seconds, seconds_problem = read_quantity(
        'ColdStartS', service.cold_start_s
    )
    cold_rate, rate_problem = read_quantity('ColdPerS', service.cold_per_s)
    return Service(
        name=service.name,
        max_connections=service.max_connections,
        engine=None if engine is None else _make_engine(engine),
        # Services without such a time publish 0 for both.
        cold_seconds=cold_seconds or 0,
        cold_rate=cold_rate or None,
        problems=tuple(filter(None, (seconds_problem, rate_problem))),
    )


def _make_engine(engine: StoredEngine) -> Engine:
    copy_seconds: float = 0
    if engine.link_mbps > 0:
        copy_seconds = (
            engine.expert_mb * MEGABITS_PER_MEGABYTE / engine.link_mbps
        )
    return Engine(
        slots=engine.slots,
        sets=engine.sets,
        experts=engine.experts,
        places=engine.placements,
        spare=engine.spare,
        copy_seconds=copy_seconds,
        pass_seconds=engine.stride * engine.step_ms / MS_PER_SECOND,
    )


def _make_customers(
    tenants: list[StoredTenant] | None,
) -> dict[str, Customer] | None:
    if tenants is None:
        return None
    return {
        api_key: Customer(tenant.name, tenant.priority)
        for tenant in tenants
        for api_key in tenant.api_keys
    }


def _make_limits(limits: StoredLimits) -> Limits:
    return Limits(
        head_seconds=limits.header_timeout_ms / MS_PER_SECOND,
        idle_seconds=limits.idle_timeout_ms / MS_PER_SECOND,
        head_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
    )
