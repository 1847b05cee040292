"""Log events for reloaded settings."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SettingsReloaded:
    """Changed settings took effect.

    :param applied: settings applied at once.
    :param deferred: settings that take effect at the next start.
    """

    applied: list[str]
    deferred: list[str]


@dataclass(frozen=True)
class SettingsRefused:
    """Changed settings are invalid; the last valid ones stay in use.

    :param key: the invalid key.
    :param reason: description of the error.
    """

    key: str
    reason: str


SettingsChange = SettingsReloaded | SettingsRefused
