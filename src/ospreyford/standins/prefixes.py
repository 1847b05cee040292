"""The prompt prefixes that an engine keeps, and what it tells of them."""

from __future__ import annotations

import time
from collections import OrderedDict
from typing import Literal

import msgspec
import xxhash

EventKind = Literal['stored', 'evicted']


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the cache.

    :param number: position in the stream, from 1; a gap is a lost event.
    :param event: ``stored`` or ``evicted``.
    :param prefix: hash of the prefix, as :func:`hash_prefix` gives it.
    :param at: ``CLOCK_MONOTONIC`` in seconds.
    """

    number: int
    event: EventKind
    prefix: str
    at: float


def hash_prefix(prefix: str) -> str:
    """Name a prefix in the cache events.

    :param prefix: the prefix's text.
    :returns: its hash in hexadecimal.
    """
    return xxhash.xxh64_hexdigest(prefix.encode())


def count_tokens(text: str) -> int:
    """Count the tokens of a text.

    :param text: any text.
    :returns: its words; the stand-in has no better tokenizer.
    """
    return len(text.split())


class PrefixCache:
    """Prefixes in limited memory; the least recently used leaves first.

    :param capacity: memory in tokens.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._used = 0
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._events: list[CacheEvent] = []

    @property
    def free_ratio(self) -> float:
        """Free share of the memory, 0 to 1."""
        return 1 - self._used / self._capacity

    def touch(self, prefix: str) -> bool:
        """Use a prefix, and keep it from now on.

        :param prefix: the prefix's text; an empty one is never kept.
        :returns: whether it was kept already.
        """
        name = hash_prefix(prefix)
        hit = name in self._sizes
        if hit:
            self._sizes.move_to_end(name)
        else:
            self._store(name, count_tokens(prefix))
        return hit

    def events_after(self, number: int, lag: float) -> list[CacheEvent]:
        """List events, as late as the engine publishes them.

        :param number: the last event that the reader knows.
        :param lag: seconds until an event is published.
        :returns: the events, oldest first.
        """
        horizon = time.monotonic() - lag
        return [event for event in self._events[number:] if event.at <= horizon]

    def _store(self, name: str, size: int) -> None:
        if not 0 < size <= self._capacity:
            return
        while self._used + size > self._capacity:
            evicted, freed = self._sizes.popitem(last=False)
            self._used -= freed
            self._publish('evicted', evicted)
        self._sizes[name] = size
        self._used += size
        self._publish('stored', name)

    def _publish(self, event: EventKind, name: str) -> None:
        self._events.append(
            CacheEvent(
                number=len(self._events) + 1,
                event=event,
                prefix=name,
                at=time.monotonic(),
            )
        )
