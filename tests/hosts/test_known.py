"""Hosts joined from a list, membership and others' listings."""

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
from ospreyford.hosts.exchange import HostExchange
from ospreyford.hosts.known import RECENT_SECONDS, KnownHosts, Scope
from ospreyford.hosts.messages import HostAnswer, HostQuestion, write_host
from ospreyford.membership.member import UNKNOWN_INCARNATION, MemberState
from ospreyford.ports.fleet import Host, HostState
from tests.fakes.clock import FakeClock
from tests.fakes.stepping import Stepper, park
from tests.hosts.fleet import Fleet, make_host

LIVE = MemberState.live
DEAD = MemberState.dead
ENTRY = Scope('entry', routes=True)
AGENT = Scope('me', routes=False)
NOW = 1000.0


def make_known(scope: Scope = ENTRY) -> tuple[Fleet, KnownHosts]:
    fleet = Fleet()
    return fleet, KnownHosts(scope, fleet)


def test_a_stale_list_does_not_bring_a_replaced_host_back() -> None:
    """Symptom: new work is sent to the address of a machine long replaced.

    Sequence: a host is replaced and its new process is heard; a reader meets
    an old replica of the list.
    Cause: the listing counted, whatever the incarnations say.
    """
    fleet, known = make_known()
    fleet.hear(make_host(life=2), incarnation='2')
    known.note_list([make_host(life=2)], NOW)
    known.note_list([make_host(life=1)], NOW + 1)
    assert known.hosts() == (make_host(life=2),)


def test_a_list_older_than_a_host_does_not_drop_it() -> None:
    """Symptom: a live host takes no new work while a stale list is read."""
    fleet, known = make_known()
    fleet.hear(make_host())
    fleet.hear(make_host('b'))
    known.note_list([make_host(), make_host('b')], NOW)
    known.note_list([make_host('b')], NOW + 1)
    assert len(known.hosts()) == 2


def test_a_dead_host_goes_with_its_listing() -> None:
    """Symptom: keyed calls are answered unknown for a day.

    Sequence: a former home stops and the platform drops it from the list.
    Cause: the host stayed known for as long as membership remembers it.
    """
    fleet, known = make_known()
    fleet.hear(make_host(), DEAD)
    known.note_list([make_host()], NOW)
    assert known.hosts()
    known.note_list([make_host('b')], NOW + 1)
    assert not known.hosts()


def test_a_host_of_unknown_labels_is_asked_about_before_it_is_used() -> None:
    """Symptom: requests for one model version reach another's back end.

    Sequence: a host is replaced by one with other labels; the entry hears
    its process but reads the list only in hours.
    Cause: membership carries no labels, and the earlier ones were taken.
    """
    fleet, known = make_known()
    known.note_list([make_host()], NOW)
    fleet.hear(make_host(life=2), incarnation='2')
    assert known.hosts() == ()
    asked = known.questions()
    assert asked == [HostQuestion('a', 'i2')]
    other = KnownHosts(ENTRY, fleet)
    other.note_list([make_host(life=2)], NOW)
    assert known.note_answer(asked, other.answer(asked, NOW))
    assert known.hosts() == (make_host(life=2),)
    assert not known.questions()


@pytest.mark.parametrize(
    ('state', 'age', 'is_gone'),
    [
        (DEAD, 0, True),
        (LIVE, 0, False),
        (DEAD, RECENT_SECONDS + 1, False),
    ],
)
def test_only_a_recent_list_says_who_is_gone(
    state: MemberState, age: float, is_gone: bool
) -> None:
    """Symptom: a host that is there is dropped, or a former home never is."""
    fleet, known = make_known()
    fleet.hear(make_host(), state)
    known.note_list([make_host()], NOW)
    known.hosts()
    asked = [HostQuestion('a', 'i1')]
    assert (known.questions() == asked) is (state is DEAD)
    reader = KnownHosts(ENTRY, Fleet())
    reader.note_list([make_host('b')], NOW)
    known.note_answer(asked, reader.answer(asked, NOW + age))
    assert (known.hosts() == ()) is is_gone


def test_what_was_not_asked_for_is_not_taken() -> None:
    fleet, known = make_known()
    fleet.hear(make_host(), DEAD)
    known.note_list([make_host()], NOW)
    row = write_host(make_host('b'))
    assert not known.note_answer([], HostAnswer((row,), ('a',)))


