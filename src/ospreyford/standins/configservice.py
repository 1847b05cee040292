"""The platform's configuration service: read and watched, never written.

``GET /v1/documents`` lists the revision of each document, ``GET
/v1/documents/{name}`` gives a document's text with its revision in
``x-revision``, ``GET /v1/watch?after=REV&wait=SECONDS`` waits for changes.
``POST /control`` takes ``{"publish": {"name": n, "text": t}}``, ``{"delete":
n}`` and ``{"mode": "up" | "down" | "stale" | "flap"}``. ``GET /calls`` gives
the calls that were made under ``/v1``, in all and for each second.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Literal, NamedTuple

import curio
import msgspec

from ospreyford.http.server import Exchange
from ospreyford.standins.journal import Journal
from ospreyford.standins.process import (
    Route,
    find_route,
    read_options,
    refuse,
    respond_journal,
    respond_json,
    run,
)
from ospreyford.standins.store import DocumentStore

Mode = Literal['up', 'down', 'stale', 'flap']

MAX_DOCUMENT_BYTES = 1_048_576


@dataclass(frozen=True)
class ConfigOptions:
    """Options; ``documents`` is a directory of ``*.toml`` or empty."""

    port: int = 0
    documents: str = ''


class Publication(msgspec.Struct, frozen=True, kw_only=True):
    """A document to publish."""

    name: str
    text: str


class Control(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /control``; each field is a change of its own."""

    publish: Publication | None = None
    delete: str | None = None
    mode: Mode | None = None


class Calls(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET /calls``: calls in all and for each monotonic second."""

    total: int
    per_second: dict[int, int]


class Watch(NamedTuple):
    """What a watch asks for: changes after a revision, within seconds."""

    after: int
    wait: float


def parse_watch(query: dict[str, str]) -> Watch:
    """Read the query fields of a watch.

    :param query: the fields of the request's target.
    :returns: the watch; fields left out are 0.
    :raises msgspec.ValidationError: a field is no number.
    """
    return msgspec.convert(
        (query.get('after', '0'), query.get('wait', '0')),
        Watch,
        strict=False,
    )


class ConfigService:
    """The service, its replicas and its call log.

    In mode ``stale`` it serves a replica frozen at the moment the mode was
    set; in ``flap`` each call meets the frozen replica and the live one in
    turn. Publishing goes on to the live one.

    :param options: the service's options.
    """

    def __init__(self, options: ConfigOptions) -> None:
        self._live = DocumentStore()
        self._frozen = self._live.copy()
        self._mode: Mode = 'up'
        self._changed = curio.Condition()
        self._journal = Journal()
        self._calls: Counter[int] = Counter()
        if options.documents:
            for path in sorted(Path(options.documents).glob('*.toml')):
                self._live.publish(path.stem, path.read_text())

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request.

        :param exchange: the exchange to answer.
        """
        route = find_route(exchange.request)
        match (route.method, route.path):
            case ('GET', ('v1', *_)):
                await self._serve_reader(exchange, route)
            case ('POST', ('control',)):
                await self._control(exchange)
            case ('GET', ('calls',)):
                await respond_json(exchange, self._count_calls())
            case ('GET', ('journal',)):
                await respond_journal(exchange, self._journal)
            case _:
                await refuse(exchange, HTTPStatus.NOT_FOUND)

    async def _serve_reader(self, exchange: Exchange, route: Route) -> None:
        self._calls[int(time.monotonic())] += 1
        if self._mode == 'down':
            await refuse(exchange, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        match route.path:
            case ('v1', 'documents'):
                await respond_json(exchange, self._pick_replica().index())
            case ('v1', 'documents', name):
                await self._read(exchange, name)
            case ('v1', 'watch'):
                await self._watch(exchange, parse_watch(route.query))
            case _:
                await refuse(exchange, HTTPStatus.NOT_FOUND)

    async def _read(self, exchange: Exchange, name: str) -> None:
        document = self._pick_replica().find(name)
        if document is None:
            await refuse(exchange, HTTPStatus.NOT_FOUND)
            return
        revision = (b'x-revision', str(document.revision).encode())
        await exchange.respond(
            HTTPStatus.OK, document.text.encode(), (revision,)
        )

    async def _watch(self, exchange: Exchange, watch: Watch) -> None:
        mode = self._mode
        replica = self._pick_replica()
        if replica.revision <= watch.after:
            await curio.ignore_after(
                watch.wait, self._wait_for_change(replica, watch.after)
            )
        # A watch that began before the mode changed would otherwise leak
        # what the reader isn't meant to see any more.
        if self._mode != mode:
            replica = self._pick_replica()
        if self._mode == 'down':
            await refuse(exchange, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        await respond_json(exchange, replica.changes_after(watch.after))

    async def _wait_for_change(
        self, replica: DocumentStore, after: int
    ) -> None:
        mode = self._mode
        async with self._changed:
            while replica.revision <= after and self._mode == mode:
                await self._changed.wait()

    async def _control(self, exchange: Exchange) -> None:
        body = await exchange.read_body()
        control = msgspec.json.decode(body, type=Control)
        publication = control.publish
        if publication:
            if len(publication.text.encode()) > MAX_DOCUMENT_BYTES:
                await refuse(exchange, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                return
            self._live.publish(publication.name, publication.text)
            self._record('publish', publication.name)
        if control.delete and self._live.delete(control.delete):
            self._record('delete', control.delete)
        if control.mode:
            self._set_mode(control.mode)
        async with self._changed:
            await self._changed.notify_all()
        await respond_json(exchange, {'revision': self._live.revision})

    def _set_mode(self, mode: Mode) -> None:
        # From stale to flap the replica stays as old as it was.
        if mode in {'stale', 'flap'} and self._mode in {'up', 'down'}:
            self._frozen = self._live.copy()
        self._mode = mode
        self._record('mode', mode)

    def _pick_replica(self) -> DocumentStore:
        match self._mode:
            case 'stale':
                return self._frozen
            case 'flap':
                odd = self._calls.total() % 2
                return self._frozen if odd else self._live
            case _:
                return self._live

    def _count_calls(self) -> Calls:
        return Calls(total=self._calls.total(), per_second=dict(self._calls))

    def _record(self, event: str, name: str) -> None:
        self._journal.record(event, name=name, revision=self._live.revision)


def main() -> None:
    """Run the configuration service."""
    options = read_options(ConfigOptions)
    run(ConfigService(options).serve, options.port)


if __name__ == '__main__':
    main()
