"""Port of an entry for operators: its state, metrics, suspected requests."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING, Final, NamedTuple
from urllib.parse import parse_qsl, urlsplit

import curio
import msgspec

from ospreyford.direct.zonereport import list_zones
from ospreyford.http.server import listen
from ospreyford.observability.exposition import CONTENT_TYPE, accept

if TYPE_CHECKING:
    from ospreyford.direct.context import EntryContext
    from ospreyford.http.server import Exchange
    from ospreyford.suspects.suspect import Suspect

JSON_TYPE: Final = (b'content-type', b'application/json')
STATUS_PATH: Final = '/status'
SUSPECTS_PATH: Final = '/suspects'
LIFT_PATH: Final = '/suspects/lift'


class SuspectRow(NamedTuple):
    """A suspect, as shown to operators.

    :param identity: its identity, as hexadecimal digits.
    :param customer: name of the request's customer; empty for a prompt part.
    :param path: beginning of its path, or id of the prompt part.
    :param state: ``blocked``, ``suspected`` or ``cleared``.
    :param crashes: crashes that it is suspected of.
    :param limit: crashes at which it is blocked.
    :param age_seconds: time since the latest of them, or since they were
        cleared.
    """

    identity: str
    customer: str
    path: str
    state: str
    crashes: int
    limit: int
    age_seconds: float


class OperatorPort:
    """Serves state, metrics and suspected requests, and lifts a block.

    :param context: shared state of the entry.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    async def start(self, host: str, port: int) -> None:
        """Serve in a task of its own until the process ends.

        :param host: IP address to listen on.
        :param port: the port.
        :raises OSError: the address is in use.
        """
        sock = listen(host, port)
        await curio.spawn(accept, sock, self._answer, daemon=True)

    def describe_status(self) -> dict[str, object]:
        """Describe the state of the entry.

        :returns: the entry, what it knows of the store, and a row for each
            zone.
        """
        context = self._context
        now = time.monotonic()
        return {
            'entry': context.settings.name,
            'zone': context.settings.zone,
            'ready': context.is_ready(),
            'version': context.get_version(),
            'state_age_ms': context.compute_state_age_ms(),
            'zones': [row._asdict() for row in list_zones(context, now)],
        }

    def list_suspects(self) -> list[SuspectRow]:
        """List the suspected requests.

        :returns: one row each, those with the most crashes first.
        """
        now = time.monotonic()
        suspects = self._context.suspects
        suspects.table.expire(now)
        blamed = suspects.decisions.find_blamed()
        rows = [
            make_row(suspect, suspect.identity in blamed, now)
            for suspect in suspects.table.list_all()
        ]
        return sorted(rows, key=_get_crashes, reverse=True)

    async def _answer(self, exchange: Exchange) -> None:
        target = urlsplit(exchange.request.target)
        match exchange.request.method, target.path:
            case 'GET', path if path == STATUS_PATH:
                shown = self.describe_status()
                await _respond(exchange, HTTPStatus.OK, shown)
            case 'GET', path if path == SUSPECTS_PATH:
                await _respond(exchange, HTTPStatus.OK, self.list_suspects())
            case 'POST', path if path == LIFT_PATH:
                query = dict(parse_qsl(target.query))
                await self._lift(exchange, query.get('identity', ''))
            case 'GET', _:
                await exchange.respond(
                    HTTPStatus.OK, self._render_metrics(), (CONTENT_TYPE,)
                )
            case _:
                detail = {'detail': f'only POST {LIFT_PATH} and GET'}
                await _respond(exchange, HTTPStatus.METHOD_NOT_ALLOWED, detail)

    async def _lift(self, exchange: Exchange, digits: str) -> None:
        try:
            identity = bytes.fromhex(digits)
        except ValueError:
            detail = {'detail': f'identity: not hexadecimal digits: {digits}'}
            await _respond(exchange, HTTPStatus.BAD_REQUEST, detail)
            return
        if self._context.suspects.clear(identity, 'lifted', time.monotonic()):
            await _respond(exchange, HTTPStatus.OK, {'lifted': digits})
            return
        shown = digits or '(missing)'
        detail = {'detail': f'not suspected here: {shown}'}
        await _respond(exchange, HTTPStatus.NOT_FOUND, detail)

    def _render_metrics(self) -> bytes:
        context = self._context
        context.metrics.state_age.set(context.freshness.compute_age() or 0)
        context.metrics.show_zones(list_zones(context, time.monotonic()))
        return context.metrics.render()


def make_row(suspect: Suspect, is_blocked: bool, now: float) -> SuspectRow:
    """Describe a suspect.

    :param suspect: the request or prompt part.
    :param is_blocked: whether it is blocked.
    :param now: seconds on the monotonic clock.
    :returns: its row.
    """
    active = suspect.list_active()
    state = 'suspected' if active else 'cleared'
    latest = max(one.changed_at for one in suspect.strikes.values())
    return SuspectRow(
        suspect.identity.hex(),
        suspect.customer,
        suspect.path,
        'blocked' if is_blocked else state,
        len(active),
        suspect.limit,
        round(now - latest, 1),
    )


async def _respond(exchange: Exchange, status: int, shown: object) -> None:
    if isinstance(shown, list):
        shown = [row._asdict() for row in shown]
    await exchange.respond(status, msgspec.json.encode(shown), (JSON_TYPE,))


def _get_crashes(row: SuspectRow) -> int:
    return row.crashes
