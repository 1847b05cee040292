"""Small deployment on loopback: store, servers, programs, clients.

Uses the standard library only. Servers and store do what PROTOCOL.md says and
nothing else; the disruption of a case is switched on by the case.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

REPOSITORY = Path(__file__).resolve().parents[1]
KEY = 'k1-0123456789'
TENANT = 'tenant1'
HOST = 'quotes.example'
SETTINGS = """NodeName={name}
Role={role}
MachineClass={kind}
Serves={kind}
Ip={ip}
Zone={zone}
Region=r1
Zones.hall-a=r1
Zones.hall-b=r1
Zones.hall-c=r1
{listen}PortRange=7340,7355
Bootstrap=true
InTolerance=false
Limits.CpuShare=0.817
Limits.Cores=1
Limits.MemoryMb=300
Limits.MaxFds=4200
Limits.LinkMbps=1000.0
Discovery=platform
Entry=vip
HeartbeatMs=1200
Bounds.ReuseAfterS=2
Bounds.StableWindowMs=3000
Bounds.DrainMs=2000
Bounds.GraceS=8
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RollbackSlackMs=250
Bounds.MaxStretchMs=5000
Bounds.FailClosed=true
Bounds.RevokeMs=5000
Bounds.RetryBudgetRatio=0.2
Bounds.RetryWindowS=10
Bounds.BudgetSlack=90
Bounds.RecoveryS=12
Bounds.EventDelayMs=120
Bounds.stall_ms=1500
Bounds.RequireFence=true
Platform.Address={store}
Platform.form=read
Platform.ReadsPerS=2000
Platform.HistoryS=20
Platform.ValueBytes=1048576
"""


def pick_network() -> str:
    """Pick loopback addresses on which nothing listens.

    :returns: the first three numbers of the addresses, and a dot.
    """
    while True:
        network = f'127.{random.randint(1, 250)}.{random.randint(1, 250)}.'
        try:
            for number in (11, 12, 100):
                for port in (7340, 8220, 8227, 9464):
                    with socket.socket() as probe:
                        probe.bind((f'{network}{number}', port))
        except OSError:
            continue
        return network


def join_address(address: tuple[str, int]) -> str:
    """Join an IP address and a port.

    :param address: both.
    :returns: both with a colon between.
    """
    host, port = address
    return f'{host}:{port}'


class Record:
    """Lines of what was sent, answered and run, in order of time.

    :param path: the file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line.

        :param text: the line.
        """
        self._file.write(f'{time.monotonic() - self._began:9.4f} {text}\n')

    def close(self) -> None:
        """Write the rest and close the file."""
        self._file.close()


class Message:
    """Head and body of a request or an answer.

    :param first: the first line.
    :param fields: header fields by lower-case name.
    :param body: the body.
    """

    def __init__(self, first: str, fields: dict[str, str], body: bytes) -> None:
        self.first = first
        self.fields = fields
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message.

    :param reader: of the connection.
    :returns: the head, or ``None`` if the connection ended before it.
    """
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return Message(first, fields, b'')


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with its body, with a length or in chunks.

    :param reader: of the connection.
    :returns: the message, or ``None`` if the connection ended before its end.
    """
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.fields.get('transfer-encoding') == 'chunked':
            while True:
                size = int((await reader.readline()).strip() or b'0', 16)
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    return message
        length = int(message.fields.get('content-length', '0'))
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None
    return message


def encode_answer(
    status: int, fields: dict[str, str], body: bytes, reason: str = 'x'
) -> bytes:
    """Encode an answer with a length.

    :param status: the HTTP status.
    :param fields: header fields.
    :param body: the body.
    :param reason: the reason phrase.
    :returns: the bytes.
    """
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {text}' for name, text in fields.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Store:
    """The platform's store: read calls over HTTP, writes by the case itself."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int]] = {}
        self.events: list[tuple[str, bytes | None, int]] = []
        self.revision = 1
        self.address = ''
        self._changed = asyncio.Condition()

    async def start(self, ip: str) -> None:
        """Listen on a free port.

        :param ip: loopback address.
        """
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = join_address(server.sockets[0].getsockname())

    async def put(self, key: str, value: object | None) -> None:
        """Write a value, or delete it; the return is the acknowledgement.

        :param key: its key.
        :param value: what to store as JSON; ``None`` deletes.
        """
        self.revision += 1
        raw = None if value is None else json.dumps(value).encode()
        self.events.append((key, raw, self.revision))
        if raw is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (raw, self.revision)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                target = urlsplit(request.first.split(' ')[1])
                query = dict(parse_qsl(target.query, keep_blank_values=True))
                status, shown = await self._answer(target.path, query)
                fields = {'Content-Type': 'application/json'}
                writer.write(
                    encode_answer(status, fields, json.dumps(shown).encode())
                )
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict[str, str]):
        prefix = query.get('Prefix', '')
        if path == '/kv-key':
            key = query['Key']
            if key not in self.items:
                return 404, {}
            return 200, {**_show(key, *self.items[key]), 'At': self.revision}
        if path == '/kv-range':
            after = query.get('After', '')
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            page = [_show(k, *self.items[k]) for k in keys[:500]]
            return 200, {
                'Items': page,
                'HasMore': len(keys) > 500,
                'At': self.revision,
            }
        if path == '/kv-watch':
            after = int(query['After'])
            until = time.monotonic() + int(query['WaitMs']) / 1000
            while True:
                found = [
                    _show(*event)
                    for event in self.events
                    if event[2] > after and event[0].startswith(prefix)
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {'events': found, 'At': self.revision}
                async with self._changed:
                    try:
                        await asyncio.wait_for(self._changed.wait(), left)
                    except TimeoutError:
                        continue
        return 404, {}


def _show(key: str, raw: bytes | None, revision: int) -> dict[str, object]:
    if raw is None:
        return {'Key': key, 'Revision': revision, 'Deleted': True}
    return {
        'Key': key,
        'Value': base64.b64encode(raw).decode(),
        'Revision': revision,
        'Created': revision,
        'LeaseId': 0,
    }


class PlainServer:
    """A sound server of a plain service.

    :param name: its id.
    :param service: name of its service.
    :param seconds: time that a request runs.
    :param record: what it ran.
    """

    def __init__(
        self, name: str, service: str, seconds: float, record: Record
    ) -> None:
        self.name = name
        self.address = ''
        self._service = service
        self._seconds = seconds
        self._record = record

    async def start(self, ip: str) -> None:
        """Listen on a free port.

        :param ip: loopback address.
        """
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = join_address(server.sockets[0].getsockname())

    def describe(self, zone: str, state: str = 'ready') -> dict[str, object]:
        """Describe the server as it registers itself.

        :param zone: its zone.
        :param state: ``ready`` or ``draining``.
        :returns: the value of its entry in the store.
        """
        return {
            'Service': self._service,
            'Address': self.address,
            'Zone': zone,
            'Version': 'v1',
            'Slots': 6,
            'State': state,
            'ColdRemainingMs': 0,
            'Sequence': 0,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                name = request.fields.get('x-attempt-id', '')
                fields = {'X-Attempt-Id': name, 'Keep-Alive': 'timeout=5'}
                if request.fields.get('x-expect-replica') != self.name:
                    writer.write(encode_answer(421, fields, b''))
                    continue
                self._record.write(f'server {self.name} runs {name}')
                await asyncio.sleep(self._seconds)
                seal = {**fields, 'X-Response-Seal': f'{self.name}.{name}'}
                writer.write(encode_answer(200, seal, b'a' * 800))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Program:
    """A program of the deploy file as a process of its own.

    :param role: name of the role.
    :param ip: its loopback address.
    :param zone: its zone.
    :param store: address of the store.
    :param folder: for its settings file and its log.
    :param app: address of the server on its machine, for ``agent``.
    """

    def __init__(
        self,
        role: str,
        ip: str,
        zone: str,
        store: str,
        folder: Path,
        app: str = '',
    ) -> None:
        deploy = tomllib.loads(
            (REPOSITORY / 'deploy' / 'system.toml').read_text()
        )
        words = deploy['roles'][role]['run'].split()
        self.front = (ip, 8227)
        self.ready = (ip, 8220)
        kind = 'front' if role == 'entry' else 'side'
        listen = f'app={app}\nService=lm-drafting\n'
        if kind == 'front':
            listen = f'Listen.Front={ip}:8227\nListen.Ready={ip}:8220\n'
        name = f'{kind}-{ip}'
        path = folder / f'{name}.conf'
        path.write_text(
            SETTINGS.format(
                name=name,
                role=role,
                kind=kind,
                ip=ip,
                zone=zone,
                listen=listen,
                store=store,
            )
        )
        self.settings = path
        self.log = folder / f'{name}.log'
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        environment['OSPREYFORD_NODE_FILE'] = str(path)
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                words, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal.

        :param number: the signal.
        """
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process, whatever it does."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def wait_ready(self, seconds: float = 25) -> bool:
        """Wait until the readiness check says 200.

        :param seconds: longest wait.
        :returns: whether it did.
        """
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if answer is not None and ' 200 ' in answer.first + ' ':
                    return True
            except (TimeoutError, OSError):
                pass
            await asyncio.sleep(0.1)
        return False


def make_config(routes: list[dict], services: list[dict], version: int = 3):
    """Make the operator's configuration.

    :param routes: its routes.
    :param services: its services.
    :param version: its version.
    :returns: the value of ``op/config``.
    """
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1048576,
            'HeaderTimeoutMs': 5000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': TENANT, 'ApiKeys': [KEY]}],
    }


async def ask(
    address: tuple[str, int],
    prefix: str,
    request_id: str,
    deadline_ms: int,
    fields: dict[str, str] | None = None,
    body: bytes = b'x' * 600,
) -> Message | None:
    """Send a request on a new connection, and read the answer.

    :param address: of the entry.
    :param prefix: path prefix of the route.
    :param request_id: id of the client attempt.
    :param deadline_ms: the client's deadline.
    :param fields: further header fields.
    :param body: its body.
    :returns: the answer; ``None`` without one.
    """
    head = [
        f'POST {prefix}2f HTTP/1.1',
        f'Host: {HOST}',
        f'X-Attempt-Id: {request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
        f'X-Api-Key: {KEY}',
        f'Content-Length: {len(body)}',
        *(f'{name}: {text}' for name, text in (fields or {}).items()),
        '',
        '',
    ]
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), 1
        )
        writer.write('\r\n'.join(head).encode() + body)
        return await asyncio.wait_for(read_message(reader), deadline_ms / 1000)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()


def is_disrupted() -> bool:
    """Tell whether the case brings its disruption about.

    :returns: false with ``TROUBLE=0``.
    """
    return os.environ.get('TROUBLE') != '0'


def read_status(answer: Message | None) -> int:
    """Read an answer's status.

    :param answer: the answer.
    :returns: the status; 0 without an answer.
    """
    return 0 if answer is None else int(answer.first.split(' ')[1])


def run_case(play, folder: Path) -> None:
    """Run a case and exit with its result.

    :param play: coroutine function that gets the record; returns whether the
        rule held, or ``None`` if the case could not run.
    :param folder: the folder of the case.
    """
    record = Record(folder / 'record.txt')
    result: bool | None = None
    try:
        result = asyncio.run(asyncio.wait_for(play(record), 110))
    except Exception as error:
        # A fault of the case itself must not read as a broken rule.
        record.write(f'could not run: {error!r}')
    finally:
        record.close()
    sys.exit(2 if result is None else 0 if result else 1)