def test_an_agent_needs_its_own_listing_only() -> None:
    """Symptom: an agent holds 5 MB of listings that it never uses.

    Sequence: it reads the list, and its turn as a reader ends.
    Cause: the list was kept whole.
    """
    fleet, known = make_known(AGENT)
    hosts = [make_host('me'), make_host()]
    for host in hosts:
        fleet.hear(host)
    known.note_list(hosts, NOW)
    asked = [HostQuestion('a', 'i1')]
    known.trim(NOW + RECENT_SECONDS)
    assert known.answer(asked, NOW + RECENT_SECONDS).rows
    known.trim(NOW + RECENT_SECONDS + 1)
    late = known.answer([*asked, HostQuestion('b', 'i1')], NOW + 2)
    assert late == HostAnswer((), ())
    shown = {host.name: host for host in known.hosts()}
    assert shown['me'].labels and not shown['a'].labels
    fleet.hear(make_host('me', 2))
    known.hosts()
    assert known.questions() == [HostQuestion('me', 'i2')]


class Peers:
    """Peers whose answers the test gives."""

    def serve(self, topic: str, handler: Any) -> None:
        self.handler = handler

    async def ask(self, address: str, *_question: object) -> Any:
        return await park('ask', address)


@pytest.mark.parametrize('body', [None, b'', b'\xc1', b'\x91\x90', b'\x90'])
def test_a_silent_or_malformed_reader_is_asked_again(body: Any) -> None:
    """Symptom: the task that asks ends, and a new host is never used."""
    fleet, known = make_known()
    fleet.hear(make_host())
    fleet.hear(make_host('entry', role='entry'))
    known.hosts()
    me = fleet.find('entry')
    assert me is not None
    rng = random.Random(1)
    peers = Peers()
    neighbours = Neighbours(me, fleet, rng)
    exchange = HostExchange(known, neighbours, peers, FakeClock(), rng)
    stepper = Stepper()
    task = stepper.spawn('run', exchange.run())
    for _ in range(3):
        assert task.waiting
        assert task.waiting.note == 'a.1:2'
        stepper.resume(task, body)
        stepper.resume(task)
    row = write_host(make_host())
    stepper.resume(task, msgspec.msgpack.encode(HostAnswer((row,), ())))
    assert make_host() in known.hosts()
    answer = stepper.spawn('answer', peers.handler(body or b''))
    assert answer.done
    assert answer.answer in (None, msgspec.msgpack.encode(HostAnswer((), ())))


class Joining(RuleBasedStateMachine):
    """Lists of any age, two readers, deaths and replacements, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.known = KnownHosts(ENTRY, self.fleet)
        self.reader = KnownHosts(ENTRY, self.fleet)
        self.life = {name: 1 for name in 'abc'}
        self.lists: list[list[Host]] = []
        self.now = NOW
        for name in self.life:
            self.fleet.hear(make_host(name), incarnation=UNKNOWN_INCARNATION)
        self.publish()

    def publish(self) -> None:
        hosts = [make_host(*one) for one in self.life.items()]
        self.lists.append(hosts)

    @rule(name=st.sampled_from('abc'), publishes=st.booleans())
    def replace(self, name: str, publishes: bool) -> None:
        self.life[name] += 1
        life = self.life[name]
        self.fleet.hear(make_host(name, life), incarnation=f'{life:03}')
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
        (self.known if own else self.reader).note_list(listed, self.now)

    @rule()
    def ask(self) -> None:
        self.now += 10
        asked = self.known.questions()
        answer = self.reader.answer(asked, self.now)
        self.known.note_answer(asked, answer)

    @invariant()
    def shows_no_earlier_instance(self) -> None:
        for host in self.known.hosts():
            member = self.fleet.find(host.name)
            assert member is not None
            if member.incarnation:
                assert host.instance == member.instance
            assert host.labels['life'] == host.instance[1:]

    def teardown(self) -> None:
        self.publish()
        for name in self.life:
            self.change(name, MemberState.live)
            life = self.life[name]
            self.fleet.hear(make_host(name, life), incarnation=f'{life:03}')
        self.reader.note_list(self.lists[-1], self.now)
        self.known.hosts()
        self.ask()
        assert {host.name for host in self.known.hosts()} == set('abc')


def test_no_order_shows_an_earlier_instance() -> None:
    """Symptom looked for: work at a replaced host, or a host never used."""
    checks = settings(derandomize=True, max_examples=200, deadline=None)
    run_state_machine_as_test(Joining, settings=checks)
