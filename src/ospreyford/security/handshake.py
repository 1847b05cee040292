"""TLS handshakes, bounded in time."""

from __future__ import annotations

import ssl
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import curio
from curio.ssl import CurioSSLContext

from ospreyford.security.errors import HandshakeFailed, HandshakeFault

if TYPE_CHECKING:
    from curio.io import Socket

#: OpenSSL's X509_V_ERR_CERT_HAS_EXPIRED.
HAS_EXPIRED = 10
REASONS = MappingProxyType(
    {
        'PEER_DID_NOT_RETURN_A_CERTIFICATE': HandshakeFault.no_certificate,
        'SSLV3_ALERT_CERTIFICATE_EXPIRED': HandshakeFault.expired,
        'TLSV1_ALERT_UNKNOWN_CA': HandshakeFault.untrusted,
    }
)


class Secured(NamedTuple):
    """A connection after its handshake.

    ``names`` are the DNS names of the peer's certificate, or ``None`` on a
    connection without TLS, where nobody can tell.
    """

    sock: Socket
    names: frozenset[str] | None = None


async def shake_hands(
    sock: Socket, context: ssl.SSLContext, seconds: float, *, serving: bool
) -> Secured:
    """Carry out a handshake.

    :param sock: a connected socket; closed if the handshake fails.
    :param context: this end's context.
    :param seconds: how long it may take.
    :param serving: whether this end accepted the connection.
    :returns: the secured connection.
    :raises HandshakeFailed: nothing may be sent.
    """
    secured: Socket = await CurioSSLContext(context).wrap_socket(
        sock, server_side=serving, do_handshake_on_connect=False
    )
    try:
        await curio.timeout_after(seconds, secured.do_handshake())
    except (OSError, curio.TaskTimeout) as error:
        await secured.close()
        raise HandshakeFailed(_find_fault(error)) from None
    except curio.CancelledError:
        await secured.close()
        raise
    return Secured(secured, _read_names(secured.getpeercert()))


def _find_fault(error: Exception) -> HandshakeFault:
    match error:
        case curio.TaskTimeout():
            return HandshakeFault.timeout
        case ssl.SSLCertVerificationError(verify_code=code):
            if code == HAS_EXPIRED:
                return HandshakeFault.expired
            return HandshakeFault.untrusted
        case ssl.SSLEOFError():
            return HandshakeFault.broken
        case ssl.SSLError(reason=reason):
            return REASONS.get(str(reason), HandshakeFault.protocol)
        case _:
            return HandshakeFault.broken


def _read_names(certificate: object) -> frozenset[str]:
    # A caller need not show one.
    match certificate:
        case {'subjectAltName': names}:
            return frozenset(name for kind, name in names if kind == 'DNS')
        case _:
            return frozenset()
