"""Keeping the tasks of a process running."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog

#: Pause before a task that failed runs again, in seconds: a fault that comes
#: back at once must not use up the processor.
RESTART_SECONDS = 0.2


@dataclass(frozen=True)
class TaskFailed:
    """A task ended with an error that nothing handles; it runs again.

    :param task: its name.
    :param error: type and text of the error.
    """

    task: str
    error: str


async def keep_running(
    task: Callable[[], Awaitable[None]], log: ChangeLog
) -> None:
    """Run a task for as long as the process lives.

    A task that ends with an error nobody foresaw would leave a process that
    looks alive and no longer does a part of its work: it would, for example,
    answer callers by an ever older configuration.

    :param task: the task; should not return.
    :param log: where a failure goes.
    """
    while True:
        try:
            await task()
        except Exception as error:
            failure = f'{type(error).__name__}: {error}'
            log.log_change(TaskFailed(task.__qualname__, failure))
        await curio.sleep(RESTART_SECONDS)
