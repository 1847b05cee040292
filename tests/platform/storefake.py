"""Fake of the platform's store over real sockets."""

from __future__ import annotations

from base64 import b64encode
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import curio
import msgspec

from ospreyford.http.message import Limits
from ospreyford.http.server import (
    Exchange,
    listen,
    port_of,
    serve_connection,
)
from tests.fakes.loopback import next_address

PAGE_ITEMS = 2


def make_config(version: int, **other: Any) -> bytes:
    config = {
        'Version': version,
        'Routes': [
            {
                'Name': 'r1',
                'Host': 'Host.example',
                'Prefix': '/a/',
                'RouteType': 'streaming',
                'TimeoutMs': 8000,
                'TargetLatencyMs': 500,
                'TargetGapMs': 120,
                'MaxAttempts': 2,
                'CanResume': True,
                'Backends': [
                    {'Service': 's1', 'Weight': 90},
                    {'Service': 's2', 'Weight': 10},
                ],
            },
            {
                'Name': 'r2',
                'Host': 'host.example',
                'Prefix': '/a/b/',
                'RouteType': 'non_idempotent',
                'TimeoutMs': 1200,
                'Service': 's2',
            },
        ],
        'Services': [
            {
                'Name': 's1',
                'MaxConnections': 10,
                'Engine': {
                    'Slots': 6,
                    'LinkMbps': 180000.0,
                    'Stride': 4,
                    'step_ms': 4.5,
                    'Sets': 4,
                    'Experts': 72,
                    'Placements': 8,
                    'Spare': 3,
                    'ExpertMb': 2250.0,
                },
            },
            {'Name': 's2', 'MaxConnections': 10},
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': 't1', 'ApiKeys': ['k1', 'k2'], 'Priority': 1}],
    }
    return msgspec.json.encode({**config, **other})


def make_registration(state: str = 'ready', **other: Any) -> bytes:
    fields = {
        'Service': 's1',
        'Address': '127.0.0.1:9000',
        'Zone': 'a',
        'Version': 'v1',
        'Slots': 6,
        'State': state,
        'ColdRemainingMs': 0,
        'Sequence': 4,
    }
    return msgspec.json.encode({**fields, **other})


@dataclass
class FakeStore:
    """Items, their changes, and faults to inject."""

    items: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    changes: list[tuple[str, bytes | None, int]] = field(default_factory=list)
    revision: int = 5
    compacted_revision: int = 0
    calls: list[str] = field(default_factory=list)
    #: Faults of the next calls: status, raw body, or ``None`` for no response.
    faults: list[int | bytes | None] = field(default_factory=list)
    #: Faults of the next watches only.
    watch_faults: list[int | bytes | None] = field(default_factory=list)

    def put(self, key: str, raw: bytes | None) -> None:
        self.revision += 1
        self.changes.append((key, raw, self.revision))
        if raw is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (raw, self.revision)

    def compact(self) -> None:
        self.compacted_revision = self.revision
        self.changes.clear()

    async def open(self) -> tuple[str, int]:
        host = next_address()
        sock = listen(host, 0)
        await curio.spawn(self._accept, sock, daemon=True)
        return host, port_of(sock)

    async def _accept(self, sock: Any) -> None:
        async with sock:
            while True:
                client, _ = await sock.accept()
                await curio.spawn(
                    serve_connection,
                    client,
                    Limits(),
                    self._serve,
                    daemon=True,
                )

    async def _serve(self, exchange: Exchange) -> None:
        parts = urlsplit(exchange.request.target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.calls.append(parts.path)
        if self.faults:
            await self._fail(exchange, self.faults.pop(0))
            return
        if self.watch_faults and parts.path == '/kv-watch':
            await self._fail(exchange, self.watch_faults.pop(0))
            return
        match parts.path:
            case '/kv-key':
                await self._get(exchange, query['Key'])
            case '/kv-range':
                await self._range(exchange, query)
            case '/kv-watch':
                await self._watch(exchange, query)

    async def _fail(
        self, exchange: Exchange, fault: int | bytes | None
    ) -> None:
        if fault is None:
            await exchange.wait_for_hangup()
        elif isinstance(fault, bytes):
            await exchange.respond(200, fault)
        else:
            await exchange.respond(fault, b'')

    async def _get(self, exchange: Exchange, key: str) -> None:
        if key not in self.items:
            await exchange.respond(404, b'')
            return
        shown = {
            **self._encode_item(key, *self.items[key]),
            'At': self.revision,
        }
        await exchange.respond(200, msgspec.json.encode(shown))

    async def _range(self, exchange: Exchange, query: dict[str, str]) -> None:
        after = query.get('After', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['Prefix']) and key > after
        )
        page = {
            'Items': [
                self._encode_item(key, *self.items[key])
                for key in keys[:PAGE_ITEMS]
            ],
            'HasMore': len(keys) > PAGE_ITEMS,
            'At': self.revision,
        }
        await exchange.respond(200, msgspec.json.encode(page))

    async def _watch(self, exchange: Exchange, query: dict[str, str]) -> None:
        after = int(query['After'])
        for _ in range(int(query['WaitMs']) // 10):
            if self.revision > after:
                break
            await curio.sleep(0.01)
        if after < self.compacted_revision:
            await exchange.respond(410, b'')
            return
        events = [
            self._encode_item(*change)
            for change in self.changes
            if change[2] > after
        ]
        response = {'events': events, 'At': self.revision}
        await exchange.respond(200, msgspec.json.encode(response))

    def _encode_item(self, key: str, raw: bytes | None, revision: int) -> Any:
        if raw is None:
            return {'Key': key, 'Revision': revision, 'Deleted': True}
        value = b64encode(raw).decode()
        return {'Key': key, 'Value': value, 'Revision': revision}
