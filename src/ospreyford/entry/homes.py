"""Selects the backend servers that hold an idempotency key."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

MILLISECONDS_PER_SECOND = 1000
HOUR_SECONDS = 3_600
#: How long previous homes are queried, as entries may use stale documents.
PREVIOUS_HOME_WINDOW_MS = HOUR_SECONDS * MILLISECONDS_PER_SECOND


class Home(NamedTuple):
    """A backend server that holds keys dated ``since`` to ``until``.

    Bounds are Unix times in milliseconds, inclusive; ``None`` for no bound.
    """

    name: str
    since: int | None = None
    until: int | None = None


class HomeOrder(NamedTuple):
    """Backend servers to query and to send a key to.

    ``previous`` may have run the key under an older document and must give
    it up first. ``candidates``: the home, then its fallbacks when draining.
    """

    previous: tuple[str, ...]
    candidates: tuple[str, ...]


def order_homes(homes: tuple[Home, ...], key: str, dated: int) -> HomeOrder:
    """Order the homes of a key by rendezvous hashing.

    The set of homes depends on the key's date, so that late retries find the
    same home.

    :param homes: declared homes.
    :param key: idempotency key with its customer and service.
    :param dated: date of the key, Unix time in milliseconds.
    :returns: previous homes and candidates.
    """
    ranked = sorted(homes, key=lambda home: _compute_weight(home.name, key))
    candidates = _list_valid(ranked, dated)
    previous = {
        earlier[0]
        for earlier in _list_previous_sets(ranked, dated)
        if earlier and earlier[:1] != candidates[:1]
    }
    return HomeOrder(tuple(sorted(previous)), candidates)


def _list_previous_sets(
    ranked: list[Home], dated: int
) -> list[tuple[str, ...]]:
    # Each home that joined or left ended one set of homes.
    ends = [home.since - 1 for home in ranked if home.since is not None]
    ends += [home.until for home in ranked if home.until is not None]
    return [
        _list_valid(ranked, end)
        for end in ends
        if dated - PREVIOUS_HOME_WINDOW_MS <= end < dated
    ]


def _list_valid(ranked: list[Home], time_ms: int) -> tuple[str, ...]:
    return tuple(home.name for home in ranked if _is_valid(home, time_ms))


def _is_valid(home: Home, time_ms: int) -> bool:
    joined = home.since is None or home.since <= time_ms
    left = home.until is not None and home.until < time_ms
    return joined and not left


def _compute_weight(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{name}\0{key}'.encode())
