"""A plain service: the quotation desk and the order desk.

Every ``POST``, such as ``/quotes``, ``/orders`` or ``/invoice-lines``, is not
idempotent: each run is journalled under its path and gets its own serial
number. ``GET /rates/{name}`` always
answers the same. ``POST /control`` takes ``{"fault": {...}}`` or
``{"fault": null}`` (see :mod:`ospreyford.standins.faults`) and
``{"service_seconds": s}``.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import curio
import msgspec
import xxhash

from ospreyford.http.server import Exchange
from ospreyford.standins.faults import (
    AnyFault,
    FaultSwitch,
    respond_under,
    suffer,
)
from ospreyford.standins.journal import Journal
from ospreyford.standins.process import (
    find_route,
    read_header,
    read_options,
    refuse,
    respond_journal,
    respond_json,
    run,
)

RATE_RANGE = 10_000


@dataclass(frozen=True)
class PlainOptions:
    """Options of the plain service; ``name`` marks its answers."""

    port: int = 0
    name: str = 'plain'
    service_seconds: float = 0.002


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """The record that a call returns.

    :param serial: the run's number in the journal; each run has its own.
    :param kind: the path without its first slash, such as ``quotes``.
    :param service: the name of the service that ran it.
    :param request_id: the caller's request id, echoed.
    :param key: the caller's idempotency key, echoed.
    :param asked: the request's body, as text.
    """

    serial: int
    kind: str
    service: str
    request_id: str
    key: str
    asked: str


class Rate(msgspec.Struct, frozen=True, kw_only=True):
    """An extract of the rate table: a fixed answer for each name."""

    name: str
    rate: int


class Control(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /control``; fields left out stay as they are."""

    fault: AnyFault | None | msgspec.UnsetType = msgspec.UNSET
    service_seconds: float | msgspec.UnsetType = msgspec.UNSET


class PlainService:
    """The service's answers.

    :param options: the service's options.
    """

    def __init__(self, options: PlainOptions) -> None:
        self.journal = Journal()
        self._name = options.name
        self._service_seconds = options.service_seconds
        self._switch = FaultSwitch()

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request.

        :param exchange: the exchange to answer.
        """
        route = find_route(exchange.request)
        match (route.method, route.path):
            case ('POST', ('control',)):
                await self._control(exchange)
            case ('POST', (_, *_) as path):
                await self._run(exchange, '/'.join(path))
            case ('GET', ('rates', name)):
                await self._read_rate(exchange, name)
            case ('GET', ('journal',)):
                await respond_journal(exchange, self.journal)
            case _:
                await refuse(exchange, HTTPStatus.NOT_FOUND)

    async def _run(self, exchange: Exchange, kind: str) -> None:
        asked = (await exchange.read_body()).decode(errors='replace')
        fault = self._switch.take()
        await _strike(fault, before_run=True)
        await curio.sleep(self._service_seconds)
        request_id = read_header(exchange, b'x-request-id')
        key = read_header(exchange, b'idempotency-key')
        entry = self.journal.record(kind, request_id, key)
        record = Record(
            serial=entry.serial,
            kind=kind,
            service=self._name,
            request_id=request_id,
            key=key,
            asked=asked,
        )
        await _answer(fault, exchange, record)

    async def _read_rate(self, exchange: Exchange, name: str) -> None:
        fault = self._switch.take()
        await _strike(fault, before_run=True)
        await curio.sleep(self._service_seconds)
        request_id = read_header(exchange, b'x-request-id')
        self.journal.record('rates', request_id, name=name)
        await _answer(fault, exchange, make_rate(name))

    async def _control(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        control = msgspec.json.decode(body, type=Control)
        if control.fault is not msgspec.UNSET:
            self._switch.set(control.fault)
        if control.service_seconds is not msgspec.UNSET:
            self._service_seconds = control.service_seconds
        await respond_json(exchange, {})


def make_rate(name: str) -> Rate:
    """Make the fixed answer of a rate's name.

    :param name: the rate's name.
    :returns: the same rate in every process.
    """
    return Rate(
        name=name, rate=xxhash.xxh64_intdigest(name.encode()) % RATE_RANGE
    )


async def _strike(fault: AnyFault | None, *, before_run: bool) -> None:
    if fault is not None and fault.before_run == before_run:
        await suffer(fault)


async def _answer(
    fault: AnyFault | None, exchange: Exchange, message: Any
) -> None:
    await _strike(fault, before_run=False)
    await respond_under(fault, exchange, msgspec.json.encode(message))


def main() -> None:
    """Run the plain service."""
    options = read_options(PlainOptions)
    run(PlainService(options).serve, options.port)


if __name__ == '__main__':
    main()
