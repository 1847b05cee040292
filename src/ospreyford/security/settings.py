"""Settings of certificates and keys."""

from __future__ import annotations

from typing import Literal

import msgspec

from ospreyford.settings.errors import KeyConflict
from ospreyford.settings.types import FilePath, Seconds

FLEET_FILES = ('certificate', 'private_key', 'authority')


class SecuritySettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Files with this host's certificate and keys; none means no protection.

    :param certificate: PEM, this host's certificate and those that lead to
        the authority; one of its DNS names is ``identity.name``.
    :param private_key: PEM, the certificate's key.
    :param authority: PEM, the authorities that sign the fleet's certificates.
    :param control_keys: a key of control messages in each line, 64 hex
        digits; the first one seals, all of them open.
    :param handshake_seconds: how long a handshake may take.
    :param reload_seconds: how often the files are looked at for a change.
    """

    certificate: FilePath | None = None
    private_key: FilePath | None = None
    authority: FilePath | None = None
    control_keys: FilePath | None = None
    handshake_seconds: Seconds = 2
    reload_seconds: Seconds = 10

    def __post_init__(self) -> None:
        """Refuse a certificate without its key or its authority.

        :raises KeyConflict: names the key.
        """
        named = [key for key in FLEET_FILES if getattr(self, key)]
        for key in FLEET_FILES:
            if named and key not in named:
                raise KeyConflict(key, f'a path, since {named[0]} is set')


class EntrySecuritySettings(
    SecuritySettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Files with this host's certificate and keys; none means no protection.

    :param certificate: PEM, this host's certificate and those that lead to
        the authority.
    :param private_key: PEM, the certificate's key.
    :param authority: PEM, the authorities that sign the fleet's certificates.
    :param control_keys: a key of control messages in each line, 64 hex
        digits; the first one seals, all of them open.
    :param handshake_seconds: how long a handshake may take.
    :param reload_seconds: how often the files are looked at for a change.
    :param callers: at an entry only: whether callers are served in plain or
        over TLS, with the same certificate.
    """

    callers: Literal['plain', 'tls'] = 'plain'

    def __post_init__(self) -> None:
        """Refuse TLS for callers without a certificate.

        :raises KeyConflict: names the key.
        """
        SecuritySettings.__post_init__(self)
        if self.callers == 'tls' and self.certificate is None:
            raise KeyConflict('certificate', 'a path, since callers is "tls"')
