"""Certificates and keys, made anew for each run of the tests."""

from __future__ import annotations

import secrets
from datetime import UTC, datetime, timedelta
from pathlib import Path

import trustme

from ospreyford.security.settings import EntrySecuritySettings

LONG_AGO = datetime.now(UTC) - timedelta(days=800)
EXPIRED = datetime.now(UTC) - timedelta(days=1)


class Authority:
    """Signs certificates and writes them where settings look for them."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self._authority = trustme.CA()
        self.path = directory / f'authority-{id(self)}.pem'
        self._authority.cert_pem.write_to_path(self.path)

    def issue(
        self, *names: str, expired: bool = False, **more: str
    ) -> EntrySecuritySettings:
        """Issue a certificate and tell the settings that name its files."""
        stem = self.directory / f'{names[0]}-{secrets.token_hex(4)}'
        certificate, key = stem.with_suffix('.pem'), stem.with_suffix('.key')
        self.write(certificate, key, *names, expired=expired)
        return EntrySecuritySettings(
            certificate=str(certificate),
            private_key=str(key),
            authority=str(self.path),
            handshake_seconds=1,
            **more,  # type: ignore[arg-type]
        )

    def write(
        self, certificate: Path, key: Path, *names: str, expired: bool = False
    ) -> None:
        """Write a certificate and its key to the two files."""
        issued = self._authority.issue_cert(
            *names,
            not_before=LONG_AGO if expired else None,
            not_after=EXPIRED if expired else None,
        )
        for number, part in enumerate(issued.cert_chain_pems):
            part.write_to_path(certificate, append=number > 0)
        issued.private_key_pem.write_to_path(key)


def write_keys(path: Path, *keys: str) -> str:
    """Write a file of control keys."""
    path.write_text('\n'.join(keys))
    return str(path)
