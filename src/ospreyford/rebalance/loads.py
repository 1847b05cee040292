"""The load of each expert, as the ranks' counts foretell it.

A rank counts how often its requests chose each expert, prompts and answers
alike. Work is another matter: a token of an answer costs a hundred times what
a token of a prompt does, but a prompt has ten times as many. Taken as they
come, nine counts in ten are of prompts that are already read. So each rank's
counts of a window are taken as shares, and weigh as much as the requests that
write there.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

MAX_BYTE = 255
#: Shares of fewer bytes go as they are: they fit a packet.
COMPRESSION_THRESHOLD_BYTES: Final = 1000
#: Step of large shares, of 255: sixteen values in all, and a third of that for
#: sums, whose rounding is not lost among as many others.
RANK_QUANTIZATION_STEP: Final = 17
SUM_QUANTIZATION_STEP: Final = 5
#: Weight of one pass in a rank's shares: those of the last two to three passes
#: count, in which a request's choices hardly change. Averaged over ten, a
#: change of demand was seen half a second later.
PASS_WEIGHT = 0.4
#: A window with so many times the counts that the requests which write can
#: have made holds a prompt.
PREFILL_RATIO = 1.6
#: Growth with each window of the counts that one request makes in a pass, as
#: long as none shows less: lets a wrong low value end.
BASELINE_GROWTH_RATIO = 1.01


def _build_quantization_table(step: int) -> bytes:
    values = range(MAX_BYTE + 1)
    return bytes(step * round(value / step) for value in values)


RANK_QUANTIZATION_TABLE: Final = _build_quantization_table(
    RANK_QUANTIZATION_STEP
)
SUM_QUANTIZATION_TABLE: Final = _build_quantization_table(SUM_QUANTIZATION_STEP)


class Incarnation(NamedTuple):
    """What a rank's counts belong to.

    The counts of a rank that started again may have passed the old ones when
    they are read next: taken as one row, their difference would be a load that
    no request makes.

    :param epoch: of its group.
    :param born_ms: when its process started, in Unix milliseconds; 0 if it
        does not tell.
    """

    epoch: int
    born_ms: int = 0


class QuantizedLoad(NamedTuple):
    """A rank's part of the load.

    :param scale: what each byte stands for, in requests.
    :param chosen: a byte for each set and expert, set by set.
    :param is_packed: whether the bytes are compressed, for the way.
    """

    scale: float
    levels: bytes
    is_compressed: bool = False

    def compress_large(self, *, is_sum: bool = False) -> QuantizedLoad:
        """Make large shares smaller for the way to the coordinator.

        Reports of 72 ranks with 12 sets of 144 experts need three times what a
        link of 4 Mbit/s carries. In sixteen steps and compressed they need a
        third to a quarter; the rounding of single ranks is lost in the sum.

        :param is_sum: whether they are of several ranks already.
        :returns: these shares, packed if they are large.
        """
        if len(self.levels) < COMPRESSION_THRESHOLD_BYTES:
            return self
        table = SUM_QUANTIZATION_TABLE if is_sum else RANK_QUANTIZATION_TABLE
        coarse = self.levels.translate(table)
        return QuantizedLoad(self.scale, zlib.compress(coarse), True)

    def decompress(self) -> QuantizedLoad | None:
        """Undo what :meth:`pack_large` did.

        :returns: shares with a byte for each expert, or ``None`` if the bytes
            cannot be decompressed.
        """
        if not self.is_compressed:
            return self
        try:
            return QuantizedLoad(self.scale, zlib.decompress(self.levels))
        except zlib.error:
            return None


class ShareTracker:
    """Turns a rank's growing counts into shares of what is written there."""

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
        """Take the newest counts.

        :param counts: since the rank's start, set by set.
        :param life: in which of the rank's lives they were counted.
        :param step: the last pass that was begun.
        :param writing: requests that run at the rank.
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
        # A rank that started anew counts from zero again.
        if total <= 0 or min(window) < 0:
            return
        self._update_shares(
            window,
            total,
            self._compute_weight(total, passes, decoding_requests),
        )

    def quantize(self, decoding_requests: int) -> QuantizedLoad | None:
        """Pack the shares for a message.

        :param writing: requests that run at the rank.
        :returns: the shares, or ``None`` before the first counts.
        """
        if not self._shares:
            return None
        peak = max(self._shares)
        levels = bytes(round(share / peak * MAX_BYTE) for share in self._shares)
        return QuantizedLoad(peak / MAX_BYTE * decoding_requests, levels)

    def _compute_weight(
        self, total: int, passes: int, decoding_requests: int
    ) -> float:
        """Tell how much of the shares a window replaces."""
        picks_per_request = total / (passes * max(decoding_requests, 1))
        baseline = (
            picks_per_request
            if self._baseline is None
            else self._baseline * BASELINE_GROWTH_RATIO
        )
        self._baseline = min(baseline, picks_per_request)
        if picks_per_request > PREFILL_RATIO * self._baseline:
            # A prompt shows what its request will choose while it writes:
            # one of those that run.
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
    """Add up the load of each expert over the ranks.

    :param parts: the newest shares of all ranks.
    :param sets: the number of sets.
    :returns: for each set, the load of each expert; empty without any.
    """
    sums = sum_loads(loads)
    size = len(sums) // max(set_count, 1)
    starts = range(0, size * set_count, max(size, 1))
    return [sums[start : start + size] for start in starts]


def sum_loads(loads: Iterable[QuantizedLoad]) -> list[float]:
    """Add up shares of the same experts.

    :param parts: the shares, none of them packed.
    :returns: a load for each set and expert, set by set; empty without any.
    """
    known = list(loads)
    longest = max((len(load.levels) for load in known), default=0)
    sums: list[float] = [0 for _ in range(longest)]
    for part in known:
        if len(part.levels) == longest and part.scale:
            sums = _add_load(sums, part)
    return sums


def quantize_sum(sums: Sequence[float]) -> QuantizedLoad:
    """Pack the sum of several ranks' loads for a message.

    :param sums: a load for each set and expert.
    :returns: the same as shares.
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
