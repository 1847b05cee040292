"""What stands in the platform's store, by the platform's own names."""

from __future__ import annotations

import sys
from typing import Annotated, Final, Literal

import msgspec

#: How the platform writes names of fields.
PASCAL: Final = 'pascal'
DEFAULT_MAX_ATTEMPTS = 1
#: Requests that one back end can run at once; more is no figure of a server.
MAX_SLOTS: Final = 1_000_000
#: Unix milliseconds that fit a signed 64-bit number.
MAX_STARTED_MS: Final = sys.maxsize
#: Characters of a service, an address or a zone: a key of the store has 200.
MAX_NAME_CHARACTERS: Final = 200
Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)
]


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
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
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
    """A back end's registration.

    Other programs can write under the same prefix, so figures are bounded
    here: a negative number of slots would make a back end look idle for ever.
    """

    service: Name
    address: Name
    zone: Name
    state: Literal['ready', 'draining']
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 1
    # Unix milliseconds of the process's start; older platforms leave it out.
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_MS)] = (
        msgspec.field(name='born', default=0)
    )
