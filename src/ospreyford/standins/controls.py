"""How a test or a demo speaks with a stand-in."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, NamedTuple, TypeVar

import msgspec

from ospreyford.http.client import fetch
from ospreyford.http.message import Headers, Request, find_header
from ospreyford.standins.journal import JournalEntry
from ospreyford.standins.process import JSON_TYPE, LOOPBACK

ANSWER_SECONDS = 10.0

Decoded = TypeVar('Decoded')


class ControlRefused(Exception):
    """The stand-in did not take a change, so the test would prove nothing."""


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes

    def decode(self, decoded_type: type[Decoded]) -> Decoded:
        """Decode the body.

        :param decoded_type: what the JSON body holds.
        :returns: the body, decoded and checked.
        """
        return msgspec.json.decode(self.body, type=decoded_type)

    def find(self, name: bytes) -> str:
        """Find a header field.

        :param name: its lower-case name.
        :returns: its content, or an empty string.
        """
        return (find_header(self.headers, name) or b'').decode()


async def ask(
    port: int,
    method: str,
    target: str,
    message: Any = None,
    headers: Headers = (),
) -> Reply:
    """Send one request on a fresh connection and read the whole answer.

    :param port: the stand-in's port on loopback.
    :param method: the HTTP method.
    :param target: path and query.
    :param message: sent as JSON; ``None`` sends no body.
    :param headers: further header fields.
    :returns: the answer, whatever its status.
    :raises ospreyford.http.errors.HttpError: no whole answer came.
    """
    body = b'' if message is None else msgspec.json.encode(message)
    request = Request(method, target, (JSON_TYPE, *headers))
    head, content = await fetch((LOOPBACK, port), request, body, ANSWER_SECONDS)
    return Reply(head.status, head.headers, content)


async def control(port: int, message: Any) -> None:
    """Change a stand-in's faults or options.

    :param port: the port of its ``/control``.
    :param message: the change, encoded as JSON.
    :raises ControlRefused: it was not taken.
    """
    reply = await ask(port, 'POST', '/control', message)
    if reply.status != HTTPStatus.OK:
        raise ControlRefused


async def read_journal(port: int) -> list[JournalEntry]:
    """Read what a stand-in did.

    :param port: its port.
    :returns: the entries, oldest first.
    """
    reply = await ask(port, 'GET', '/journal')
    return reply.decode(list[JournalEntry])
