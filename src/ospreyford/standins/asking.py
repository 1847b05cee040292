"""Requests of callers in the demo, and what they were told."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import curio

from ospreyford.http.client import fetch
from ospreyford.http.errors import ConnectionLost
from ospreyford.http.message import Request, find_header
from ospreyford.settings.types import split_address

if TYPE_CHECKING:
    from ospreyford.standins.fleet import Program

ANSWER_SECONDS = 20.0
OUTCOME = b'ospreyford-outcome'
REQUEST_ID = b'ospreyford-request-id'


class Ask(NamedTuple):
    """One request of the demo."""

    customer: str
    service: str
    method: str
    target: str
    body: bytes
    key: str


class Told(NamedTuple):
    """What a caller was told: ``outcome`` is the header of that name."""

    request: Ask
    entry: str
    status: int
    outcome: str
    request_id: str
    body: bytes


def ask_entry(entry: Program, request: Ask) -> Told:
    """Send a request through an entry.

    :param entry: the entry.
    :param request: the request.
    :returns: what its caller was told; ``cut`` for an answer that broke off.
    """
    headers = [
        (b'ospreyford-customer', request.customer.encode()),
        (b'ospreyford-service', request.service.encode()),
    ]
    if request.key:
        headers.append((b'idempotency-key', request.key.encode()))
    try:
        head, body = curio.run(
            fetch,
            split_address(entry.host.data_address),
            Request(request.method, request.target, tuple(headers)),
            request.body,
            ANSWER_SECONDS,
        )
    except ConnectionLost:
        return Told(request, entry.host.name, 0, 'cut', '', b'')
    outcome = find_header(head.headers, OUTCOME) or b'?'
    request_id = find_header(head.headers, REQUEST_ID) or b''
    return Told(
        request,
        entry.host.name,
        head.status,
        outcome.decode(),
        request_id.decode(),
        body,
    )
