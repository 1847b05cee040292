"""A server that stops while callers hold kept connections with TLS."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import curio
import pytest
from curio.ssl import CurioSSLContext

from ospreyford.http.connections import OpenConnections
from ospreyford.http.server import Exchange, listen, port_of, serve_connection
from ospreyford.security.secrets import Secrets
from tests.http.test_server import LIMITS
from tests.security.material import Authority

RAW = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n'
HOST = 'localhost'


async def answer(exchange: Exchange) -> None:
    await exchange.read_body()
    if exchange.is_too_late():
        await exchange.respond(503, b'')
        return
    await exchange.start(200, ((b'content-length', b'5'),))
    await curio.sleep(0.1)
    await exchange.write(b'whole')
    await exchange.finish()


@asynccontextmanager
async def connect(
    directory: Path, siblings: OpenConnections
) -> AsyncIterator[Any]:
    authority = Authority(directory)
    secrets = Secrets(authority.issue(HOST, callers='tls'))

    async def serve(sock: Any) -> None:
        await serve_connection(sock, LIMITS, answer, siblings=siblings)

    async def accept() -> None:
        while True:
            client, _ = await sock.accept()
            await curio.spawn(secrets.serve_caller, client, serve, daemon=True)

    sock = listen('127.0.0.1', 0)
    await curio.spawn(accept, daemon=True)
    context = ssl.create_default_context(cafile=str(authority.path))
    plain = await curio.open_connection('127.0.0.1', port_of(sock))
    caller = await CurioSSLContext(context).wrap_socket(
        plain, server_hostname=HOST
    )
    async with caller:
        await curio.sleep(0.05)
        yield caller


async def stop_taking(directory: Path, *, is_busy: bool) -> bytes:
    siblings = OpenConnections()
    async with connect(directory, siblings) as caller:
        await caller.sendall(RAW)
        if is_busy:
            await curio.sleep(0.05)
        siblings.start_closing()
        siblings.stop_taking()
        if is_busy:
            await caller.sendall(RAW)
        received = b''
        async with curio.ignore_after(1):
            while piece := await caller.recv(65_536):
                received += piece
    return received


@pytest.mark.parametrize('is_busy', [False, True])
def test_what_is_refused_is_refused_within_tls(
    tmp_path: Path, is_busy: bool
) -> None:
    """Callers saw a broken TLS stream in place of the refusal.

    Shutting one direction of the connection down took its TLS away: the bytes
    of the request were read encrypted, as a malformed one, and answered
    plainly.
    """
    received = curio.run(lambda: stop_taking(tmp_path, is_busy=is_busy))
    assert b'HTTP/1.1 503' in received
