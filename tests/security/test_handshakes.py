"""Who is let in at an agent, and whom an entry takes for a back end."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import pytest

from ospreyford.http.server import listen, port_of
from ospreyford.ports.clock import SystemClock
from ospreyford.security.errors import HandshakeFault
from ospreyford.security.secrets import Secrets
from ospreyford.security.settings import SecuritySettings
from ospreyford.wire.connection import wrap_entry_connection
from ospreyford.wire.errors import Unreachable
from ospreyford.wire.frame import Greeting
from ospreyford.wire.pool import ConnectionPool, PoolSettings
from tests.security.material import Authority

AGENT = 'agent-1'
SECONDS = 10.0


class Agent:
    """Accepts entries and greets them, under a name and a certificate."""

    def __init__(self, secrets: Secrets, name: str = AGENT) -> None:
        self.secrets = secrets
        self.greeted = 0
        self._name = name
        self._sock = listen('127.0.0.1', 0)
        self.port = port_of(self._sock)

    async def run(self) -> None:
        async with self._sock:
            while True:
                sock, _ = await self._sock.accept()
                await curio.spawn(
                    self.secrets.serve_entry, sock, self._greet, daemon=True
                )

    async def _greet(self, sock: Any) -> None:
        self.greeted += 1
        connection = wrap_entry_connection(sock)
        greeting = Greeting(execution='', server=self._name, incarnation='1')
        await connection.send(greeting)
        await curio.sleep(SECONDS)

    async def wait_for(self, fault: HandshakeFault) -> None:
        while not self.secrets.failures['entry', fault.value]:
            await curio.sleep(0.01)


def run_beside(
    agent: Agent, act: Callable[[], Awaitable[None]], seconds: float = SECONDS
) -> None:
    async def main() -> None:
        task = await curio.spawn(agent.run, daemon=True)
        await curio.timeout_after(seconds, act)
        await task.cancel()

    curio.run(main)


def make_pool(settings: SecuritySettings) -> ConnectionPool:
    bounds = PoolSettings(connect_seconds=SECONDS)
    secure = Secrets(settings).connect_agent
    return ConnectionPool(bounds, SystemClock(), secure)


def make_stranger(trusted: Authority, kind: str) -> SecuritySettings:
    """Make the settings of an entry that the agent must not serve.

    It trusts the agent; only what it shows itself is at fault.
    """
    match kind:
        case 'none':
            return SecuritySettings()
        case 'other authority':
            shown = Authority(trusted.directory).issue('entry-1')
        case _:
            shown = trusted.issue('entry-1', expired=True)
    return SecuritySettings(
        certificate=shown.certificate,
        private_key=shown.private_key,
        authority=str(trusted.path),
    )


STRANGERS = (
    ('none', HandshakeFault.timeout),
    ('other authority', HandshakeFault.untrusted),
    ('expired', HandshakeFault.expired),
)


@pytest.mark.parametrize(('kind', 'fault'), STRANGERS)
def test_strangers_are_not_served(
    tmp_path: Path, kind: str, fault: HandshakeFault
) -> None:
    """Symptom: work at a back end that no entry has sent.

    Sequence: somebody who reaches an agent's address speaks its protocol.
    Cause: the back end checks nobody, and neither does its agent.
    """
    authority = Authority(tmp_path)
    stranger = make_stranger(authority, kind)
    agent = Agent(Secrets(authority.issue(AGENT)))

    async def act() -> None:
        with pytest.raises(Unreachable):
            await make_pool(stranger).acquire(f'127.0.0.1:{agent.port}', 2)
        await agent.wait_for(fault)
        assert agent.greeted == 0
        good = make_pool(authority.issue('entry-1'))
        await good.acquire(f'127.0.0.1:{agent.port}', SECONDS)
        assert agent.greeted == 1

    run_beside(agent, act)


@pytest.mark.parametrize(
    ('sent', 'fault'),
    [
        (b'', HandshakeFault.timeout),
        (b'GET / HTTP/1.1\r\n\r\n', HandshakeFault.protocol),
        (bytes(100), HandshakeFault.protocol),
    ],
)
def test_bytes_that_are_no_handshake_harm_nobody(
    tmp_path: Path, sent: bytes, fault: HandshakeFault
) -> None:
    """Symptom: an agent that a few stray connections keep from its work.

    Sequence: a connection says nothing, or something else; an entry comes.
    Cause: a handshake without a time limit, or an error that ends the agent.
    """
    authority = Authority(tmp_path)
    agent = Agent(Secrets(authority.issue(AGENT)))

    async def act() -> None:
        stray = await curio.open_connection('127.0.0.1', agent.port)
        await stray.sendall(sent)
        good = make_pool(authority.issue('entry-1'))
        await good.acquire(f'127.0.0.1:{agent.port}', SECONDS)
        await agent.wait_for(fault)
        await stray.close()

    run_beside(agent, act)


@pytest.mark.parametrize(
    ('certificate', 'trusted'), [(AGENT, True), ('agent-2', False)]
)
def test_a_back_end_proves_its_name(
    tmp_path: Path, certificate: str, trusted: bool
) -> None:
    """Symptom: a customer's request at a host that is not the back end.

    Sequence: an address is given to another host, or one host's certificate
    is stolen; who answers there greets as the back end.
    Cause: the certificate is of the fleet, and nobody looks at its name.
    """
    authority = Authority(tmp_path)
    agent = Agent(Secrets(authority.issue(certificate)))

    async def act() -> None:
        pool = make_pool(authority.issue('entry-1'))
        taking = pool.acquire(f'127.0.0.1:{agent.port}', SECONDS)
        if trusted:
            assert (await taking).frames.is_reusable()
            return
        with pytest.raises(Unreachable):
            await taking

    run_beside(agent, act)


def test_an_idle_connection_is_used_again(tmp_path: Path) -> None:
    """Nothing that TLS leaves on it may look like an unread answer."""
    authority = Authority(tmp_path)
    agent = Agent(Secrets(authority.issue(AGENT)))
    address = f'127.0.0.1:{agent.port}'

    async def act() -> None:
        pool = make_pool(authority.issue('entry-1'))
        first = await pool.acquire(address, SECONDS)
        await curio.sleep(0.1)
        await pool.release(address, first)
        assert await pool.acquire(address, SECONDS) is first

    run_beside(agent, act)
