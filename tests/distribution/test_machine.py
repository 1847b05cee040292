"""Every fault, in any order, on the code that runs."""

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
    NO_MARK,
    SETTINGS,
    Process,
    World,
    list_live,
)

NAMES = ('drain', 'limits', 'pool')
PAUSE_SECONDS = 100
PICK = strategies.integers(0, 9)
MODE = strategies.sampled_from(('up', 'down', 'stale', 'flap'))
MOVES = 25
SEED = strategies.integers(0, 1_000)


class DistributionMachine(RuleBasedStateMachine):
    """Five processes in two zones, and everything that can go wrong."""

    world_type = World

    def __init__(self) -> None:
        super().__init__()
        self.world = self.world_type()
        self.floors: dict[str, dict[str, int]] = {}
        self.removals: dict[str, list[int]] = {name: [] for name in NAMES}

    @initialize(seed=SEED)
    def begin(self, seed: int) -> None:
        self.world.rng = Random(seed)
        self.world.replicas.append(self.world.store.copy())
        self.world.store.publish('pool', b'first')
        for number in range(5):
            self.world.start(f'host-{number}')
        assert self.world.run_until_same()

    @rule()
    def run(self) -> None:
        for _ in range(4):
            self.go_on()

    @rule(name=strategies.sampled_from(NAMES), count=strategies.integers(1, 2))
    def publish(self, name: str, count: int) -> None:
        """Two operators may publish the same document at once."""
        for operator in range(count):
            text = f'{name} of {operator}'
            self.world.store.publish(name, text.encode())

    @rule(name=strategies.sampled_from(NAMES))
    def publish_malformed(self, name: str) -> None:
        """The last good version must stay, on fresh processes too."""
        self.world.store.publish(name, b'%s%s' % (MALFORMED, name.encode()))

    @rule(name=strategies.sampled_from(NAMES))
    def delete(self, name: str) -> None:
        if name in self.world.store.documents:
            self.world.store.delete(name)
            self.removals[name].append(self.world.store.revision)

    @rule(mode=MODE)
    def change_service(self, mode: str) -> None:
        self.world.mode = mode

    @rule()
    def leave_replica_behind(self) -> None:
        self.world.replicas.insert(0, self.world.store.copy())

    @rule(name=strategies.sampled_from(NAMES))
    def split_replica(self, name: str) -> None:
        """A replica of the service gives another text for one revision."""
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
            self.pick(one).member.peer_address for one in picks
        )

    @rule(which=PICK)
    def pause(self, which: int) -> None:
        self.world.pause(self.pick(which))

    @rule(which=PICK)
    def wake(self, which: int) -> None:
        process = self.pick(which)
        if process.paused:
            self.world.wake(process, PAUSE_SECONDS)
            assert process.distributor.is_stale()

    @rule(which=PICK, mode=MODE)
    def replace_under(self, which: int, mode: str) -> None:
        self.world.mode = mode
        self.replace(which)

    @rule(which=PICK)
    def replace(self, which: int) -> None:
        """A host is replaced; the promise needs one that has a picture."""
        process = self.pick(which)
        others = [
            one
            for one in self.world.processes.values()
            if one.ready and one is not process
        ]
        if others:
            fresh = self.world.replace(process)
            self.floors[fresh.member.peer_address] = self.floor()

    @rule()
    def replace_everybody(self) -> None:
        """Host by host, until nobody is left who saw the first document."""
        self.world.loss = 0
        self.world.cut = frozenset()
        self.world.dead.clear()
        for process in self.world.everybody():
            if process.paused:
                self.world.wake(process, PAUSE_SECONDS)
        for process in self.world.everybody():
            self.replace(process_number(self.world, process))
            self.world.dead.clear()
            fresh = self.world.everybody()[-1]
            assert self.world.run_until_ready(fresh)
            self.check()

    @precondition(lambda machine: machine.world.processes)
    @rule()
    def come_to_rest(self) -> None:
        self.world.heal()
        assert self.world.run_until_same()
        self.check()

    @rule(name=strategies.sampled_from(NAMES), which=PICK)
    def sleep_through_a_removal(self, name: str, which: int) -> None:
        """Time enough passes for all others to forget the tombstone."""
        self.world.mode = 'up'
        self.world.store.publish(name, b'to be removed')
        for _ in range(8):
            self.go_on()
        sleeper = self.pick(which)
        self.world.pause(sleeper)
        self.delete(name)
        until = self.world.oldest() + SETTINGS.tombstone_seconds * 1.5
        while self.world.oldest() < until:
            self.world.move()
        self.wake(which)

    @rule()
    def notice_the_dead(self) -> None:
        self.world.dead.clear()

    @invariant()
    def go_on(self) -> None:
        for _ in range(MOVES):
            self.world.move()
            self.check()

    def check(self) -> None:
        for process in self.world.processes.values():
            self.check_marks(process)
            check_calls(process)
            assert process.checked or process.distributor.is_stale()
        self.check_floor()

    def check_floor(self) -> None:
        """No fresh process undercuts what all had when it started."""
        for address, process in self.world.processes.items():
            if process.ready:
                for name, revision in self.floors.get(address, {}).items():
                    held = process.goods.get(name, NO_MARK)
                    assert held[0] >= revision or self.was_removed(
                        name, revision, process.floor
                    )

    def was_removed(self, name: str, after: int, floor: int) -> bool:
        return any(after <= removal <= floor for removal in self.removals[name])

    def check_marks(self, process: Process) -> None:
        """No mark falls; one is missing only after a removal, for good."""
        held = (process.read_marks(), process.read_goods())
        kept = (process.marks, process.goods)
        for now, before in zip(held, kept, strict=True):
            for name, mark in before.items():
                assert now.get(name, mark) >= mark
                if name not in now:
                    is_old = mark[1] and mark[0] <= process.floor
                    assert is_old or self.was_removed(
                        name, mark[0], process.floor
                    )
            before.update(now)
        # What the subscriber was told is what is in force.
        told = (process.told, process.told_goods)
        for now, heard in zip(held, told, strict=True):
            assert not heard or list_live(heard) == list_live(now)

    def floor(self) -> dict[str, int]:
        ready = [one for one in self.world.processes.values() if one.ready]
        return {
            name: min(one.goods[name][0] for one in ready)
            for name in NAMES
            if all(name in one.goods for one in ready)
        }

    def pick(self, which: int) -> Process:
        processes = self.world.everybody()
        return processes[which % len(processes)]


def process_number(world: World, process: Process) -> int:
    return world.everybody().index(process)


def check_calls(process: Process) -> None:
    share = SETTINGS.service_calls_per_second / SETTINGS.fleet_size
    rate = share * 5
    awake = process.clock.now - process.slept
    burst = max(1, rate * 4) * (1 + process.pauses)
    assert process.calls <= awake * rate + burst


TestDistribution = DistributionMachine.TestCase
TestDistribution.settings = settings(
    max_examples=80,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
)
