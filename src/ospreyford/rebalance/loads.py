"""Estimates of the load of each expert from the ranks' routing counts.

The counts don't distinguish prefill from decoding, although a decoded token
costs far more. So the counts of each window are normalized to shares, which
are then weighted by the number of decoding requests.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

MAX_BYTE = 255
COMPRESSION_THRESHOLD_BYTES: Final = 1000
#: Sums are quantized more finely: fewer rounding errors cancel out.
RANK_QUANTIZATION_STEP: Final = 17
SUM_QUANTIZATION_STEP: Final = 5
#: Smoothing factor of the moving average, per pass: the last two to three
#: passes count, in which a request's choices hardly change.
PASS_WEIGHT = 0.4
#: A window with more than this multiple of the decoding baseline has a prefill.
PREFILL_RATIO = 1.6
#: Growth of the baseline per window, to recover from a value that is too low.
BASELINE_GROWTH_RATIO = 1.01


def _build_quantization_table(step: int) -> bytes:
    values = range(MAX_BYTE + 1)
    return bytes(step * round(value / step) for value in values)


RANK_QUANTIZATION_TABLE: Final = _build_quantization_table(
    RANK_QUANTIZATION_STEP
)
SUM_QUANTIZATION_TABLE: Final = _build_quantization_table(SUM_QUANTIZATION_STEP)


class Incarnation(NamedTuple):
    """Identifies the process and epoch in which a rank's counts were taken.

    Counts of different incarnations can't be subtracted from each other.

    :param epoch: the group's epoch.
    :param born_ms: start time of the rank's process in Unix milliseconds; 0 if
        unknown.
    """

    epoch: int
    born_ms: int = 0


class QuantizedLoad(NamedTuple):
    """Load of each expert, quantized to one byte.

    :param scale: requests per unit of a level.
    :param levels: one byte for each set and expert, set by set.
    :param is_compressed: whether ``levels`` is compressed by zlib.
    """

    scale: float
    levels: bytes
    is_compressed: bool = False

    def compress_large(self, *, is_sum: bool = False) -> QuantizedLoad:
        """Quantize further and compress a large load for transmission.

        :param is_sum: whether this is the load of several ranks.
        :returns: this load, compressed if it is large.
        """
        if len(self.levels) < COMPRESSION_THRESHOLD_BYTES:
            return self
        table = SUM_QUANTIZATION_TABLE if is_sum else RANK_QUANTIZATION_TABLE
        coarse = self.levels.translate(table)
        return QuantizedLoad(self.scale, zlib.compress(coarse), True)

    def decompress(self) -> QuantizedLoad | None:
        """Reverse the compression of :meth:`compress_large`.

        :returns: the uncompressed load, or ``None`` if the data is malformed.
        """
        if not self.is_compressed:
            return self
        try:
            return QuantizedLoad(self.scale, zlib.decompress(self.levels))
        except zlib.error:
            return None


class ShareTracker:
    """Estimates each expert's share of decoding from cumulative counts."""

    def __init__(self) -> None:
        self._counts: Sequence[int] = ()
        self._step = 0
        self._incarnation: Incarnation | None = None
        self._shares: list[float] = []
        self._baseline: float | None = None

    def record_counts(
        self,
        counts: Sequence[int],
        incarnation: Incarnation,
        step: int,
        decoding_requests: int,
    ) -> None:
        """Record the latest counts.

        :param counts: cumulative counts since the rank's start, set by set.
        :param incarnation: the rank's incarnation in which they were taken.
        :param step: number of the last started pass.
        :param decoding_requests: number of requests running at the rank.
        """
        previous = self._counts
        passes = step - self._step
        is_same = self._incarnation == incarnation and len(previous) == len(
            counts
        )
        if passes < 1 and is_same:
            return
        self._counts = counts
        self._step = step
        self._incarnation = incarnation
        if not is_same or passes < 1:
            return
        window = [new - old for new, old in zip(counts, previous, strict=True)]
        total = sum(window)
        # Counts of a restarted rank begin at zero.
        if total <= 0 or min(window) < 0:
            return
        self._update_shares(
            window,
            total,
            self._compute_weight(total, passes, decoding_requests),
        )

    def quantize(self, decoding_requests: int) -> QuantizedLoad | None:
        """Quantize the load for a message.

        :param decoding_requests: number of requests running at the rank.
        :returns: the load, or ``None`` before the first window.
        """
        if not self._shares:
            return None
        peak = max(self._shares)
        levels = bytes(round(share / peak * MAX_BYTE) for share in self._shares)
        return QuantizedLoad(peak / MAX_BYTE * decoding_requests, levels)

    def _compute_weight(
        self, total: int, passes: int, decoding_requests: int
    ) -> float:
        """Compute the weight of a window in the moving average."""
        picks_per_request = total / (passes * max(decoding_requests, 1))
        baseline = (
            picks_per_request
            if self._baseline is None
            else self._baseline * BASELINE_GROWTH_RATIO
        )
        self._baseline = min(baseline, picks_per_request)
        if picks_per_request > PREFILL_RATIO * self._baseline:
            # A prefill predicts the decoding of a single request.
            return 1 / max(decoding_requests, 1)
        return 1 - (1 - PASS_WEIGHT) ** passes

    def _update_shares(
        self, window: Sequence[int], total: int, weight: float
    ) -> None:
        if len(self._shares) != len(window):
            self._shares = [count / total for count in window]
            return
        factor = weight / total
        self._shares = [
            share * (1 - weight) + count * factor
            for share, count in zip(self._shares, window, strict=True)
        ]


def sum_loads_by_set(
    loads: Iterable[QuantizedLoad], set_count: int
) -> list[list[float]]:
    """Sum loads and split the result by set.

    :param loads: the uncompressed loads.
    :param set_count: number of sets.
    :returns: for each set, the load of each expert; empty without loads.
    """
    sums = sum_loads(loads)
    size = len(sums) // max(set_count, 1)
    starts = range(0, size * set_count, max(size, 1))
    return [sums[start : start + size] for start in starts]


def sum_loads(loads: Iterable[QuantizedLoad]) -> list[float]:
    """Sum the loads of each expert.

    :param loads: the uncompressed loads.
    :returns: a sum for each set and expert, set by set; empty without loads.
    """
    known = list(loads)
    longest = max((len(load.levels) for load in known), default=0)
    sums: list[float] = [0 for _ in range(longest)]
    for part in known:
        if len(part.levels) == longest and part.scale:
            sums = _add_load(sums, part)
    return sums


def quantize_sum(sums: Sequence[float]) -> QuantizedLoad:
    """Quantize summed loads for a message.

    :param sums: a load for each set and expert, in requests.
    :returns: the quantized load.
    """
    peak = max(sums, default=0)
    if peak <= 0:
        return QuantizedLoad(0, bytes(len(sums)))
    factor = MAX_BYTE / peak
    levels = bytes([round(load * factor) for load in sums])
    return QuantizedLoad(peak / MAX_BYTE, levels)


def _add_load(sums: Iterable[float], quantized: QuantizedLoad) -> list[float]:
    scale = quantized.scale
    return [
        load + scale * level
        for load, level in zip(sums, quantized.levels, strict=True)
    ]
