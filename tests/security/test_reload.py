from __future__ import annotations

import os
import ssl
from contextlib import suppress
from itertools import count
from pathlib import Path

import pytest

from ospreyford.security.errors import SecretUnusable
from ospreyford.security.secrets import Secrets
from ospreyford.security.settings import SecuritySettings
from ospreyford.settings.errors import KeyConflict
from tests.security.material import Authority, write_keys

OLD, NEW = 'ab' * 32, 'cd' * 32


#: Times of change, in nanoseconds.
TIMES = count(10**18, 10**9)


def touch(*paths: str) -> None:
    """Give files a time of change that none had before."""
    for path in paths:
        at = next(TIMES)
        os.utime(path, ns=(at, at))


def names_in_use(secrets: Secrets) -> set[str]:
    """Shake hands in memory, and read the certificate that is shown."""
    contexts = secrets._contexts
    assert contexts is not None
    client_in, client_out = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = contexts.agents.wrap_bio(client_in, client_out)
    server = contexts.callers.wrap_bio(client_out, client_in, server_side=True)
    for end in (client, server, client, server):
        with suppress(ssl.SSLWantReadError):
            end.do_handshake()
    shown = client.getpeercert()
    assert shown is not None
    return {str(pair[1]) for pair in shown['subjectAltName']}


def test_files_are_read_again(tmp_path: Path) -> None:
    """Symptom: new connections fail for some hosts while a key is replaced.

    Sequence: certificate and key are written one after the other; the process
    looks in between.
    Cause: the new certificate is put in use with the old key, or the old
    certificate thrown away.
    """
    authority = Authority(tmp_path)
    settings = authority.issue('old')
    certificate, key = str(settings.certificate), str(settings.private_key)
    touch(certificate, key)
    secrets = Secrets(settings)
    assert secrets.refresh() == []
    fresh = authority.issue('new')
    for target, source in (
        (certificate, str(fresh.certificate)),
        (key, str(fresh.private_key)),
    ):
        assert names_in_use(secrets) == {'old'}
        Path(target).write_bytes(Path(source).read_bytes())
        touch(target)
        if target == certificate:
            with pytest.raises(SecretUnusable):
                secrets.refresh()
            # Told once, not at each look.
            assert secrets.refresh() == []
    assert secrets.refresh() == [key]
    assert names_in_use(secrets) == {'new'}


def test_control_keys_are_read_again(tmp_path: Path) -> None:
    path = tmp_path / 'keys'
    settings = SecuritySettings(control_keys=write_keys(path, OLD))
    touch(str(path))
    secrets, keyring = Secrets(settings), Secrets(settings).keyring
    ring = secrets.keyring
    for keys, fits in (((OLD, NEW), True), (('broken',), False)):
        write_keys(path, *keys)
        touch(str(path))
        if fits:
            assert secrets.refresh() == [str(path)]
        else:
            with pytest.raises(SecretUnusable):
                secrets.refresh()
        # The same object: the node keeps the one that it was given.
        assert secrets.keyring is ring
        assert ring.open(keyring.seal(b'm')) == b'm'
    path.unlink()
    with pytest.raises(SecretUnusable):
        secrets.refresh()
    assert ring.open(keyring.seal(b'm')) == b'm'


UNUSABLE = (
    ('certificate', 'no such file', 'certificate'),
    ('certificate', 'not PEM', 'private_key'),
    ('private_key', 'key of another', 'private_key'),
    ('authority', 'not PEM', 'authority'),
)


@pytest.mark.parametrize(('wrong', 'how', 'named'), UNUSABLE)
def test_unusable_files_are_named(
    tmp_path: Path, wrong: str, how: str, named: str
) -> None:
    authority = Authority(tmp_path)
    settings = authority.issue('one')
    path = Path(str(getattr(settings, wrong)))
    match how:
        case 'no such file':
            path.unlink()
        case 'not PEM':
            path.write_text('nothing')
        case _:
            other = str(authority.issue('two').private_key)
            path.write_bytes(Path(other).read_bytes())
    with pytest.raises(SecretUnusable) as caught:
        Secrets(settings)
    assert caught.value.key == named


@pytest.mark.parametrize(
    ('given', 'named'),
    [
        ({'certificate': 'c'}, 'private_key'),
        ({'certificate': 'c', 'private_key': 'k'}, 'authority'),
        ({'authority': 'a'}, 'certificate'),
    ],
)
def test_half_a_certificate_is_refused(
    given: dict[str, str], named: str
) -> None:
    with pytest.raises(KeyConflict) as caught:
        SecuritySettings(**given)  # type: ignore[arg-type]
    assert caught.value.key == named
