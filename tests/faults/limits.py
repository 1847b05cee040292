"""The customer limits' part of the matrix; the sum of parts is the referee.

Three entries ask one another for leases of three customers' limits, once a
second. Each fault hits the first question or answer of its step, or of its
step's entry. A cell holds if the parts that the entries hold never sum to
more than the whole limit, and if one customer's demand at one entry gets all
but the reserve again once all is well.
"""

from __future__ import annotations

from tests.fakes.stepping import SteppedTask
from tests.faults.sections import Hit, Hits, Later, NotAtRest, NotMet, Section
from tests.limits.test_share import (
    CUSTOMERS,
    FULL_LIMIT,
    NAMES,
    PendingQuery,
    ShareMachine,
    World,
    get_pending_query,
)

STEPS = ('ask', 'answer')
FAULTS = (
    'loss',
    'delay',
    'duplicate',
    'reorder',
    'one-way cut',
    'partition, home sees first',
    'partition, asker sees first',
    'pause asker',
    'pause home',
    'restart asker',
    'restart home',
    'demand moves',
)
#: Every two faults meet, at both steps: there are few enough.
PAIRED = tuple((one, other) for one in FAULTS for other in FAULTS)
ROUNDS = 12
#: Rounds that a fault lasts for; a lease lasts for three.
LONG = 5
DEMAND = 20
HALF = 0.5
#: What demand at one entry gets: all but the others' parts of the reserve.
USUAL = 0.85


class OverAdmitted(AssertionError):
    """The parts of a limit sum to more than the limit."""


class FaultyRounds:
    """Rounds of askings, and at named steps a fault happens."""

    def __init__(self, machine: ShareMachine) -> None:
        self.machine = machine
        self.world: World = machine.world
        self.hits: list[Hit] = []
        self.later = Later()
        self.silent: set[str] = set()
        self.buyer = NAMES[0]
        self.worst: float = 0

    def run(self, rounds: int) -> None:
        """Let every entry ask and be answered, once a second."""
        for _ in range(rounds):
            self.later.advance()
            for name in NAMES:
                self._demand(name)
                self.world.renew(name)
            while self.world.list_pending():
                self._carry(self.world.list_pending()[0])
                self.check()
            for _ in range(4):
                self.world.advance(1 / 4)
                self.check()

    def check(self) -> None:
        """The parts never sum to more than the limit."""
        self.worst = max(self.worst, *map(self.world.total, CUSTOMERS))
        if self.worst > FULL_LIMIT:
            raise OverAdmitted(self.worst)

    def rest(self) -> float:
        """End all faults, and tell what the buying entry gets then."""
        self.silent.clear()
        self.later.finish()
        self._join()
        for entry in self.world.entries.values():
            entry.paused = False
        self.world.update_all_views()
        self.run(ROUNDS)
        return self.world.entries[self.buyer].get_fraction(CUSTOMERS[0])

    def _demand(self, name: str) -> None:
        for customer in CUSTOMERS:
            if name == self.buyer or customer != CUSTOMERS[0]:
                self.machine.demand(name, customer, DEMAND)

    def _carry(self, task: SteppedTask) -> None:
        question = get_pending_query(task)
        hit = self._take_hit('ask')
        if hit is not None and self._strike(hit.fault, task, question):
            return
        answer = self.world.deliver_query(question)
        if task.done:
            # Its asker was replaced; the question still came.
            return
        hit = self._take_hit('answer') if answer is not None else None
        if hit is not None and self._strike_answer(hit.fault, task, answer):
            return
        if task in self.world.list_pending():
            heard = question.address not in self.silent
            self.world.stepper.resume(task, answer if heard else None)

    def _take_hit(self, step: str) -> Hit | None:
        for hit in self.hits:
            if hit.step == step:
                self.hits.remove(hit)
                return hit
        return None

    def _strike(
        self, fault: str, task: SteppedTask, question: PendingQuery
    ) -> bool:
        """Make a fault happen; tell if the question is used up."""
        match fault:
            case 'loss':
                self.world.drop(task)
            case 'delay' | 'reorder':
                self.world.drop(task)
                rounds = LONG if fault == 'delay' else 1
                self.later.add(rounds, lambda: self._repeat(question))
            case 'duplicate':
                self._repeat(question)
                self.later.add(LONG, lambda: self._repeat(question))
                return False
            case _:
                self._strike_entry(fault, question)
                return False
        return True

    def _strike_answer(
        self, fault: str, task: SteppedTask, answer: bytes | None
    ) -> bool:
        question = get_pending_query(task)
        match fault:
            case 'loss' | 'delay':
                # The port gives no answer that comes late.
                self.world.drop(task)
            case 'reorder':
                # It comes in time, but after what the home granted since.
                for name in NAMES:
                    self.world.renew(name)
                self.world.advance(0.4)
                if task in self.world.list_pending():
                    self.world.stepper.resume(task, answer)
            case _:
                return self._strike(fault, task, question)
        return True

    def _strike_entry(self, fault: str, question: PendingQuery) -> None:
        asker, home = question.sender, question.address
        match fault:
            case 'one-way cut':
                self.silent.add(home)
                self.later.add(LONG, self.silent.clear)
            case 'partition, home sees first':
                self._part(home, home)
            case 'partition, asker sees first':
                self._part(home, asker)
            case 'pause asker' | 'pause home':
                self._pause(asker if fault == 'pause asker' else home)
            case 'restart asker' | 'restart home':
                name = asker if fault == 'restart asker' else home
                self.world.restart(name)
            case 'demand moves':
                self.buyer = next(name for name in NAMES if name != asker)

    def _repeat(self, question: PendingQuery) -> None:
        self.world.deliver_query(question)

    def _part(self, alone: str, first: str) -> None:
        self.world.partition(alone)
        self.world.update_view(first)
        self.later.add(LONG, self._join)

    def _join(self) -> None:
        self.world.partition(None)
        self.world.update_view(self.buyer)

    def _pause(self, name: str) -> None:
        # The others see a paused entry as dead.
        entry = self.world.entries[name]
        entry.paused = True
        self.world.partition(name)
        self.world.update_all_views()

        def wake() -> None:
            entry.paused = False
            self._join()
            self.world.update_view(name)

        self.later.add(LONG, wake)


def run(hits: Hits) -> str:
    """Run one cell."""
    rounds = FaultyRounds(ShareMachine())
    rounds.run(ROUNDS)
    # Only now leases are held.
    rounds.hits.extend(hits)
    rounds.run(ROUNDS)
    if rounds.hits:
        raise NotMet(rounds.hits)
    usual = rounds.rest()
    if usual < USUAL:
        raise NotAtRest(usual)
    return f'at most {rounds.worst:.2f}'


LIMITS = Section('customer limits', STEPS, FAULTS, PAIRED, run)
