"""Joining of the host list, membership and listings from peers."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from ospreyford.distribution.members import Neighbours
from ospreyford.hosts.known import LIST_FRESH_SECONDS, KnownHosts, LabelScope
from ospreyford.hosts.messages import HostKey, HostResponse, encode_host
from ospreyford.hosts.queries import HostQueries
from ospreyford.membership.member import UNKNOWN_INCARNATION, MemberState
from ospreyford.ports.fleet import Host, HostState
from tests.fakes.clock import FakeClock
from tests.fakes.stepping import Stepper, park
from tests.hosts.fleet import FakeMembership, make_host

LIVE = MemberState.live
DEAD = MemberState.dead
ENTRY = LabelScope('entry', is_entry=True)
AGENT = LabelScope('me', is_entry=False)
NOW = 1000.0


def make_known(scope: LabelScope = ENTRY) -> tuple[FakeMembership, KnownHosts]:
    fleet = FakeMembership()
    return fleet, KnownHosts(scope, fleet)


def test_a_stale_list_does_not_bring_a_replaced_host_back() -> None:
    """A stale list must not direct work to a replaced machine."""
    fleet, known = make_known()
    fleet.record_member(make_host(generation=2), incarnation='2')
    known.handle_list([make_host(generation=2)], NOW)
    known.handle_list([make_host(generation=1)], NOW + 1)
    assert known.list_hosts() == (make_host(generation=2),)


def test_a_list_older_than_a_host_does_not_drop_it() -> None:
    """A list older than a live host must not remove it."""
    fleet, known = make_known()
    fleet.record_member(make_host())
    fleet.record_member(make_host('b'))
    known.handle_list([make_host(), make_host('b')], NOW)
    known.handle_list([make_host('b')], NOW + 1)
    assert len(known.list_hosts()) == 2


def test_dead_host_is_removed_with_its_listing() -> None:
    """A dead host must be removed once the platform no longer lists it."""
    fleet, known = make_known()
    fleet.record_member(make_host(), DEAD)
    known.handle_list([make_host()], NOW)
    assert known.list_hosts()
    known.handle_list([make_host('b')], NOW + 1)
    assert not known.list_hosts()


def test_host_with_unknown_labels_is_queried_before_use() -> None:
    """A new instance must not be used with the labels of an earlier one."""
    fleet, known = make_known()
    known.handle_list([make_host()], NOW)
    fleet.record_member(make_host(generation=2), incarnation='2')
    assert known.list_hosts() == ()
    queries = known.list_queries()
    assert queries == [HostKey('a', 'i2')]
    other = KnownHosts(ENTRY, fleet)
    other.handle_list([make_host(generation=2)], NOW)
    assert known.handle_response(queries, other.build_response(queries, NOW))
    assert known.list_hosts() == (make_host(generation=2),)
    assert not known.list_queries()


@pytest.mark.parametrize(
    ('state', 'age', 'is_gone'),
    [
        (DEAD, 0, True),
        (LIVE, 0, False),
        (DEAD, LIST_FRESH_SECONDS + 1, False),
    ],
)
def test_only_a_fresh_list_removes_hosts(
    state: MemberState, age: float, is_gone: bool
) -> None:
    """Only a fresh list removes a host, and only if the host is dead."""
    fleet, known = make_known()
    fleet.record_member(make_host(), state)
    known.handle_list([make_host()], NOW)
    known.list_hosts()
    queries = [HostKey('a', 'i1')]
    assert (known.list_queries() == queries) is (state is DEAD)
    reader = KnownHosts(ENTRY, FakeMembership())
    reader.handle_list([make_host('b')], NOW)
    known.handle_response(queries, reader.build_response(queries, NOW + age))
    assert (known.list_hosts() == ()) is is_gone


def test_unrequested_listings_are_ignored() -> None:
    fleet, known = make_known()
    fleet.record_member(make_host(), DEAD)
    known.handle_list([make_host()], NOW)
    row = encode_host(make_host('b'))
    assert not known.handle_response([], HostResponse((row,), ('a',)))


def test_an_agent_needs_its_own_listing_only() -> None:
    """An agent must not retain all listings after its term as reader."""
    fleet, known = make_known(AGENT)
    hosts = [make_host('me'), make_host()]
    for host in hosts:
        fleet.record_member(host)
    known.handle_list(hosts, NOW)
    queries = [HostKey('a', 'i1')]
    known.drop_unneeded(NOW + LIST_FRESH_SECONDS)
    assert known.build_response(queries, NOW + LIST_FRESH_SECONDS).listings
    known.drop_unneeded(NOW + LIST_FRESH_SECONDS + 1)
    late = known.build_response([*queries, HostKey('b', 'i1')], NOW + 2)
    assert late == HostResponse((), ())
    shown = {host.name: host for host in known.list_hosts()}
    assert shown['me'].labels and not shown['a'].labels
    fleet.record_member(make_host('me', 2))
    known.list_hosts()
    assert known.list_queries() == [HostKey('me', 'i2')]


class FakePeers:
    """Peers whose responses the test provides."""

    def serve(self, topic: str, handler: Any) -> None:
        self.handler = handler

    async def ask(self, address: str, *_question: object) -> Any:
        return await park('ask', address)


@pytest.mark.parametrize('body', [None, b'', b'\xc1', b'\x91\x90', b'\x90'])
def test_unresponsive_or_malformed_reader_is_queried_again(body: Any) -> None:
    """A failed query must not end the query task."""
    fleet, known = make_known()
    fleet.record_member(make_host())
    fleet.record_member(make_host('entry', role='entry'))
    known.list_hosts()
    me = fleet.find('entry')
    assert me is not None
    rng = random.Random(1)
    peers = FakePeers()
    neighbours = Neighbours(me, fleet, rng)
    exchange = HostQueries(known, neighbours, peers, FakeClock(), rng)
    stepper = Stepper()
    task = stepper.spawn('run', exchange.run())
    for _ in range(3):
        assert task.waiting
        assert task.waiting.note == 'a.1:2'
        stepper.resume(task, body)
        stepper.resume(task)
    row = encode_host(make_host())
    stepper.resume(task, msgspec.msgpack.encode(HostResponse((row,), ())))
    assert make_host() in known.list_hosts()
    answer = stepper.spawn('answer', peers.handler(body or b''))
    assert answer.done
    assert answer.answer in (None, msgspec.msgpack.encode(HostResponse((), ())))


class KnownHostsMachine(RuleBasedStateMachine):
    """Applies stale lists, deaths and replacements in random order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = FakeMembership()
        self.known = KnownHosts(ENTRY, self.fleet)
        self.reader = KnownHosts(ENTRY, self.fleet)
        self.generations = {name: 1 for name in 'abc'}
        self.lists: list[list[Host]] = []
        self.now = NOW
        for name in self.generations:
            self.fleet.record_member(
                make_host(name), incarnation=UNKNOWN_INCARNATION
            )
        self.publish()

    def publish(self) -> None:
        hosts = [make_host(*one) for one in self.generations.items()]
        self.lists.append(hosts)

    @rule(name=st.sampled_from('abc'), publishes=st.booleans())
    def replace(self, name: str, publishes: bool) -> None:
        self.generations[name] += 1
        generation = self.generations[name]
        self.fleet.record_member(
            make_host(name, generation), incarnation=f'{generation:03}'
        )
        if publishes:
            self.publish()

    @rule(name=st.sampled_from('abc'), state=st.sampled_from(MemberState))
    def change(self, name: str, state: MemberState) -> None:
        member, _ = self.fleet.records[name]
        self.fleet.records[name] = (member, state)

    @rule(number=st.integers(0, 99), leaving=st.booleans(), own=st.booleans())
    def read(self, number: int, leaving: bool, own: bool) -> None:
        hosts = self.lists[number % len(self.lists)]
        state = HostState.leaving if leaving else HostState.live
        listed = [host._replace(state=state) for host in hosts]
        (self.known if own else self.reader).handle_list(listed, self.now)

    @rule()
    def ask(self) -> None:
        self.now += 10
        queries = self.known.list_queries()
        response = self.reader.build_response(queries, self.now)
        self.known.handle_response(queries, response)

    @invariant()
    def shows_no_earlier_instance(self) -> None:
        for host in self.known.list_hosts():
            member = self.fleet.find(host.name)
            assert member is not None
            if member.incarnation:
                assert host.instance == member.instance
            assert host.labels['life'] == host.instance[1:]

    def teardown(self) -> None:
        self.publish()
        for name in self.generations:
            self.change(name, MemberState.live)
            generation = self.generations[name]
            self.fleet.record_member(
                make_host(name, generation), incarnation=f'{generation:03}'
            )
        self.reader.handle_list(self.lists[-1], self.now)
        self.known.list_hosts()
        self.ask()
        assert {host.name for host in self.known.list_hosts()} == set('abc')


def test_no_event_order_shows_an_earlier_instance() -> None:
    """No replaced host is listed, and no live host is missing in the end."""
    checks = settings(derandomize=True, max_examples=200, deadline=None)
    run_state_machine_as_test(KnownHostsMachine, settings=checks)
