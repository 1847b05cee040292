"""The weights in one rank's memory, and their reading from the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

from ospreyford.http.client import fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request, find_header
from ospreyford.ports.weights import Expert
from ospreyford.standins.process import LOOPBACK

READ_SECONDS = 5.0


@dataclass
class RankMemory:
    """Experts that are held and those that wait to be read, in order."""

    held: set[Expert] = field(default_factory=set)
    queue: list[Expert] = field(default_factory=list)
    refused: int = 0
    failed: int = 0
    retry_after: float = 0
    read_bytes: int = 0

    def enqueue(self, experts: Iterable[Expert]) -> None:
        """Begin to read experts.

        :param experts: which; those held or waiting are skipped.
        """
        for one in experts:
            if one not in self.held and one not in self.queue:
                self.queue.append(one)

    def drop(self, experts: Iterable[Expert]) -> None:
        """Free experts.

        :param experts: which.
        """
        self.held.difference_update(experts)

    def arrive(self, one: Expert, size: int) -> None:
        """Note that an expert has been read.

        :param one: the expert.
        :param size: its bytes.
        """
        self.queue = [each for each in self.queue if each != one]
        self.held.add(one)
        self.read_bytes += size

    def refuse(self, retry_after: float) -> None:
        """Note that the store put the reads off; the orders lapse.

        :param retry_after: seconds that the store asks to wait.
        """
        self.queue.clear()
        self.refused += 1
        self.retry_after = retry_after

    def fail(self) -> None:
        """Note that a read broke; the orders lapse."""
        self.queue.clear()
        self.failed += 1


@dataclass(frozen=True)
class StoreReader:
    """Reads experts one after the other from the weight store.

    :param port: the store's port; 0 for a store that answers at once.
    :param model: the model's name.
    :param note: called with each expert that has come, and its bytes.
    """

    port: int
    model: str
    note: Callable[[Expert, int], None]

    async def read_all(self, memory: RankMemory) -> None:
        """Read until nothing waits or the store doesn't answer.

        :param memory: what waits, and where it goes.
        """
        while memory.queue:
            await self._read(memory)

    async def _read(self, memory: RankMemory) -> None:
        one = memory.queue[0]
        if not self.port:
            self._take(memory, one, 0)
            return
        target = f'/v1/weights/{self.model}/{one.layer}-{one.expert}'
        try:
            head, body = await fetch(
                (LOOPBACK, self.port),
                Request('GET', target, ()),
                timeout=READ_SECONDS,
            )
        except HttpError:
            memory.fail()
            return
        if head.status == HTTPStatus.TOO_MANY_REQUESTS:
            memory.refuse(float(find_header(head.headers, b'retry-after') or 1))
        elif head.status == HTTPStatus.OK:
            self._take(memory, one, len(body))
        else:
            memory.fail()

    def _take(self, memory: RankMemory, one: Expert, size: int) -> None:
        memory.arrive(one, size)
        self.note(one, size)
