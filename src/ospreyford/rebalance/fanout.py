"""Concurrent execution of coroutines."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any

import curio

from ospreyford.rebalance.group import Outcome

#: Runs coroutines concurrently and returns their results in order.
FanOut = Callable[
    [Sequence[Coroutine[Any, Any, Outcome]]], Awaitable[Sequence[Outcome]]
]


async def run_concurrently(
    coroutines: Sequence[Coroutine[Any, Any, Outcome]],
) -> Sequence[Outcome]:
    """Run coroutines as concurrent tasks.

    :param coroutines: the coroutines.
    :returns: their results, in the order of the coroutines.
    """
    async with curio.TaskGroup() as group:
        tasks = [await group.spawn(coroutine) for coroutine in coroutines]
    return [task.result for task in tasks]
