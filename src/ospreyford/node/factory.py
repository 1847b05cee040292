"""Construction of the peer messaging adapter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ospreyford.peers.node import PeerNode
from ospreyford.peers.settings import PeerSettings

if TYPE_CHECKING:
    from ospreyford.security.keyring import Keyring
    from ospreyford.settings.sections import Listen


def make_peers(
    settings: Listen, incarnation: str, keyring: Keyring
) -> PeerNode:
    """Build the adapter for ``PeerPort``.

    :param settings: listen addresses of this process.
    :param incarnation: incarnation of this process.
    :param keyring: encrypts and decrypts the messages.
    :returns: the adapter, not started.
    """
    peer_settings = PeerSettings(address=settings.peer_address)
    return PeerNode(peer_settings, incarnation, keyring)
