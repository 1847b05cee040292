"""Faults that a test sets in a service, and answers that suffer them."""

from __future__ import annotations

from http import HTTPStatus

import curio
import msgspec

from ospreyford.http.errors import ConnectionLost
from ospreyford.http.server import Exchange
from ospreyford.standins.process import JSON_TYPE

FOREVER = 86_400
SLOW_PIECE_BYTES = 16


class Fault(msgspec.Struct, frozen=True, kw_only=True, tag_field='type'):
    """Base of the faults.

    :param before_run: the fault strikes before the call has run; otherwise
        after it has run and was journalled.
    :param times: how many requests it strikes; 0 strikes all.
    """

    before_run: bool = False
    times: int = 0


class Delay(Fault, frozen=True, kw_only=True, tag='delay'):
    """The answer comes ``seconds`` late."""

    seconds: float


class Hang(Fault, frozen=True, kw_only=True, tag='hang'):
    """No answer ever comes; the connection stays open."""


class Close(Fault, frozen=True, kw_only=True, tag='close'):
    """The connection ends without an answer."""


class Cut(Fault, frozen=True, kw_only=True, tag='cut'):
    """The connection ends after ``after_bytes`` bytes of the body."""

    after_bytes: int


class Slow(Fault, frozen=True, kw_only=True, tag='slow'):
    """The body comes in small pieces, ``seconds`` apart."""

    seconds: float


AnyFault = Delay | Hang | Close | Cut | Slow


class FaultSwitch:
    """The fault in force now, if any."""

    def __init__(self) -> None:
        self._fault: AnyFault | None = None
        self._left = 0

    def set(self, fault: AnyFault | None) -> None:
        """Put a fault in force, or none.

        :param fault: the fault, or ``None`` for a healthy service.
        """
        self._fault = fault
        self._left = fault.times if fault else 0

    def take(self) -> AnyFault | None:
        """Tell which fault strikes the next request, and count it.

        :returns: the fault, or ``None``.
        """
        fault = self._fault
        if self._left:
            self._left -= 1
            if not self._left:
                self._fault = None
        return fault


async def suffer(fault: AnyFault | None) -> None:
    """Suffer the part of a fault that comes before the answer's head.

    :param fault: the fault, or ``None``.
    :raises ConnectionLost: the connection is to be closed now.
    """
    match fault:
        case Delay(seconds=seconds):
            await curio.sleep(seconds)
        case Hang():
            await curio.sleep(FOREVER)
            raise ConnectionLost
        case Close():
            raise ConnectionLost
        case _:
            return


async def respond_under(
    fault: AnyFault | None,
    exchange: Exchange,
    body: bytes,
) -> None:
    """Send a whole JSON answer, or what the fault leaves of it.

    :param fault: the fault, or ``None``.
    :param exchange: the exchange to answer.
    :param body: the answer's encoded body.
    :raises ConnectionLost: the answer was cut.
    """
    length = (b'content-length', str(len(body)).encode())
    await exchange.start(HTTPStatus.OK, (JSON_TYPE, length))
    match fault:
        case Cut(after_bytes=after_bytes):
            await exchange.write(body[:after_bytes])
            raise ConnectionLost
        case Slow(seconds=seconds):
            await _write_slowly(exchange, body, seconds)
        case _:
            await exchange.write(body)
    await exchange.finish()


async def _write_slowly(
    exchange: Exchange, body: bytes, seconds: float
) -> None:
    rest = body
    while rest:
        await exchange.write(rest[:SLOW_PIECE_BYTES])
        rest = rest[SLOW_PIECE_BYTES:]
        await curio.sleep(seconds)
