"""Parses and validates callers' requests."""

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
from ospreyford.wire.ids import create_id, read_timestamp_ms

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
#: Used to estimate prompt tokens.
BYTES_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 64
MAX_NAME_BYTES = 128
#: Upper bound of the estimate, above any engine's limit.
MAX_ANSWER_TOKENS = 1_000_000_000


@dataclass(unsafe_hash=True)
class BadCall(Exception):
    """The request is invalid; nothing was sent."""

    cause: Cause


class Prompt(msgspec.Struct, frozen=True):
    """Fields of a model request that admission uses.

    :param prefix: shared prefix of the prompt.
    :param max_tokens: maximum response length, in tokens.
    """

    prefix: str = ''
    max_tokens: int = DEFAULT_ANSWER_TOKENS


class Admission:
    """Converts requests into calls.

    :param settings: request limits.
    :param directory: tells which calls are idempotent.
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
        """Parse and validate a request.

        :param request: request head.
        :param body: complete request body.
        :returns: the call.
        :raises BadCall: a header field is missing or invalid.
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
        request_id = create_id()
        prompt = _parse_prompt(body)
        prefix = prompt.prefix.encode()
        return Call(
            request_id=request_id,
            customer=customer,
            service=service,
            deadline=deadline,
            idempotent=self._parse_idempotent(request, service, target),
            key=key,
            dated=read_timestamp_ms(key or request_id) or 0,
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
        # Either the caller or the documents can rule out repetition.
        return declared != b'false' and self._directory.is_idempotent(
            service,
            request.method,
            target,
        )


def parse_key(headers: Headers) -> str:
    """Parse the idempotency key.

    :param headers: request header fields.
    :returns: the key, or an empty string.
    :raises BadCall: it is repeated or not a UUID version 7, whose date lets
        a restarted agent tell a retry from a new request.
    """
    raw = _find_unique(headers, KEY_HEADER)
    if raw is None:
        return ''
    key = raw.decode('latin-1').strip().strip('"')
    if read_timestamp_ms(key) is None:
        raise BadCall(Cause.bad_key)
    # Normalize, so that every spelling maps to the same home.
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
    # Normalize the absolute form (RFC 9112), so that documents match its path.
    if target == '*' or target.startswith('/'):
        return target
    _, separator, rest = target.partition('://')
    if not separator:
        raise BadCall(Cause.bad_request)
    return '/{0}'.format(rest.partition('/')[-1])


def _find_unique(headers: Headers, name: bytes) -> bytes | None:
    # The backend may read another one of repeated fields than was validated.
    found = [content for field, content in headers if field == name]
    if len(found) > 1:
        raise BadCall(Cause.bad_request)
    return found[0] if found else None


def _parse_prompt(body: bytes) -> Prompt:
    try:
        return msgspec.json.decode(body, type=Prompt)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        # Not a model request, or nested too deeply to decode.
        return Prompt(max_tokens=0)


def _clamp_tokens(prompt: Prompt) -> int:
    # Negative values would refund limits; huge ones would overflow them.
    return min(max(prompt.max_tokens, 0), MAX_ANSWER_TOKENS)


def _make_backend_headers(headers: Headers, request_id: str) -> Headers:
    return (
        *select_headers(headers),
        (b'host', b'backend'),
        (b'x-request-id', request_id.encode()),
    )
