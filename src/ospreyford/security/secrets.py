"""A process's certificate and keys, read again whenever their files change."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from ospreyford.security.contexts import make_contexts
from ospreyford.security.errors import HandshakeFailed, SecretUnusable
from ospreyford.security.events import SecretRefused, SecretsReplaced
from ospreyford.security.handshake import Secured, shake_hands
from ospreyford.security.keyring import read_keyring

if TYPE_CHECKING:
    import ssl

    from curio.io import Socket

    from ospreyford.observability.logs import ChangeLog
    from ospreyford.ports.clock import Clock
    from ospreyford.security.settings import SecuritySettings

#: Serves one connection to its end.
Serve = Callable[['Socket'], Awaitable[None]]
#: What tells one content of a file from the next: changed when, which, size.
Stamp = tuple[int, int, int]


class Secrets:
    """Secures connections and control messages as the settings say.

    :param settings: names the files.
    :raises SecretUnusable: a file that is unreadable or does not fit.
    """

    def __init__(self, settings: SecuritySettings) -> None:
        self.failures: Counter[tuple[str, str]] = Counter()
        self._settings = settings
        self._stamps = self._read_stamps()
        self._contexts = make_contexts(settings)
        self.keyring = read_keyring(settings.control_keys)

    async def serve_caller(self, sock: Socket, serve: Serve) -> None:
        """Serve a caller, over TLS if the settings say so.

        :param sock: the accepted socket; closed if the handshake fails.
        :param serve: serves the connection.
        """
        callers = getattr(self._settings, 'callers', 'plain')
        if callers == 'plain' or self._contexts is None:
            await serve(sock)
            return
        await self._serve(sock, serve, self._contexts.callers, 'caller')

    async def serve_entry(self, sock: Socket, serve: Serve) -> None:
        """Serve an entry at this agent.

        Not every backend server checks who gives it an order; its agent is
        the only way to it, and asks for a certificate of the fleet.

        :param sock: the accepted socket; closed if the handshake fails.
        :param serve: serves the connection.
        """
        if self._contexts is None:
            await serve(sock)
            return
        await self._serve(sock, serve, self._contexts.entries, 'entry')

    async def connect_agent(self, sock: Socket) -> Secured:
        """Secure this entry's connection to an agent.

        :param sock: the connected socket.
        :returns: the connection.
        :raises HandshakeFailed: the socket is closed.
        """
        if self._contexts is None:
            return Secured(sock)
        return await self._secure(sock, self._contexts.agents, 'agent')

    async def run(self, clock: Clock, changes: ChangeLog) -> None:
        """Look for changed files, for ever.

        :param clock: source of time.
        :param changes: the log.
        """
        while True:
            await clock.sleep(self._settings.reload_seconds)
            try:
                replaced = self.refresh()
            except SecretUnusable as error:
                changes.log_change(SecretRefused(error.path, error.allowed))
                continue
            if replaced:
                changes.log_change(SecretsReplaced(tuple(replaced)))

    def refresh(self) -> list[str]:
        """Read the files again if one has changed.

        Connections that are open stay as they are.

        :returns: the files that changed.
        :raises SecretUnusable: what was in use stays so. It is told once for
            each change of a file.
        """
        stamps = self._read_stamps()
        changed = [
            path for path in stamps if stamps[path] != self._stamps.get(path)
        ]
        if not changed:
            return changed
        # A certificate and its key are two files, written one after the
        # other: read in between they do not fit. All or nothing is replaced,
        # and the second file's change brings the next try.
        self._stamps = stamps
        contexts = make_contexts(self._settings)
        self.keyring.replace(read_keyring(self._settings.control_keys))
        self._contexts = contexts
        return changed

    async def _serve(
        self, sock: Socket, serve: Serve, context: ssl.SSLContext, peer: str
    ) -> None:
        with suppress(HandshakeFailed):
            secured = await self._secure(sock, context, peer)
            await serve(secured.sock)

    async def _secure(
        self, sock: Socket, context: ssl.SSLContext, peer: str
    ) -> Secured:
        seconds = self._settings.handshake_seconds
        serving = peer != 'agent'
        try:
            return await shake_hands(sock, context, seconds, serving=serving)
        except HandshakeFailed as error:
            self.failures[peer, error.fault.value] += 1
            raise

    def _read_stamps(self) -> dict[str, Stamp | None]:
        settings = self._settings
        paths = (
            settings.certificate,
            settings.private_key,
            settings.authority,
            settings.control_keys,
        )
        return {path: _read_stamp(path) for path in paths if path}


def _read_stamp(path: str) -> Stamp | None:
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_mtime_ns, found.st_ino, found.st_size
