"""Random faults against a simulated fleet."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from ospreyford.membership.member import MemberState, Version
from ospreyford.ports.fleet import Host, HostState
from tests.membership.world import Process, World, make_host

NAMES = ('a1', 'a2', 'a3', 'b1', 'b2')
REACHABLE_STATES = frozenset((MemberState.live, MemberState.suspect))
#: Time limit for convergence after all faults end.
CONVERGENCE_SECONDS = 400
names = st.sampled_from(NAMES)


class FleetMachine(RuleBasedStateMachine):
    """Applies faults to a fleet in random order."""

    world_type = World

    @initialize(seed=st.integers(0, 1000))
    def start_all(self, seed: int) -> None:
        self.world = self.world_type(seed)
        self.hosts = {name: make_host(name, name[0]) for name in NAMES}
        self.generations = dict.fromkeys(NAMES, 1)
        #: The current process of each name.
        self.current: dict[str, Process] = {}
        self.left: set[str] = set()
        self.newest: dict[tuple[int, str], Version] = {}
        self.old_lists: list[list[Host]] = [list(self.hosts.values())]
        for name in NAMES:
            self._start(name)
        self.world.run(20)

    def _start(self, name: str) -> None:
        self.world.run(0.01)  # start times must differ
        listed = self.hosts.values()
        self.current[name] = self.world.start(self.hosts[name], listed)

    @rule(seconds=st.sampled_from((0.3, 1, 5, 12)))
    def run(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(share=st.sampled_from((0, 0.1, 0.5)))
    def lose(self, share: float) -> None:
        self.world.loss_probability = share

    @rule(share=st.sampled_from((0, 0.5)))
    def duplicate(self, share: float) -> None:
        self.world.duplicate_probability = share

    @rule(seconds=st.sampled_from((0, 0.4, 20)))
    def delay(self, seconds: float) -> None:
        self.world.max_delay_seconds = seconds

    @rule(name=names)
    def pause(self, name: str) -> None:
        self.current[name].is_paused = True

    @rule()
    def wake_all(self) -> None:
        for process in self.world.processes:
            if process.is_paused:
                self.world.wake(process)

    @rule(name=names)
    def kill(self, name: str) -> None:
        self.world.kill(self.current[name])

    @rule(name=names)
    def restart(self, name: str) -> None:
        """Start a new process on the same host; the old one is dead."""
        self.world.kill(self.current[name])
        self._start(name)

    @rule(name=names, paused=st.booleans())
    def replace_host(self, name: str, *, paused: bool) -> None:
        """Start a new instance of a host; the old one may still run."""
        self.current[name].is_paused |= paused
        self.generations[name] += 1
        self.hosts[name] = make_host(name, name[0], self.generations[name])
        self.old_lists.append(list(self.hosts.values()))
        self._start(name)

    @rule(one=st.sets(names, min_size=1, max_size=3), both=st.booleans())
    def partition(self, one: set[str], *, both: bool) -> None:
        """Cut the links of a subset, in one or both directions."""
        sent = itertools.product(
            self._addresses(one), self._addresses(set(NAMES) - one)
        )
        for source, target in sent:
            self.world.cuts.add((source, target))
            if both:
                self.world.cuts.add((target, source))

    def _addresses(self, chosen: set[str]) -> list[str]:
        return [
            process.host.peer_address
            for process in self.world.processes
            if process.host.name in chosen
        ]

    @rule()
    def heal(self) -> None:
        self.world.cuts.clear()

    @rule(name=names)
    def leave(self, name: str) -> None:
        process = self.current[name]
        if process.is_running:
            process.stepper.spawn('leave', process.membership.leave())
            self.left.add(process.incarnation)

    @rule(name=names, number=st.integers(0, 10))
    def tell_old_list(self, name: str, number: int) -> None:
        """Deliver a host list that may be stale."""
        process = self.current[name]
        if process.is_running:
            listed = self.old_lists[number % len(self.old_lists)]
            process.membership.handle_hosts(listed)

    @rule(name=names)
    def list_as_leaving(self, name: str) -> None:
        """Mark a host as leaving in the list read by one process."""
        generation = self.generations[name]
        self.hosts[name] = make_host(name, name[0], generation, leaving=True)
        for reader in self.world.running()[:1]:
            reader.membership.handle_hosts(self.hosts.values())

    @rule(number=st.integers(0, 20))
    def repeat_old_message(self, number: int) -> None:
        for request in self.world.past_requests[number : number + 1]:
            self.world.deliver(request)

    @invariant()
    def versions_only_grow(self) -> None:
        """No older version replaces a newer one."""
        if not hasattr(self, 'world'):
            return
        for process in self.world.processes:
            for name in NAMES:
                record = process.membership.inspect(name)
                key = id(process), name
                before = self.newest.get(key)
                if record is None:
                    assert before is None
                elif before is not None and before.incarnation:
                    assert record.version >= before
                if record is not None:
                    self.newest[key] = record.version

    @invariant()
    def leaving_is_never_live(self) -> None:
        """A leaving member does not become live again."""
        for (_, name), version in getattr(self, 'newest', {}).items():
            if version.leaving:
                assert version.state not in REACHABLE_STATES, name

    def teardown(self) -> None:
        """All views must converge to the true states after all faults."""
        if not hasattr(self, 'world'):
            return
        world = self.world
        world.clear_faults()
        self.wake_all()
        for _ in range(CONVERGENCE_SECONDS // 20):
            for process in world.running():
                process.membership.handle_hosts(self.hosts.values())
            world.run(20)
            self.versions_only_grow()
            self.leaving_is_never_live()
            if self._is_settled():
                return
        assert self._is_settled(), self._report()

    def _is_settled(self) -> bool:
        truth = {name: self._true_state(name) for name in NAMES}
        running = self.world.running()
        return all(
            process.membership.state_of(name) in truth[name]
            for process in running
            for name in NAMES
        ) and all(self._is_in_order(process) for process in running)

    def _is_in_order(self, process: Process) -> bool:
        """Test for replaced processes still running and stale views."""
        if process is not self.current[process.host.name]:
            alone = len(self.world.running()) == 1
            return alone or self._died_unheard(process.host.name)
        others = [
            process.membership.find(name)
            for name, other in self.current.items()
            if not other.is_dead
        ]
        incarnations = {other.incarnation for other in others if other}
        # A process without peers is always stale.
        alone = len(self.world.running()) == 1
        is_fresh = alone or not process.membership.is_stale()
        return is_fresh and incarnations == {
            other.incarnation
            for other in self.current.values()
            if not other.is_dead
        }

    def _died_unheard(self, name: str) -> bool:
        """Test whether no running process knows of the dead current process.

        Then its predecessor cannot learn that it was replaced.
        """
        known = {other.membership.find(name) for other in self.world.running()}
        incarnations = {each.incarnation for each in known if each}
        process = self.current[name]
        return process.is_dead and process.incarnation not in incarnations

    def _true_state(self, name: str) -> set[MemberState]:
        process = self.current[name]
        running = {each.host.name for each in self.world.running()}
        if name in running and self._died_unheard(name):
            return set(MemberState)
        if process.is_dead:
            # A death must be confirmed by a helper.
            enough = len(self.world.running()) > 2
            return {MemberState.dead} if enough else set(MemberState)
        is_listed = self.hosts[name].state is HostState.leaving
        if is_listed or process.incarnation in self.left:
            return {MemberState.leaving}
        return {MemberState.live}

    def _report(self) -> str:
        lines = [str(self.current)]
        for process in self.world.running():
            stale = process.membership.is_stale()
            lines.append(f'{process} {stale=}')
            for name in NAMES:
                record = process.membership.inspect(name)
                lines.append(f'  {name}: {record}')
        return '\n'.join(lines)


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(
    derandomize=True,
    max_examples=30,
    stateful_step_count=15,
    deadline=None,
)


@pytest.mark.parametrize('seed', range(3))
def test_rolling_replacement_of_all_hosts(seed: int) -> None:
    """Replaced instances that resume must not displace the current ones."""
    machine = FleetMachine()
    machine.start_all(seed)
    for name in NAMES:
        machine.replace_host(name, paused=True)
        machine.run(30)
    machine.teardown()
    for old in machine.world.processes[: len(NAMES)]:
        assert old.membership.replaced


@pytest.mark.parametrize('seed', range(3))
def test_paused_process_joins_a_fully_replaced_fleet(seed: int) -> None:
    """A paused process must rejoin after all known members were replaced."""
    machine = FleetMachine()
    machine.start_all(seed)
    machine.pause(NAMES[0])
    machine.run(30)
    for name in NAMES[1:]:
        machine.kill(name)
        machine.replace_host(name, paused=False)
        machine.run(30)
    # Requests in transit are lost with the processes that sent them.
    machine.current[NAMES[0]].inbox.clear()
    machine.teardown()
    sleeper = machine.current[NAMES[0]].membership
    assert sleeper.replaced is None
    assert not sleeper.is_stale()
