"""The settings of each program, composed of sections.

A section of another package is one more field whose type is a Struct.
"""

from __future__ import annotations

import msgspec

from ospreyford.agent.settings import RecordSettings, ServiceSettings
from ospreyford.distribution.settings import DistributionSettings
from ospreyford.entry.settings import AttemptSettings, RequestSettings
from ospreyford.limits.settings import GateSettings
from ospreyford.membership.settings import MembershipSettings
from ospreyford.routing.settings import RoutingSettings
from ospreyford.settings.errors import KeyConflict
from ospreyford.settings.sections import (
    Backend,
    Drain,
    HttpLimits,
    Identity,
    Listen,
    Logs,
    Peers,
    Platform,
    Traces,
)


class EntrySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of ``ospreyford-entry``, one field a section."""

    identity: Identity
    listen: Listen
    platform: Platform
    peers: Peers = Peers()
    membership: MembershipSettings = MembershipSettings()
    distribution: DistributionSettings = DistributionSettings()
    http: HttpLimits = HttpLimits()
    requests: RequestSettings = RequestSettings()
    attempts: AttemptSettings = AttemptSettings()
    routing: RoutingSettings = RoutingSettings()
    limits: GateSettings = GateSettings()
    drain: Drain = Drain()
    logs: Logs = Logs()
    traces: Traces = Traces()

    def __post_init__(self) -> None:
        """Check keys of different sections against each other.

        :raises KeyConflict: names the key.
        """
        check_drain(self.drain, self.requests)


class AgentSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of ``ospreyford-agent``, one field a section."""

    identity: Identity
    listen: Listen
    platform: Platform
    backend: Backend
    peers: Peers = Peers()
    membership: MembershipSettings = MembershipSettings()
    distribution: DistributionSettings = DistributionSettings()
    requests: RequestSettings = RequestSettings()
    records: RecordSettings = RecordSettings()
    service: ServiceSettings = ServiceSettings()
    drain: Drain = Drain()
    logs: Logs = Logs()
    traces: Traces = Traces()

    def __post_init__(self) -> None:
        """Check keys of different sections against each other.

        :raises KeyConflict: names the key.
        """
        check_drain(self.drain, self.requests)
        check_retention(self.records, self.requests)
        if self.backend.address in {
            self.listen.data_address,
            self.listen.admin_address,
            self.listen.peer_address,
        }:
            raise KeyConflict(
                'backend.address', 'an address that is not under [listen]'
            )


def check_drain(drain: Drain, requests: RequestSettings) -> None:
    """Refuse a drain that would cut an admitted request.

    :param drain: the planned stop.
    :param requests: deadlines of requests.
    :raises KeyConflict: names the key.
    """
    # A request admitted just before the stop may run to its deadline; a
    # shorter drain would cut it although the stop was planned.
    longest = requests.max_deadline_seconds
    if drain.deadline_seconds < longest:
        raise KeyConflict(
            'drain.deadline_seconds',
            f'at least requests.max_deadline_seconds, {longest}',
        )


def check_retention(records: RecordSettings, requests: RequestSettings) -> None:
    """Refuse records that are forgotten while a retry may still come.

    :param records: the execution record.
    :param requests: deadlines of requests.
    :raises KeyConflict: names the key.
    """
    # A retry may arrive at any time before the request's deadline, as the
    # clock of another host counts it. If the record of the first attempt is
    # gone by then, a non-idempotent request would run a second time; if the
    # tombstone of a voided sending is, its late copy would run after all.
    least = requests.max_deadline_seconds + 2 * records.skew_seconds
    found = (
        ('records.retention_seconds', records.retention_seconds),
        ('records.tombstone_seconds', records.tombstone_seconds),
    )
    for key, seconds in found:
        if seconds < least:
            raise KeyConflict(
                key,
                'at least requests.max_deadline_seconds '
                f'and twice records.skew_seconds, {least}',
            )
