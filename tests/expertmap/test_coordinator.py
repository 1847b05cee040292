"""Tests of a coordinator whose own engine fails."""

from __future__ import annotations

from ospreyford.expertmap.maps import ExpertMap
from tests.expertmap.group import Group, Process

FIRST = ExpertMap(revision=1, layers=(((0,), (1,)),))
RANKS = 3


class LockstepGroup(Group):
    """A group whose engines run a step only if all have a grant for it."""

    def run_engines(self) -> bool:
        steps = [engine.next_step() for engine in self.engines]
        known = [step for step in steps if step is not None]
        if len(known) < len(steps):
            return False
        step = max(known)
        if any(engine.find_grant(step) is None for engine in self.engines):
            return False
        for engine in self.engines:
            engine.step = step - 1
        return all([engine.run_step() for engine in self.engines])

    def has_run(self) -> bool:
        """Return whether every engine has run a step."""
        return all(engine.step for engine in self.engines)


def start_group() -> LockstepGroup:
    group = LockstepGroup(RANKS, None, wall=False)
    group.processes[0].service.propose(FIRST)
    return group


def find_coordinator(group: Group) -> Process:
    """Find the process that holds the promised ballot."""
    promised = group.processes[0].service.acceptor.promised
    for process in group.processes:
        if process.service.acceptor.incarnation == promised.incarnation:
            return process
    raise AssertionError(promised)


def test_coordinator_notices_its_own_replaced_engine() -> None:
    """The group must not stall on grants of a replaced engine."""
    group = start_group()
    group.run_events(300)
    assert group.has_run()
    coordinator = find_coordinator(group)
    group.engines.remove(coordinator.engine)
    coordinator.engine = group.new_engine(coordinator.slot)
    group.run_events(600)
    assert group.has_run()


def test_coordinator_repeats_its_own_lost_grant() -> None:
    """The group must not stall on a lost grant."""
    group = start_group()
    while not lose_coordinator_grant(group):
        group.run_event()
    group.run_events(600)
    assert group.has_run()


def lose_coordinator_grant(group: Group) -> bool:
    """Lose a grant in flight to the coordinator's engine, if there is one."""
    for task in group.parked('order'):
        assert task.waiting
        order = task.waiting.note
        if order.name == 'grant':
            if order.process is find_coordinator(group):
                group.finish_order(task, 'lost')
                return True
    return False
