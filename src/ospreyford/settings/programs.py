"""Settings of each program, composed of sections."""

from __future__ import annotations

import msgspec

from ospreyford.agent.rankssettings import RankSection
from ospreyford.agent.settings import RecordSettings, ServiceSettings
from ospreyford.distribution.settings import DistributionSettings
from ospreyford.entry.settings import AttemptSettings, RequestSettings
from ospreyford.limits.settings import (
    GateSettings,
    QueueSettings,
    ShareSettings,
)
from ospreyford.membership.settings import MembershipSettings
from ospreyford.routing.settings import RoutingSettings
from ospreyford.security.settings import (
    EntrySecuritySettings,
    SecuritySettings,
)
from ospreyford.settings.errors import KeyConflict
from ospreyford.settings.sections import (
    Backend,
    Drain,
    HttpLimits,
    Identity,
    Listen,
    Logs,
    Platform,
    Traces,
)


class EntrySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of ``ospreyford-entry``, one field per section."""

    identity: Identity
    listen: Listen
    platform: Platform
    membership: MembershipSettings = MembershipSettings()
    distribution: DistributionSettings = DistributionSettings()
    security: EntrySecuritySettings = EntrySecuritySettings()
    http: HttpLimits = HttpLimits()
    requests: RequestSettings = RequestSettings()
    attempts: AttemptSettings = AttemptSettings()
    routing: RoutingSettings = RoutingSettings()
    limits: GateSettings = GateSettings()
    sharing: ShareSettings = ShareSettings()
    queue: QueueSettings = QueueSettings()
    drain: Drain = Drain()
    logs: Logs = Logs()
    traces: Traces = Traces()

    def __post_init__(self) -> None:
        """Validate keys of different sections against each other.

        :raises KeyConflict: names the key.
        """
        check_requests(self.requests)
        check_drain(self.drain, self.requests)


class AgentSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of ``ospreyford-agent``, one field per section.

    ``requests`` must match the entries' settings: execution records have to
    outlive every deadline that an entry admits.
    """

    identity: Identity
    listen: Listen
    platform: Platform
    backend: Backend
    security: SecuritySettings = SecuritySettings()
    membership: MembershipSettings = MembershipSettings()
    distribution: DistributionSettings = DistributionSettings()
    requests: RequestSettings = RequestSettings()
    records: RecordSettings = RecordSettings()
    service: ServiceSettings = ServiceSettings()
    ranks: RankSection | None = None
    drain: Drain = Drain()
    logs: Logs = Logs()
    traces: Traces = Traces()

    def __post_init__(self) -> None:
        """Validate keys of different sections against each other.

        :raises KeyConflict: names the key.
        """
        check_requests(self.requests)
        check_records(self.records, self.requests)
        check_drain(self.drain, self.requests)
        check_backend(self.backend, self.listen)


def check_requests(requests: RequestSettings) -> None:
    """Refuse a default deadline above the maximum.

    :param requests: request deadlines.
    :raises KeyConflict: names the key.
    """
    max_seconds = requests.max_deadline_seconds
    if requests.default_deadline_seconds > max_seconds:
        raise KeyConflict(
            'requests.default_deadline_seconds',
            f'at most requests.max_deadline_seconds, {max_seconds}',
        )


def check_drain(drain: Drain, requests: RequestSettings) -> None:
    """Refuse a drain deadline shorter than the longest request.

    :param drain: drain settings.
    :param requests: request deadlines.
    :raises KeyConflict: names the key.
    """
    # A request admitted just before the drain may run to its deadline.
    check_at_least(
        'drain.deadline_seconds',
        drain.deadline_seconds,
        ('requests.max_deadline_seconds', get_max_request_seconds(requests)),
    )


def check_records(records: RecordSettings, requests: RequestSettings) -> None:
    """Refuse execution records that expire before a retry may arrive.

    :param records: retention of the records.
    :param requests: request deadlines.
    :raises KeyConflict: names the key.
    """
    # A retry may arrive until the request's deadline. Without the record of the
    # first attempt a non-idempotent request would run twice; without the
    # tombstone, one reported as not executed would run. Clocks may differ by
    # the skew in either direction.
    skew = 2 * records.skew_seconds
    requirement = (
        'requests.max_deadline_seconds + 2 * records.skew_seconds',
        get_max_request_seconds(requests) + skew,
    )
    check_at_least(
        'records.retention_seconds', records.retention_seconds, requirement
    )
    check_at_least(
        'records.tombstone_seconds', records.tombstone_seconds, requirement
    )


def check_backend(backend: Backend, listen: Listen) -> None:
    """Refuse a backend address that the agent itself listens on.

    :param backend: the backend server.
    :param listen: the agent's listen addresses.
    :raises KeyConflict: names the key.
    """
    listen_addresses = {
        listen.data_address,
        listen.admin_address,
        listen.peer_address,
    }
    if backend.address in listen_addresses:
        raise KeyConflict(
            'backend.address', 'an address that is not under listen'
        )


def check_at_least(
    key: str, found: float, requirement: tuple[str, float]
) -> None:
    """Refuse a value below a minimum that other keys imply.

    :param key: the dotted key.
    :param found: its value.
    :param requirement: description of the minimum, and the minimum.
    :raises KeyConflict: names the key.
    """
    description, minimum = requirement
    if found < minimum:
        raise KeyConflict(key, f'at least {description}, {minimum}')


def get_max_request_seconds(requests: RequestSettings) -> float:
    """Return the longest time that a request may take.

    :param requests: request deadlines.
    :returns: seconds.
    """
    return requests.max_deadline_seconds
