"""Concurrent coroutines on the curio kernel."""

from __future__ import annotations

from collections.abc import Coroutine, Sequence
from typing import Any

import curio


class CurioTasks:
    """Adapter of ``TaskPort`` with one curio task per coroutine."""

    async def gather(
        self, calls: Sequence[Coroutine[Any, Any, Any]]
    ) -> list[Any]:
        """Run coroutines concurrently and wait for all.

        :param calls: the coroutines.
        :returns: their results in the order of ``calls``.
        """
        async with curio.TaskGroup(wait=all) as group:
            tasks = await _spawn_all(group, calls)
        return [task.result for task in tasks]


async def _spawn_all(
    group: curio.TaskGroup, calls: Sequence[Coroutine[Any, Any, Any]]
) -> list[Any]:
    return [await group.spawn(call) for call in calls]  # noqa: WPS476
