"""What an engine reports of its load, late."""

from __future__ import annotations

import time
from collections import deque
from typing import NamedTuple

import msgspec


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /load``; see ``LoadReport`` for the fields."""

    in_flight: int = 0
    queued: int = 0
    queued_tokens: int = 0
    step_seconds: float = 0
    free_cache_ratio: float = 1
    age_seconds: float = 0


class _Sample(NamedTuple):
    at: float
    load: Load


class LoadHistory:
    """The loads of the last moments, so that a report can be late."""

    def __init__(self) -> None:
        self._samples = deque((_Sample(0, Load()),))

    def append(self, load: Load, lag: float) -> None:
        """Keep the load of this moment.

        :param load: the load.
        :param lag: seconds that a report lags; older samples are dropped.
        """
        self._samples.append(_Sample(time.monotonic(), load))
        self._drop_older(lag)

    def read(self, lag: float) -> Load:
        """Report the load as it was a while ago.

        :param lag: seconds that the report lags.
        :returns: that load, with its age.
        """
        self._drop_older(lag)
        return msgspec.structs.replace(self._samples[0].load, age_seconds=lag)

    def _drop_older(self, lag: float) -> None:
        # The newest sample from before the horizon held at the horizon.
        horizon = time.monotonic() - lag
        while len(self._samples) > 1 and self._samples[1].at <= horizon:
            self._samples.popleft()
