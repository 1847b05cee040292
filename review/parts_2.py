"""Stand-ins and checks that the scripts of the second review share.

They follow the users' pages: a store, replicas of a plain service, clients,
and the platform's part in starting, stopping and killing a program.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

#: A loopback address of this run, so that the fixed ports of the programs are
#: free on it; the processes of one run share it.
HOST = os.environ.setdefault(
    'REVIEW_HOST',
    f'127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.1',
)
ROOT = Path(__file__).resolve().parent.parent
KEY = 'n2ctnfzs989anu6wsjnb'
SITE_HOST = 'ficu95.example'
HEARTBEAT_S = 1.2


def free_port():
    """Return a port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def free_range():
    """Return the first of 16 adjacent ports, free at the time of the call."""
    while True:
        first = free_port()
        if first > 65_000:
            continue
        socks = []
        try:
            for port in range(first, first + 16):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = socket.socket(socket.AF_INET, kind)
                    socks.append(sock)
                    sock.bind((HOST, port))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
        return first


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self._stream = open(path, 'w', encoding='utf-8')

    def write(self, text):
        self._stream.write(f'{time.monotonic() - self.began:8.3f} {text}\n')
        self._stream.flush()


async def read_request(reader):
    """Read one request: method, target, headers, body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, separator, text = line.partition(':')
        if separator:
            headers[name.strip().lower()] = text.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return method, target, headers, body


def make_answer(status, headers, body):
    """Encode a whole answer."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Store:
    """The platform's store: one revision, items, a history."""

    def __init__(self):
        self.revision = 7
        self.items = {}
        self.history = []
        self.address = None
        self._changed = asyncio.Condition()

    async def start(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = server.sockets[0].getsockname()[:2]
        return server

    async def put(self, key, content):
        """Write an item, or delete it if the content is None."""
        async with self._changed:
            self.revision += 1
            if content is None:
                self.items.pop(key, None)
                event = {'Key': key, 'Revision': self.revision, 'Deleted': True}
            else:
                raw = json.dumps(content).encode()
                created = self.items.get(key, {}).get('Created', self.revision)
                event = {
                    'Key': key,
                    'Value': base64.b64encode(raw).decode(),
                    'Revision': self.revision,
                    'Created': created,
                    'LeaseId': 0,
                }
                self.items[key] = event
            self.history.append(event)
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                status, content = await self._answer(request[1])
                body = json.dumps(content).encode()
                writer.write(
                    make_answer(
                        status, {'Content-Type': 'application/json'}, body
                    )
                )
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        from urllib.parse import parse_qs, urlsplit

        parts = urlsplit(target)
        query = {key: texts[0] for key, texts in parse_qs(parts.query).items()}
        prefix = query.get('Prefix', '')
        if parts.path == '/kv-key':
            item = self.items.get(query['Key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'At': self.revision}
        if parts.path == '/kv-range':
            after = query.get('After', '')
            keys = sorted(
                key
                for key in self.items
                if key.startswith(prefix) and key > after
            )
            return 200, {
                'Items': [self.items[key] for key in keys[:500]],
                'HasMore': len(keys) > 500,
                'At': self.revision,
            }
        if parts.path == '/kv-watch':
            return 200, await self._watch(query, prefix)
        return 404, {}

    async def _watch(self, query, prefix):
        after = int(query['After'])

        def list_events():
            return [
                event
                for event in self.history
                if event['Revision'] > after and event['Key'].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(query['WaitMs']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(list_events)
        except TimeoutError:
            pass
        return {'events': list_events(), 'At': self.revision}


class Replica:
    """A sound replica of a plain service."""

    def __init__(self, name, service, store, record, work_s=0.0225):
        self.name = name
        self.service = service
        self.address = None
        self.runs = []
        self._store = store
        self._record = record
        self._work_s = work_s
        self._sequence = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = server.sockets[0].getsockname()[:2]
        await self.register()
        return server

    async def register(self, state='ready'):
        """Write the entry, as every heartbeat does."""
        self._sequence += 1
        await self._store.put(
            f'servers/{self.name}',
            make_entry(self.service, self.address, state, self._sequence),
        )

    async def beat(self):
        """Write the entry at each heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.register()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await self.answer(request, reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    async def answer(self, request, reader, writer):
        method, target, headers, _ = request
        if target == '/health':
            writer.write(make_answer(200, {'X-Replica-Id': self.name}, b''))
            return
        attempt = headers.get('x-attempt-id', '')
        if headers.get('x-expect-replica', self.name) != self.name:
            writer.write(make_answer(421, {'X-Attempt-Id': attempt}, b''))
            return
        self.runs.append(attempt)
        self._record.write(f'{self.name} runs {attempt} {method} {target}')
        await asyncio.sleep(self._work_s)
        writer.write(
            make_answer(
                200,
                {'X-Attempt-Id': attempt, 'X-Response-Seal': f's.{attempt}'},
                b'x' * 800,
            )
        )
        await writer.drain()


def make_entry(service, address, state='ready', sequence=1, zone='hall-a'):
    """Make the entry of a replica in the store."""
    return {
        'Service': service,
        'Address': f'{address[0]}:{address[1]}',
        'Zone': zone,
        'Version': 'v1',
        'Slots': 6,
        'State': state,
        'ColdRemainingMs': 0,
        'Sequence': sequence,
    }


def make_config(routes, services, version=11):
    """Make the operator's configuration."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 5000,
            'IdleTimeoutMs': 20000,
        },
        'Tenants': [{'Name': 'hule930', 'ApiKeys': [KEY], 'Priority': 1}],
    }


def make_route(name, prefix, service, kind, **more):
    """Make a route of the configuration."""
    return {
        'Name': name,
        'Host': SITE_HOST,
        'Prefix': prefix,
        'Service': service,
        'RouteType': kind,
        'TimeoutMs': 2500,
        'TargetLatencyMs': 200,
        'MaxAttempts': 2,
        'Priority': 2,
        **more,
    }


class Program:
    """One of the project's programs, started as the deploy file says.

    :param role: ``entry`` or ``agent``.
    :param folder: a temporary folder for settings and log.
    :param store: address of the store.
    :param host: IP address of its machine.
    :param first_port: first port between machines, the same on all of them.
    :param more: further lines of the settings; they replace earlier ones.
    """

    def __init__(self, role, folder, store, host=HOST, first_port=None, more=()):
        self.role = role
        self.host = host
        self.front = (host, free_port())
        self.ready = (host, free_port())
        self.log = folder / f'{role}-{host}.log'
        self._settings = folder / f'{role}-{host}.conf'
        self.process = None
        self.more = more
        self._first_port = first_port or free_range()
        self._store = store

    def start(self):
        lines = [
            f'NodeName={self.role}-{self.host}',
            f'Role={self.role}',
            f'Ip={self.host}',
            'Zone=hall-a',
            'Region=ulaanbaatar',
            'Zones.hall-a=ulaanbaatar',
            f'PortRange={self._first_port},{self._first_port + 15}',
            'Bootstrap=true',
            'Limits.CpuShare=0.817',
            'Limits.Cores=1',
            'Limits.MemoryMb=300',
            'Limits.MaxFds=4200',
            'Limits.LinkMbps=1000.0',
            'Discovery=platform',
            'HeartbeatMs=1200',
            'Contracts=base,drain,config,cost,retry,recover,engine,stream,'
            'tenants,platform,experts',
            'Bounds.SeedLagS=3',
            'Bounds.ReuseAfterS=2',
            'Bounds.StableWindowMs=3000',
            'Bounds.DrainMs=2000',
            'Bounds.GraceS=8',
            'Bounds.LossSlackMs=200',
            'Bounds.ConfigApplyMs=2000',
            'Bounds.FailClosed=true',
            'Bounds.RevokeMs=5000',
            'Bounds.RetryBudgetRatio=0.2',
            'Bounds.RetryWindowS=10',
            'Bounds.BudgetSlack=88',
            'Bounds.RecoveryS=12',
            'Bounds.RequireFence=false',
            f'Platform.Address={self._store[0]}:{self._store[1]}',
            'Platform.form=read',
            'Platform.ReadsPerS=2000',
        ]
        if self.role == 'entry':
            lines += [
                'MachineClass=front',
                'Serves=front',
                f'Listen.Front={self.front[0]}:{self.front[1]}',
                f'Listen.Ready={self.ready[0]}:{self.ready[1]}',
            ]
        lines += self.more
        self._settings.write_text('\n'.join(lines) + '\n')
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME') if name in os.environ
        }
        environment['LANG'] = 'C.UTF-8'
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['OSPREYFORD_NODE_FILE'] = str(self._settings)
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'ospreyford.platform.start', self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def read_memory_mb(self):
        """Return the resident memory of the process, in MB."""
        try:
            status = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) // 1024
        return 0

    def write_log(self, record):
        """Write the last of the program's log, without one line a request."""
        lines = self.log.read_text(errors='replace').splitlines()
        kept = [line for line in lines if '"RequestEnded"' not in line]
        record.write(f'log of the {self.role}:')
        for line in kept[-60:]:
            record.write(line[:600])

    async def stop(self, grace_s=8.0):
        """SIGTERM, then SIGKILL after the grace; returns the seconds taken."""
        began = time.monotonic()
        if self.process is None:
            return 0
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        while self.process.poll() is None:
            if time.monotonic() - began > grace_s:
                self.process.kill()
                self.process.wait()
                return None
            await asyncio.sleep(0.05)
        return time.monotonic() - began


class Answer:
    """What a client got: status 0 if the connection ended without any."""

    def __init__(self, status, headers, body, seconds):
        self.status = status
        self.headers = headers
        self.body = body
        self.seconds = seconds


async def call(address, method, target, headers, wait_s, body=b''):
    """Send one request on a new connection and wait for the whole answer.

    :returns: the answer; None if there was none within ``wait_s``.
    """
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {text}' for name, text in headers.items()]
            if body:
                lines.append(f'Content-Length: {len(body)}')
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *rest = head.split('\r\n')
            fields = {}
            for line in rest:
                name, separator, text = line.partition(':')
                if separator:
                    fields[name.strip().lower()] = text.strip()
            content = b''
            if 'content-length' in fields:
                content = await reader.readexactly(
                    int(fields['content-length'])
                )
            return Answer(
                int(first.split()[1]),
                fields,
                content,
                time.monotonic() - began,
            )
    except TimeoutError:
        return None
    except (OSError, asyncio.IncompleteReadError):
        return Answer(0, {}, b'', time.monotonic() - began)
    finally:
        if writer is not None:
            writer.transport.abort()


async def wait_ready(program, seconds=15.0):
    """Wait until the program answers 200 on its ready address."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        answer = await call(
            program.ready, 'GET', '/ready', {'Host': 'ready'}, 1.0
        )
        if answer is not None and answer.status == 200:
            return True
        await asyncio.sleep(0.1)
    return False


def run_case(case, folder):
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    :param case: coroutine function of a record, a temporary folder and whether
        there is trouble; returns whether the rule was broken.
    :param folder: the case's folder, for the record.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(folder) / 'record.txt')
    record.write(f'trouble: {has_trouble}')
    try:
        with tempfile.TemporaryDirectory() as temporary:
            is_broken = asyncio.run(
                case(record, Path(temporary), has_trouble)
            )
    except Exception as error:  # the case could not run
        record.write(f'could not run: {type(error).__name__}: {error}')
        print(f'could not run: {type(error).__name__}: {error}')
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
