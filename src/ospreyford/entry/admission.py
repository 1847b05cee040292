"""Reads a caller's request and checks it."""

from __future__ import annotations

import math
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import xxhash

from ospreyford.entry.call import Call
from ospreyford.entry.forwarding import select_headers
from ospreyford.entry.outcome import Cause
from ospreyford.observability.traceparent import parse_traceparent
from ospreyford.wire.identity import make_id, read_date

if TYPE_CHECKING:
    from ospreyford.entry.call import Directory
    from ospreyford.entry.settings import RequestSettings
    from ospreyford.http.message import Headers, Request
    from ospreyford.ports.clock import Clock

CUSTOMER_HEADER = b'ospreyford-customer'
SERVICE_HEADER = b'ospreyford-service'
DEADLINE_HEADER = b'ospreyford-deadline-ms'
IDEMPOTENT_HEADER = b'ospreyford-idempotent'
KEY_HEADER = b'idempotency-key'
MILLISECONDS_PER_SECOND = 1000
#: Bytes of text that count as one token in an estimate.
BYTES_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 64
MAX_NAME_BYTES = 128
#: More than any engine answers; a count beyond it is cut down to it.
MAX_ANSWER_TOKENS = 1_000_000_000


@dataclass(unsafe_hash=True)
class BadCall(Exception):
    """The request breaks the rules of admission; nothing was sent."""

    cause: Cause


class Prompt(msgspec.Struct, frozen=True):
    """The parts of a model request that admission looks at.

    :param prefix: the part of the prompt that others share.
    :param max_tokens: longest answer, in tokens.
    """

    prefix: str = ''
    max_tokens: int = DEFAULT_ANSWER_TOKENS


class Admission:
    """Turns requests into calls.

    :param settings: request limits.
    :param directory: which calls are idempotent.
    :param clock: time source.
    """

    def __init__(
        self,
        settings: RequestSettings,
        directory: Directory,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._clock = clock

    def parse_call(self, request: Request, body: bytes) -> Call:
        """Check a request and make a call of it.

        :param request: the request's head.
        :param body: the request's whole body.
        :returns: the call.
        :raises BadCall: a header field is missing or wrong.
        """
        customer = _parse_name(
            request.headers, CUSTOMER_HEADER, Cause.missing_customer
        )
        service = _parse_name(
            request.headers, SERVICE_HEADER, Cause.unknown_service
        )
        deadline = self._clock.monotonic() + self._parse_deadline(request)
        key = parse_key(request.headers)
        target = _parse_target(request.target)
        request_id = make_id()
        prompt = _parse_prompt(body)
        prefix = prompt.prefix.encode()
        return Call(
            request_id=request_id,
            customer=customer,
            service=service,
            deadline=deadline,
            idempotent=self._parse_idempotent(request, service, target),
            key=key,
            dated=read_date(key or request_id) or 0,
            method=request.method,
            target=target,
            headers=_make_backend_headers(request.headers, request_id),
            body=body,
            prefix_hash=xxhash.xxh3_64_digest(prefix) if prefix else None,
            estimated_tokens=len(body) // BYTES_PER_TOKEN
            + _clamp_tokens(prompt),
            trace=parse_traceparent(request.headers),
            attempted_backends=[],
        )

    def _parse_deadline(self, request: Request) -> float:
        raw = _find_unique(request.headers, DEADLINE_HEADER)
        if raw is None:
            return self._settings.default_deadline_seconds
        try:
            seconds = float(raw) / MILLISECONDS_PER_SECOND
        except ValueError:
            raise BadCall(Cause.bad_deadline) from None
        if not math.isfinite(seconds) or seconds <= 0:
            raise BadCall(Cause.bad_deadline)
        return min(seconds, self._settings.max_deadline_seconds)

    def _parse_idempotent(
        self,
        request: Request,
        service: str,
        target: str,
    ) -> bool:
        declared = _find_unique(request.headers, IDEMPOTENT_HEADER)
        if declared not in {None, b'true', b'false'}:
            raise BadCall(Cause.bad_request)
        # Either side's mark is enough: running twice what may not be is
        # worse than not retrying what may.
        return declared != b'false' and self._directory.is_idempotent(
            service,
            request.method,
            target,
        )


def parse_key(headers: Headers) -> str:
    """Read the caller's idempotency key.

    :param headers: the request's header fields.
    :returns: the key, or an empty string.
    :raises BadCall: there are two, or it is not a UUID version 7. Only a
        dated key lets an agent that restarted tell a retry from a new
        request.
    """
    raw = _find_unique(headers, KEY_HEADER)
    if raw is None:
        return ''
    key = raw.decode('latin-1').strip().strip('"')
    if read_date(key) is None:
        raise BadCall(Cause.bad_key)
    # One id has many spellings. Each must lead to the same home, or a retry
    # that spells it otherwise runs a second time.
    return str(uuid.UUID(key))


def _parse_name(headers: Headers, field: bytes, missing_cause: Cause) -> str:
    raw = _find_unique(headers, field)
    if not raw:
        raise BadCall(missing_cause)
    try:
        name = raw.decode('utf-8')
    except UnicodeDecodeError:
        raise BadCall(Cause.bad_request) from None
    if len(raw) > MAX_NAME_BYTES or '/' in name or not name.isprintable():
        raise BadCall(Cause.bad_request)
    return name


def _parse_target(target: str) -> str:
    # A server must take the absolute form too (RFC 9112). Judged as it came,
    # no document would name its path, and what may run once could run twice.
    if target == '*' or target.startswith('/'):
        return target
    _, separator, rest = target.partition('://')
    if not separator:
        raise BadCall(Cause.bad_request)
    return '/{0}'.format(rest.partition('/')[-1])


def _find_unique(headers: Headers, name: bytes) -> bytes | None:
    # Of two fields the back end may heed the other one: what was judged here
    # would not be what runs there.
    found = [content for field, content in headers if field == name]
    if len(found) > 1:
        raise BadCall(Cause.bad_request)
    return found[0] if found else None


def _parse_prompt(body: bytes) -> Prompt:
    try:
        return msgspec.json.decode(body, type=Prompt)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        # Not a model request, or one nested so deeply that the decoder's
        # stack ran out: its body is the back end's business.
        return Prompt(max_tokens=0)


def _clamp_tokens(prompt: Prompt) -> int:
    # Symptom without it: a customer asks for less than no tokens, which its
    # limit would take for a refund, or for more than its count can hold.
    return min(max(prompt.max_tokens, 0), MAX_ANSWER_TOKENS)


def _make_backend_headers(headers: Headers, request_id: str) -> Headers:
    return (
        *select_headers(headers),
        (b'host', b'backend'),
        (b'x-request-id', request_id.encode()),
    )
