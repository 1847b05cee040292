"""Log events about availability zones taken out of service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ZoneTakenOut:
    """Operators took a zone out of service: it gets no more requests.

    :param zone: its name.
    :param revision: revision of the store.
    :param backends: known backends there; 0 if no backend names this zone.
    :param requests: requests of this entry under way there.
    """

    zone: str
    revision: int
    backends: int
    requests: int


@dataclass(frozen=True)
class ZoneEmptied:
    """The last request of this entry under way in a zone that is out ended.

    :param zone: its name.
    :param out_seconds: time since the entry learned that it is out.
    """

    zone: str
    out_seconds: float


@dataclass(frozen=True)
class ZoneTakenBack:
    """A zone is in service again.

    :param zone: its name.
    :param revision: revision of the store.
    :param backends: known backends there.
    :param requests: requests of this entry that were still under way there.
    """

    zone: str
    revision: int
    backends: int
    requests: int


@dataclass(frozen=True)
class ZoneKeyRefused:
    """A key takes no zone out, since its name can be that of no zone.

    :param key: beginning of the key.
    :param reason: what is wrong with it.
    :param revision: revision of the store.
    """

    key: str
    reason: str
    revision: int


ZoneDecision = ZoneTakenOut | ZoneEmptied | ZoneTakenBack | ZoneKeyRefused
