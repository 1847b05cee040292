"""Callers over real connections, by the standard library's own client.

None of the product's HTTP code judges an answer here: whether it is whole is
seen as any caller sees it.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from enum import StrEnum
from http.client import (
    HTTPConnection,
    HTTPException,
    HTTPResponse,
    IncompleteRead,
)
from itertools import count
from socket import SO_RCVBUF, SOL_SOCKET
from threading import Event
from typing import NamedTuple, Self

from ospreyford.entry.homes import Home, order_homes
from ospreyford.settings.types import split_address
from ospreyford.wire.ids import create_id

CUSTOMER = 'retiree-portal'
PLAIN = 'quotation'
MODEL = 'drafting'
DEADLINE_MS = 6_000
CALLER_SECONDS = 12.0
LONG_DEADLINE_MS = 60_000
STREAM_TOKENS = 200
THREADS = 64
SMALL_BUFFER = 65_536
WIDE_TOKEN = 2_000


class Kind(StrEnum):
    """What kind of request it is."""

    keyed = 'keyed quote'
    unkeyed = 'unkeyed quote'
    rate = 'rate'
    stream = 'stream'


class Ask(NamedTuple):
    """One request. ``tag`` is its own, so that a journal shows its runs.

    ``width`` is the least number of characters of a token.
    """

    kind: Kind
    tag: str
    key: str = ''
    tokens: int = STREAM_TOKENS
    width: int = 0


@dataclass
class Told:
    """What a caller saw.

    ``outcome`` is the entry's word; ``cut`` for an answer that broke off,
    ``lost`` for a connection that ended or fell silent before any head, and
    ``refused`` for one that was never opened.
    """

    ask: Ask
    entry: str
    outcome: str
    began: float
    ended: float
    cause: str = ''
    request_id: str = ''
    body: bytes = b''


#: Names the next entry to try.
NextEntry = Callable[[], str]
#: What one steady caller was told.
Pressing = Future[list[Told]]


@dataclass
class Crowd:
    """Callers in threads.

    :param entries: the data addresses of the entries, by name.
    """

    entries: dict[str, str]
    pool: ThreadPoolExecutor = field(
        default_factory=lambda: ThreadPoolExecutor(THREADS)
    )

    def send(self, ask: Ask, entry: str) -> Future[Told]:
        """Send a request in a thread of its own."""
        return self.pool.submit(send, ask, entry, self.entries[entry])

    def press(self, stop: Event, entries: list[str]) -> list[Pressing]:
        """Have one steady caller of each kind at each entry."""
        return [
            self.pool.submit(_send_steadily, stop, kind, name, self.entries)
            for name in entries
            for kind in Kind
        ]


def make_ask(kind: Kind, tokens: int = STREAM_TOKENS) -> Ask:
    """Make a request that nobody made before."""
    return Ask(
        kind, create_id(), create_id() if kind is Kind.keyed else '', tokens
    )


def make_ask_for(home: str, homes: tuple[str, ...]) -> Ask:
    """Make a keyed request whose home is the named backend server."""
    declared = tuple(Home(name) for name in homes)
    while True:
        ask = make_ask(Kind.keyed)
        name = f'{CUSTOMER}/{PLAIN}/{ask.key}'
        if order_homes(declared, name, 0).candidates[0] == home:
            return ask


def send(ask: Ask, entry: str, address: str) -> Told:
    """Send one request on a connection of its own and see what comes."""
    began = time.monotonic()
    told = Told(ask, entry, 'refused', began, began)
    host, port = split_address(address)
    caller = HTTPConnection(host, port, timeout=CALLER_SECONDS)
    try:
        caller.connect()
        told.outcome = 'lost'
        _exchange(caller, ask, told)
    except (OSError, HTTPException):
        if told.outcome not in {'refused', 'lost'}:
            told.outcome = 'cut'
    finally:
        caller.close()
        told.ended = time.monotonic()
    return told


class SlowReader:
    """A caller that asks for a long answer and does not read it at first.

    :param address: the entry's data address.
    :param tokens: length of the answer.
    """

    def __init__(self, address: str, tokens: int) -> None:
        self.ask = make_ask(Kind.stream, tokens)._replace(width=WIDE_TOKEN)
        self._began = time.monotonic()
        self._connection = HTTPConnection(
            *split_address(address), timeout=CALLER_SECONDS
        )

    def __enter__(self) -> Self:
        self._connection.connect()
        # Or its kernel takes in megabytes for it.
        self._connection.sock.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER)
        headers = _make_headers(self.ask)
        headers['ospreyford-deadline-ms'] = str(LONG_DEADLINE_MS)
        self._connection.request(*_address(self.ask), headers=headers)
        return self

    def __exit__(self, *_: object) -> None:
        self._connection.close()

    def read_rest(self, entry: str) -> Told:
        """Read the answer to its end."""
        told = Told(self.ask, entry, 'lost', self._began, self._began)
        try:
            _read_answer(self._connection, told)
        except (OSError, HTTPException):
            told.outcome = 'cut'
        told.ended = time.monotonic()
        return told


class KeptConnection:
    """A caller that sends one request after the other on one connection.

    :param entry: the entry's name.
    :param address: its data address.
    """

    def __init__(self, entry: str, address: str) -> None:
        self._entry = entry
        self._connection = HTTPConnection(
            *split_address(address), timeout=CALLER_SECONDS
        )

    def __enter__(self) -> Self:
        self._connection.connect()
        # A second connection, opened unseen, would not be the kept one.
        self._connection.auto_open = 0
        return self

    def __exit__(self, *_: object) -> None:
        self._connection.close()

    def begin(self, ask: Ask) -> HTTPResponse:
        """Send a request and read the head of its answer."""
        headers = _make_headers(ask)
        self._connection.request(*_address(ask), headers=headers)
        return self._connection.getresponse()

    def send(self, ask: Ask) -> Told:
        """Send a request and read its whole answer."""
        began = time.monotonic()
        told = Told(ask, self._entry, 'lost', began, began)
        try:
            _exchange(self._connection, ask, told)
        except (OSError, HTTPException):
            told.outcome = 'lost'
        told.ended = time.monotonic()
        return told


def _exchange(caller: HTTPConnection, ask: Ask, told: Told) -> None:
    caller.request(*_address(ask), headers=_make_headers(ask))
    _read_answer(caller, told)


def _read_answer(caller: HTTPConnection, told: Told) -> None:
    answer = caller.getresponse()
    told.request_id = answer.getheader('ospreyford-request-id', '')
    told.outcome = answer.getheader('ospreyford-outcome', '?')
    try:
        told.body = answer.read()
    except IncompleteRead as error:
        told.body = error.partial
        raise
    if told.outcome != 'answered':
        told.cause = json.loads(told.body)['cause']


def _address(ask: Ask) -> tuple[str, str, bytes]:
    match ask.kind:
        case Kind.keyed | Kind.unkeyed:
            return 'POST', f'/quotes/{ask.tag}', ask.tag.encode()
        case Kind.rate:
            return 'GET', f'/rates/{ask.tag}', b''
        case Kind.stream:
            prompt = {
                'prompt': ask.tag,
                'max_tokens': ask.tokens,
                'token_chars': ask.width,
            }
            return 'POST', '/v1/completions', json.dumps(prompt).encode()


def _make_headers(ask: Ask) -> dict[str, str]:
    headers = {
        'ospreyford-customer': CUSTOMER,
        'ospreyford-service': MODEL if ask.kind is Kind.stream else PLAIN,
        'ospreyford-deadline-ms': str(DEADLINE_MS),
    }
    if ask.kind in {Kind.keyed, Kind.unkeyed}:
        headers['ospreyford-idempotent'] = 'false'
    if ask.key:
        headers['idempotency-key'] = ask.key
    return headers


def _send_steadily(
    stop: Event, kind: Kind, entry: str, entries: dict[str, str]
) -> list[Told]:
    told: list[Told] = []
    others = _take_turns(entry, list(entries))
    while not stop.wait(0.05):
        ask = make_ask(kind, tokens=20)
        told.append(send(ask, entry, entries[entry]))
        # The balancer in front goes elsewhere when an entry is gone, and a
        # caller with a key may come again anywhere.
        if ask.key and told[-1].outcome != 'answered':
            other = others()
            told.append(send(ask, other, entries[other]))
    return told


def _take_turns(first: str, names: list[str]) -> NextEntry:
    numbers = count(names.index(first) + 1)
    return lambda: names[next(numbers) % len(names)]
