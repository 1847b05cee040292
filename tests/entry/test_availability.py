"""Tests that backends which become available again receive requests.

A stale load report must not keep a backend marked as draining.
"""

from __future__ import annotations

import pytest

from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.resolver import Resolver
from ospreyford.entry.availability import AvailabilityTracker
from ospreyford.entry.directory import FleetDirectory
from ospreyford.membership.member import Member, MemberState, StateChange
from ospreyford.ports.fleet import LoadReport
from ospreyford.routing.query import AllLeaving, Choice, NoBackend
from tests.routing.factories import make_host, make_query, make_router

HOST = make_host(1, labels={'rack': 'r1'})
DRAIN = b"""
kind = "drain-request"
team = "t"
title = "t"
reason = "maintenance"
[hosts]
labels = { rack = "r1" }
"""


def make_change(before: MemberState, after: MemberState) -> StateChange:
    member = Member(
        name=HOST.name,
        instance=HOST.instance,
        role=HOST.role,
        zone=HOST.zone,
        region=HOST.region,
        service=HOST.service,
        data_address=HOST.data_address,
        peer_address=HOST.peer_address,
        incarnation='2',
    )
    return StateChange(member, before, after)


class DrainingBackendFixture:
    """An entry whose only backend reported that it drains."""

    def __init__(self) -> None:
        self.router = make_router()
        self.directory = FleetDirectory()
        self.directory.handle_hosts((HOST,))
        self.availability = AvailabilityTracker(self.directory, self.router)
        self.resolver = Resolver()

    def publish(self, revision: int, *, deleted: bool) -> None:
        entry = DocumentEntry(
            'drain', revision, b'' if deleted else DRAIN, deleted
        )
        self.availability.handle_picture(self.resolver.record((entry,)))

    def report_drain(self) -> None:
        assert isinstance(self.choose(), Choice)
        self.router.record_load(
            HOST.name, LoadReport(incarnation='1', draining=True), 2
        )
        refusal = self.choose()
        assert isinstance(refusal, NoBackend)
        assert refusal.reason == AllLeaving()

    def choose(self) -> Choice | NoBackend:
        return self.router.choose(make_query(), (HOST,), 1)


@pytest.mark.parametrize(
    'before', [MemberState.leaving, MemberState.dead, MemberState.live]
)
def test_replaced_backend_is_used_again(before: MemberState) -> None:
    fixture = DrainingBackendFixture()
    fixture.report_drain()
    fixture.availability.handle_state_change(
        make_change(before, MemberState.live)
    )
    assert isinstance(fixture.choose(), Choice)


def test_deleted_drain_request_ends_the_drain() -> None:
    fixture = DrainingBackendFixture()
    fixture.publish(1, deleted=False)
    fixture.report_drain()
    fixture.publish(2, deleted=True)
    assert isinstance(fixture.choose(), Choice)
