"""How the C library hands memory back to the operating system."""

from __future__ import annotations

import ctypes
from typing import Final

#: Options of ``mallopt`` in the GNU C library.
MMAP_THRESHOLD: Final = -3
ARENA_MAX: Final = -8
#: Bytes from which on an allocation is a mapping of its own.
LARGE_BYTES: Final = 131_072


def hand_back_memory() -> bool:
    """Have large blocks go back when they are freed, and threads share a heap.

    Each change copies tables of a megabyte. The C library raises the size
    from which on a block is mapped by itself with the first such block that
    is freed; from then on the copies lie in a heap between small objects,
    and what is freed there stays in the resident set. A heap for each
    thread has the same effect once more.

    :returns: ``False`` with a C library that has no such options.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is None:
        return False
    return bool(mallopt(MMAP_THRESHOLD, LARGE_BYTES) and mallopt(ARENA_MAX, 1))
