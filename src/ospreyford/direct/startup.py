"""Wait for what an entry must know before its first request."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from ospreyford.direct.context import EntryContext

#: Maximum time that requests wait for the configuration.
MAX_WAIT_SECONDS = 0.8
#: The same for the agents' word: agents that run answer sooner, and those that
#: start with the entry have nothing to tell.
MAX_WORD_WAIT_SECONDS = 0.25
POLL_SECONDS = 0.02


async def wait_until_prepared(context: EntryContext) -> None:
    """Wait for the configuration and the agents' word after the start.

    Refusing at once would cost callers one of their few retries. Agents tell
    whether other entries know of a newer configuration than the store shows.

    :param context: the entry's shared state.
    """
    while not is_prepared(context, time.monotonic()):
        await curio.sleep(POLL_SECONDS)


def is_prepared(context: EntryContext, now: float) -> bool:
    """Check whether requests need not wait any more.

    :param context: the entry's shared state.
    :param now: seconds on the monotonic clock.
    :returns: whether the entry knows what it can know by then.
    """
    waited = now - context.started_at
    if not context.is_configured():
        return waited >= MAX_WAIT_SECONDS
    if context.is_informed or waited >= MAX_WORD_WAIT_SECONDS:
        return True
    services = context.catalog.services.values() if context.catalog else ()
    return all(service.engine is None for service in services)
