"""A hand-driven scheduler: the test decides what happens next.

Code that awaits only on its ports runs here without an event loop. Each
await on a fake port parks the task with a :class:`Waiting`; the test picks
one parked task and resumes it with a value or an exception. That gives a
hypothesis state machine full control of every interleaving.
"""

from __future__ import annotations

import types
from collections.abc import Coroutine, Generator
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Waiting:
    """What a parked task waits for: ``kind`` and whatever the fake notes."""

    kind: str
    note: Any = None


@types.coroutine
def park(kind: str, note: Any = None) -> Generator[Waiting, Any, Any]:
    """Park the running task until the test resumes it."""
    return (yield Waiting(kind, note))


@dataclass
class SteppedTask:
    """One coroutine under the test's control."""

    name: str
    coro: Coroutine[Any, Any, Any]
    waiting: Waiting | None = None
    done: bool = False
    answer: Any = None


@dataclass
class Stepper:
    """Runs coroutines one await at a time."""

    tasks: list[SteppedTask] = field(default_factory=list)

    def spawn(self, name: str, coro: Coroutine[Any, Any, Any]) -> SteppedTask:
        """Start a coroutine and run it to its first await."""
        task = SteppedTask(name, coro)
        self.tasks.append(task)
        self.resume(task)
        return task

    def resume(self, task: SteppedTask, message: Any = None) -> None:
        """Hand a value to a parked task and run it to its next await."""
        try:
            task.waiting = task.coro.send(message)
        except StopIteration as stop:
            self._finish(task, stop.value)

    def throw(self, task: SteppedTask, error: BaseException) -> None:
        """Raise inside a parked task and run it to its next await."""
        try:
            task.waiting = task.coro.throw(error)
        except StopIteration as stop:
            self._finish(task, stop.value)

    def kill(self, task: SteppedTask) -> None:
        """End a task where it stands, as a killed process would."""
        task.coro.close()
        self._finish(task, None)

    def parked(self, kind: str | None = None) -> list[SteppedTask]:
        """List the tasks that wait, oldest first."""
        return [
            task
            for task in self.tasks
            if task.waiting and kind in (None, task.waiting.kind)
        ]

    def _finish(self, task: SteppedTask, answer: Any) -> None:
        task.waiting = None
        task.done = True
        task.answer = answer
        self.tasks.remove(task)
