"""Errors of the platform adapter."""

from __future__ import annotations

from dataclasses import dataclass


class PlatformError(Exception):
    """Base class of the platform adapter's errors."""


@dataclass(unsafe_hash=True)
class BadRecord(PlatformError):
    """A stored value or a response cannot be decoded.

    :param key: the key or key prefix.
    :param reason: description of the error.
    """

    key: str
    reason: str


@dataclass(unsafe_hash=True)
class StoreUnavailable(PlatformError):
    """The store did not respond to a call, or refused it.

    :param reason: description of the failure.
    """

    reason: str


class HistoryCompacted(PlatformError):
    """The store has compacted changes after the requested revision."""


@dataclass(unsafe_hash=True)
class StoreRestored(PlatformError):
    """The store came back from an older copy; its revisions start anew.

    :param generation: the store's new generation.
    """

    generation: int


@dataclass(unsafe_hash=True)
class BadNodeFile(PlatformError):
    """The node settings file is invalid.

    :param path: the file.
    :param key: the invalid key.
    :param reason: description of the error.
    """

    path: str
    key: str
    reason: str
