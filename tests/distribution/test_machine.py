"""Stateful property test of the distribution under random faults."""

from __future__ import annotations

from random import Random

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.distribution.world import (
    MALFORMED,
    MIN_ORDER_KEY,
    SETTINGS,
    Process,
    World,
    list_live,
)

NAMES = ('drain', 'limits', 'pool')
PAUSE_SECONDS = 100
PICK = strategies.integers(0, 9)
MODE = strategies.sampled_from(('up', 'down', 'stale', 'flap'))
MOVES_PER_STEP = 25
SEED = strategies.integers(0, 1_000)


class DistributionMachine(RuleBasedStateMachine):
    """Five processes in two zones under random faults."""

    world_type = World

    def __init__(self) -> None:
        super().__init__()
        self.world = self.world_type()
        self.required_revisions: dict[str, dict[str, int]] = {}
        self.removal_revisions: dict[str, list[int]] = {
            name: [] for name in NAMES
        }

    @initialize(seed=SEED)
    def begin(self, seed: int) -> None:
        self.world.rng = Random(seed)
        self.world.replicas.append(self.world.store.copy())
        self.world.store.publish('pool', b'first')
        for number in range(5):
            self.world.start(f'host-{number}')
        assert self.world.run_until_converged()

    @rule()
    def run(self) -> None:
        for _ in range(4):
            self.go_on()

    @rule(name=strategies.sampled_from(NAMES), count=strategies.integers(1, 2))
    def publish(self, name: str, count: int) -> None:
        """Publish a document, also twice as by concurrent operators."""
        for operator in range(count):
            text = f'{name} of {operator}'
            self.world.store.publish(name, text.encode())

    @rule(name=strategies.sampled_from(NAMES))
    def publish_malformed(self, name: str) -> None:
        """The last good version must be retained, also by fresh processes."""
        self.world.store.publish(name, b'%s%s' % (MALFORMED, name.encode()))

    @rule(name=strategies.sampled_from(NAMES))
    def delete(self, name: str) -> None:
        if name in self.world.store.documents:
            self.world.store.delete(name)
            self.removal_revisions[name].append(self.world.store.revision)

    @rule(mode=MODE)
    def change_service(self, mode: str) -> None:
        self.world.mode = mode

    @rule()
    def leave_replica_behind(self) -> None:
        self.world.replicas.insert(0, self.world.store.copy())

    @rule(name=strategies.sampled_from(NAMES))
    def split_replica(self, name: str) -> None:
        """A replica of the service returns another text for a revision."""
        held = self.world.store.documents.get(name)
        if held is not None and not held.deleted:
            replica = self.world.store.copy()
            replica.documents[name] = held._replace(text=b'another')
            self.world.replicas.append(replica)

    @rule(loss=strategies.sampled_from((0, 0.3, 0.8)))
    def lose_messages(self, loss: float) -> None:
        self.world.loss = loss

    @rule()
    def replay(self) -> None:
        self.world.replay()

    @rule(picks=strategies.sets(PICK, max_size=3))
    def partition(self, picks: set[int]) -> None:
        self.world.cut = frozenset(
            self.select_process(one).member.peer_address for one in picks
        )

    @rule(which=PICK)
    def pause(self, which: int) -> None:
        self.world.pause(self.select_process(which))

    @rule(which=PICK)
    def wake(self, which: int) -> None:
        process = self.select_process(which)
        if process.paused:
            self.world.unpause(process, PAUSE_SECONDS)
            assert process.distributor.is_stale()

    @rule(which=PICK, mode=MODE)
    def replace_under(self, which: int, mode: str) -> None:
        self.world.mode = mode
        self.replace(which)

    @rule(which=PICK)
    def replace(self, which: int) -> None:
        """Replace a process; the guarantee requires another ready one."""
        process = self.select_process(which)
        others = [
            one
            for one in self.world.processes.values()
            if one.ready and one is not process
        ]
        if others:
            fresh = self.world.replace(process)
            self.required_revisions[fresh.member.peer_address] = (
                self.compute_required_revisions()
            )

    @rule()
    def replace_everybody(self) -> None:
        """Rolling replacement of all processes."""
        self.world.loss = 0
        self.world.cut = frozenset()
        self.world.undetected_dead.clear()
        for process in self.world.list_processes():
            if process.paused:
                self.world.unpause(process, PAUSE_SECONDS)
        for process in self.world.list_processes():
            self.replace(find_index(self.world, process))
            self.world.undetected_dead.clear()
            fresh = self.world.list_processes()[-1]
            assert self.world.run_until_ready(fresh)
            self.check()

    @precondition(lambda machine: machine.world.processes)
    @rule()
    def come_to_rest(self) -> None:
        self.world.heal()
        assert self.world.run_until_converged()
        self.check()

    @rule(name=strategies.sampled_from(NAMES), which=PICK)
    def sleep_through_a_removal(self, name: str, which: int) -> None:
        """Pause a process until all others have collected a tombstone."""
        self.world.mode = 'up'
        self.world.store.publish(name, b'to be removed')
        for _ in range(8):
            self.go_on()
        process = self.select_process(which)
        self.world.pause(process)
        self.delete(name)
        until = (
            self.world.find_slowest_clock() + SETTINGS.tombstone_seconds * 1.5
        )
        while self.world.find_slowest_clock() < until:
            self.world.move()
        self.wake(which)

    @rule()
    def notice_the_dead(self) -> None:
        self.world.undetected_dead.clear()

    @invariant()
    def go_on(self) -> None:
        for _ in range(MOVES_PER_STEP):
            self.world.move()
            self.check()

    def check(self) -> None:
        for process in self.world.processes.values():
            self.check_order_keys(process)
            check_calls(process)
            assert process.has_checked or process.distributor.is_stale()
        self.check_required_revisions()

    def check_required_revisions(self) -> None:
        """No fresh process is behind the revisions at its start."""
        for address, process in self.world.processes.items():
            if process.ready:
                for name, revision in self.required_revisions.get(
                    address, {}
                ).items():
                    held = process.good_keys.get(name, MIN_ORDER_KEY)
                    assert held[0] >= revision or self.was_removed(
                        name, revision, process.floor
                    )

    def was_removed(self, name: str, after: int, floor: int) -> bool:
        return any(
            after <= removal <= floor
            for removal in self.removal_revisions[name]
        )

    def check_order_keys(self, process: Process) -> None:
        """No key decreases; a key disappears only after a removal."""
        held = (process.read_newest_keys(), process.read_good_keys())
        kept = (process.newest_keys, process.good_keys)
        for now, before in zip(held, kept, strict=True):
            for name, key in before.items():
                assert now.get(name, key) >= key
                if name not in now:
                    is_old = key[1] and key[0] <= process.floor
                    assert is_old or self.was_removed(
                        name, key[0], process.floor
                    )
            before.update(now)
        # Subscribers must have received the current documents.
        notified_keys = (process.notified_keys, process.notified_good_keys)
        for now, notified in zip(held, notified_keys, strict=True):
            assert not notified or list_live(notified) == list_live(now)

    def compute_required_revisions(self) -> dict[str, int]:
        ready = [one for one in self.world.processes.values() if one.ready]
        return {
            name: min(one.good_keys[name][0] for one in ready)
            for name in NAMES
            if all(name in one.good_keys for one in ready)
        }

    def select_process(self, which: int) -> Process:
        processes = self.world.list_processes()
        return processes[which % len(processes)]


def find_index(world: World, process: Process) -> int:
    return world.list_processes().index(process)


def check_calls(process: Process) -> None:
    share = SETTINGS.service_calls_per_second / SETTINGS.fleet_size
    rate = share * 5
    awake = process.clock.now - process.paused_seconds
    burst = max(1, rate * 4) * (1 + process.pauses)
    assert process.calls <= awake * rate + burst


TestDistribution = DistributionMachine.TestCase
TestDistribution.settings = settings(
    max_examples=80,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
)
