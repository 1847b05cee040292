"""TLS contexts made of the files that the settings name."""

from __future__ import annotations

import ssl
from typing import NamedTuple

from ospreyford.security.errors import SecretUnusable
from ospreyford.security.settings import SecuritySettings

CALLERS_PROTOCOLS = ('http/1.1',)


class Contexts(NamedTuple):
    """A context for each end of a connection.

    ``callers`` serves callers at an entry, ``entries`` serves entries at an
    agent, ``agents`` connects an entry to agents.
    """

    callers: ssl.SSLContext
    entries: ssl.SSLContext
    agents: ssl.SSLContext


def make_contexts(settings: SecuritySettings) -> Contexts | None:
    """Read certificate, key and authorities.

    :param settings: names the files.
    :returns: the contexts, or ``None`` where no files are named.
    :raises SecretUnusable: a file that is unreadable or does not fit.
    """
    if settings.certificate is None:
        return None
    callers = _load(settings, ssl.PROTOCOL_TLS_SERVER)
    callers.minimum_version = ssl.TLSVersion.TLSv1_2
    callers.set_alpn_protocols(CALLERS_PROTOCOLS)
    entries = _load(settings, ssl.PROTOCOL_TLS_SERVER)
    agents = _load(settings, ssl.PROTOCOL_TLS_CLIENT)
    # The greeting names the back end that answers, and the pool holds it
    # against the certificate; the address that was called has no name.
    agents.check_hostname = False
    for context in (entries, agents):
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        _trust(context, settings)
    # Entries keep connections and resume no session.
    entries.num_tickets = 0
    return Contexts(callers, entries, agents)


def _load(settings: SecuritySettings, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    certificate = str(settings.certificate)
    key = str(settings.private_key)
    try:
        context.load_cert_chain(certificate, key, password=_refuse_password)
    except ssl.SSLError:
        raise SecretUnusable(
            'private_key', key, f'the PEM key of the certificate {certificate}'
        ) from None
    except (OSError, ValueError):
        raise SecretUnusable(
            'certificate',
            certificate,
            'a readable PEM certificate, beside a readable key',
        ) from None
    return context


def _trust(context: ssl.SSLContext, settings: SecuritySettings) -> None:
    authority = str(settings.authority)
    try:
        context.load_verify_locations(authority)
    except OSError:
        raise SecretUnusable(
            'authority', authority, 'readable PEM certificates of authorities'
        ) from None


def _refuse_password() -> bytes:
    # By default the library asks at the terminal, and the process stands.
    raise ValueError
