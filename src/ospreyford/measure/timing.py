"""Times a short job in this process; the best of a few repeats counts."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import Final

import curio

ROUNDS: Final = 3000
REPEATS: Final = 5
MICROSECONDS: Final = 1_000_000


def time_job(job: Callable[[], object]) -> float:
    """Time a function.

    :param job: the function.
    :returns: microseconds a call.
    """
    taken = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        for _ in range(ROUNDS):
            job()
        taken.append(time.perf_counter() - began)
    return min(taken) / ROUNDS * MICROSECONDS


def time_async(job: Callable[[], Awaitable[None]]) -> float:
    """Time a coroutine function in curio.

    :param job: the function.
    :returns: microseconds a call.
    """
    taken: list[float] = [curio.run(_time_rounds, job) for _ in range(REPEATS)]
    return min(taken)


def time_parts(parts: Iterable[None]) -> Iterator[float]:
    """Time each step of an iterator.

    :param parts: the iterator.
    :returns: seconds of each step.
    """
    began = time.perf_counter()
    for _ in parts:
        yield time.perf_counter() - began
        began = time.perf_counter()


async def _time_rounds(job: Callable[[], Awaitable[None]]) -> float:
    began = time.perf_counter()
    for _ in range(ROUNDS):
        await job()
    return (time.perf_counter() - began) / ROUNDS * MICROSECONDS
