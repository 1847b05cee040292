"""Loopback addresses, one for each use.

A run of thousands of cells leaves more closed connections behind than one
address has ports; a new listener then finds every port taken.
"""

from __future__ import annotations

import itertools
import os

_BLOCK = 250
_numbers = itertools.count()


def next_address() -> str:
    """Give an address of 127.0.0.0/8 that this process has not used lately."""
    number = next(_numbers)
    parts = (
        127,
        1 + os.getpid() % _BLOCK,
        number // _BLOCK % _BLOCK,
        1 + number % _BLOCK,
    )
    return '.'.join(map(str, parts))
