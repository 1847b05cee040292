"""Changes of state that have to do with certificates and keys."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class SecretsReplaced:
    """Certificates or keys were read anew and are in use.

    :param files: those that had changed.
    """

    files: tuple[str, ...]


@dataclass(frozen=True)
class SecretRefused:
    """A changed certificate or key cannot be used; the old one stays.

    :param path: the file.
    :param allowed: what it must hold.
    """

    path: str
    allowed: str
