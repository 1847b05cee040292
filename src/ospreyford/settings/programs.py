"""The settings of each program, composed of sections.

A section of another package is one more field whose type is a Struct.
"""

from __future__ import annotations

import msgspec

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
    Records,
    Requests,
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
    http: HttpLimits = HttpLimits()
    requests: Requests = Requests()
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
    http: HttpLimits = HttpLimits()
    requests: Requests = Requests()
    records: Records = Records()
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


def check_drain(drain: Drain, requests: Requests) -> None:
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


def check_retention(records: Records, requests: Requests) -> None:
    """Refuse records that are forgotten while a retry may still come.

    :param records: the execution record.
    :param requests: deadlines of requests.
    :raises KeyConflict: names the key.
    """
    # A retry may arrive at any time before the request's deadline. If the
    # record of the first attempt is gone by then, a non-idempotent request
    # would run a second time.
    longest = requests.max_deadline_seconds
    if records.retention_seconds < longest:
        raise KeyConflict(
            'records.retention_seconds',
            f'at least requests.max_deadline_seconds, {longest}',
        )
