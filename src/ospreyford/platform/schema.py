"""What stands in the platform's store, by the platform's own names."""

from __future__ import annotations

from typing import Final

import msgspec

#: How the platform writes names of fields.
PASCAL: Final = 'pascal'
ONE_ATTEMPT = 1


class StoredBackend(msgspec.Struct, frozen=True, rename=PASCAL):
    """A part of a route: a service and its weight."""

    service: str
    weight: float = 1


class StoredRoute(msgspec.Struct, frozen=True, rename=PASCAL):
    """One route."""

    name: str
    host: str
    prefix: str
    # Not a kind of transport: it says what may be repeated.
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 0
    target_gap_ms: float = 0
    max_attempts: int = ONE_ATTEMPT
    priority: int = 1
    public: bool = False
    can_resume: bool = False
    service: str = ''
    # The services that share the route's requests, not single back ends.
    backends: list[StoredBackend] = []


class StoredEngine(msgspec.Struct, frozen=True, rename=PASCAL):
    """Figures of a model service's engine."""

    slots: int
    link_mbps: float = 0
    sets: int = 0
    experts: int = 0
    placements: int = 0
    spare: int = 0
    expert_mb: float = 0
    # Token steps of one pass.
    stride: int = 1
    step_ms: float = msgspec.field(name='step_ms', default=0)


class StoredService(msgspec.Struct, frozen=True, rename=PASCAL):
    """One service."""

    name: str
    max_connections: int
    engine: StoredEngine | None = None


class StoredLimits(msgspec.Struct, frozen=True, rename=PASCAL):
    """What callers' connections may cost."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class StoredTenant(msgspec.Struct, frozen=True, rename=PASCAL):
    """A customer and its keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class StoredConfig(msgspec.Struct, frozen=True, rename=PASCAL):
    """The operators' configuration."""

    version: int
    routes: list[StoredRoute]
    services: list[StoredService]
    limits: StoredLimits
    tenants: list[StoredTenant] | None = None


class StoredRegistration(msgspec.Struct, frozen=True, rename=PASCAL):
    """A back end's registration."""

    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
