"""What can be wrong with certificates, keys and those who show them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class SecurityError(Exception):
    """Base of the failures of certificates and keys."""


class HandshakeFault(StrEnum):
    """Why a TLS handshake came to nothing."""

    timeout = 'timeout'
    no_certificate = 'no_certificate'
    expired = 'expired'
    untrusted = 'untrusted'
    protocol = 'protocol'
    broken = 'broken'


@dataclass(unsafe_hash=True)
class HandshakeFailed(SecurityError):
    """A handshake ended without a connection; nothing was sent on it."""

    fault: HandshakeFault


class Forged(SecurityError):
    """A control message that none of this process's keys has sealed."""


@dataclass(unsafe_hash=True)
class SecretUnusable(SecurityError):
    """A file with a certificate or a key cannot be used.

    :param key: the setting that names the file, such as ``private_key``.
    :param path: the file.
    :param allowed: what the file must hold.
    """

    key: str
    path: str
    allowed: str
