"""Ids of traces and spans, and which traces are sampled.

As in the OpenTelemetry SDK, whose import takes 2 MB of a process's memory.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

#: The low bits of a trace id decide, so that a sampled trace is sampled by
#: every process that has the same ratio.
DECIDING_BITS = 64


def make_id(bits: int) -> int:
    """Draw an id.

    :param bits: how long it is.
    :returns: any number but 0, which stands for no id.
    """
    drawn = 0
    while not drawn:
        drawn = random.getrandbits(bits)
    return drawn


def make_sampler(ratio: float) -> Callable[[int], bool]:
    """Make the choice of the traces that are sampled.

    :param ratio: share of them, 0 to 1.
    :returns: tells of a trace id whether it is sampled.
    """
    limit = 1 << DECIDING_BITS
    bound = round(ratio * limit)
    return lambda trace_id: trace_id % limit < bound
