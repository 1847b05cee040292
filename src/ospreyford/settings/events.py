"""Settings that changed while a process ran: one line each."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SettingsReloaded:
    """Changed settings took effect.

    :param applied: what is in force from now on.
    :param deferred: what changed and takes effect with the next start.
    """

    applied: list[str]
    deferred: list[str]


@dataclass(frozen=True)
class SettingsRefused:
    """Changed settings cannot be used; the last good ones stay.

    :param key: the entry.
    :param reason: what is wrong with it.
    """

    key: str
    reason: str


SettingsChange = SettingsReloaded | SettingsRefused
