"""Schema of the records in the platform's store."""

from __future__ import annotations

import sys
from typing import Annotated, Any, Final, Literal

import msgspec

PASCAL: Final = 'pascal'
DEFAULT_MAX_ATTEMPTS = 1
#: Maximum number of concurrent requests of one backend.
MAX_SLOTS: Final = 1_000_000
#: Largest signed 64-bit integer.
MAX_STARTED_MS: Final = sys.maxsize
#: Maximum length of a service, an address or a zone.
MAX_NAME_CHARACTERS: Final = 200
Name = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)
]


class StoredBackend(msgspec.Struct, frozen=True, rename=PASCAL):
    """Weighted service of a route."""

    service: str
    weight: float = 1


class StoredRoute(msgspec.Struct, frozen=True, rename=PASCAL):
    """Route configuration."""

    name: str
    host: str
    prefix: str
    # Determines which requests may be retried.
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 0
    target_gap_ms: float = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    priority: int = 1
    public: bool = False
    can_resume: bool = False
    service: str = ''
    # Services, not individual backends.
    backends: list[StoredBackend] = []


class StoredEngine(msgspec.Struct, frozen=True, rename=PASCAL):
    """Parameters of a model service's engine."""

    slots: int
    link_mbps: float = 0
    sets: int = 0
    experts: int = 0
    placements: int = 0
    spare: int = 0
    expert_mb: float = 0
    # Token steps per pass.
    stride: int = 1
    step_ms: float = msgspec.field(name='step_ms', default=0)


class StoredService(msgspec.Struct, frozen=True, rename=PASCAL):
    """Service configuration."""

    name: str
    max_connections: int
    engine: StoredEngine | None = None
    # Of any type: an unreadable one must not void the configuration.
    cold_start_s: Any = None
    cold_per_s: Any = None


class StoredLimits(msgspec.Struct, frozen=True, rename=PASCAL):
    """Limits on callers' connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class StoredTenant(msgspec.Struct, frozen=True, rename=PASCAL):
    """Customer and its API keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class StoredConfig(msgspec.Struct, frozen=True, rename=PASCAL):
    """Configuration published by operators."""

    version: int
    routes: list[StoredRoute]
    services: list[StoredService]
    limits: StoredLimits
    tenants: list[StoredTenant] | None = None


class StoredRegistration(msgspec.Struct, frozen=True, rename=PASCAL):
    """Registration of a backend.

    Numbers are bounded because other programs can write under the prefix: a
    backend with a negative number of slots would always look idle.
    """

    service: Name
    address: Name
    zone: Name
    state: Literal['ready', 'draining']
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 1
    # Start time in Unix milliseconds; omitted by older platforms.
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_MS)] = (
        msgspec.field(name='born', default=0)
    )
    # Of any type: checked with the other quantities of cold replicas.
    cold_remaining_ms: Any = None
