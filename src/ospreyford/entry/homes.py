"""Which backend server holds an idempotency key."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

MILLISECONDS_PER_SECOND = 1000
HOUR_SECONDS = 3_600
#: How long after a home joined or left the home before is still asked for a
#: key. An entry that knows an older document may go on sending keys there.
PREVIOUS_HOME_WINDOW_MS = HOUR_SECONDS * MILLISECONDS_PER_SECOND


class Home(NamedTuple):
    """A declared home of keys, by its backend server's name.

    It takes keys dated from ``since`` up to ``until``: Unix times in
    milliseconds, ``None`` for no bound.
    """

    name: str
    since: int | None = None
    until: int | None = None


class HomeOrder(NamedTuple):
    """Where a key is looked for.

    ``asked``: servers that may have run the key under an older document;
    each must give it up first. ``chain``: the key's home, then the servers
    that take it when those before them drain.
    """

    previous: tuple[str, ...]
    candidates: tuple[str, ...]


def order_homes(homes: tuple[Home, ...], key: str, dated: int) -> HomeOrder:
    """Order the homes of a key by rendezvous hash.

    The key's date, not the moment of asking, picks the set of homes: every
    entry that knows the document finds the same home however late a retry
    comes.

    :param homes: the declared homes.
    :param key: the idempotency key with its customer and service.
    :param dated: the key's date, Unix time in milliseconds.
    :returns: whom to ask and whom to send it to.
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
    # The last moments of the sets of homes before the key's own: each home
    # that joined or left began another one.
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
