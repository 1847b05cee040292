"""A back end in memory whose journal is the referee."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field

import curio

from ospreyford.http.errors import ConnectionLost, ConnectionRefused
from ospreyford.http.message import Request, Response, find_header
from ospreyford.ports.fleet import LoadReport

PIECES = 5


def expected_body(tag: bytes) -> bytes:
    """Tell the one right answer to a request with this body."""
    return b''.join(make_piece(tag, number) for number in range(PIECES))


def make_piece(tag: bytes, number: int) -> bytes:
    """Make one piece of the answer."""
    return b'%b:%d\n' % (tag, number)


@dataclass
class FakeBackend:
    """Runs each request once for each time that it is sent."""

    journal: Counter[bytes] = field(default_factory=Counter)
    refuse: bool = False
    die_after: int | None = None
    gap: float = 0.005

    async def open(self, *, reuse: bool) -> FakeCall:
        if self.refuse:
            raise ConnectionRefused
        return FakeCall(self)

    async def read_load(self) -> LoadReport | None:
        return LoadReport(incarnation='')


class FakeCall:
    """One call to the fake back end."""

    def __init__(self, backend: FakeBackend) -> None:
        self.backend = backend
        self.tag = b''

    async def send(self, request: Request, body: bytes) -> None:
        assert find_header(request.headers, b'x-request-id')
        self.tag = body
        self.backend.journal[body] += 1

    async def read_head(self) -> Response:
        await curio.sleep(self.backend.gap)
        if self.backend.die_after == 0:
            raise ConnectionLost
        return Response(200, ((b'content-type', b'text/plain'),))

    async def read_pieces(self) -> AsyncGenerator[bytes, None]:
        for number in range(PIECES):
            if self.backend.die_after == number + 1:
                raise ConnectionLost
            await curio.sleep(self.backend.gap)
            yield make_piece(self.tag, number)

    async def finish(self, *, whole: bool) -> None:
        """Nothing to give back."""
