"""A fleet on a fake network in fake time: real code, one Python process."""

from __future__ import annotations

import heapq
import types
from collections import Counter
from collections.abc import Coroutine, Generator, Sequence
from random import Random
from typing import Any, NamedTuple

from ospreyford.distribution.service import (
    Change,
    Changes,
    DocumentText,
    ListedDocument,
    Listing,
    ServiceUnavailable,
)
from ospreyford.ports.peers import Handler

#: Bytes of a ZeroMQ frame's envelope, TCP and IP, there and back.
MESSAGE_OVERHEAD_BYTES = 120
ONE_WAY_SECONDS = 0.0015
SERVICE_SECONDS = 0.004

_Task = Coroutine[Any, Any, Any]


class Wait(NamedTuple):
    """What a coroutine yields: go on at a moment, with a value."""

    at: float
    answer: Any


@types.coroutine
def _pause(at: float, answer: Any = None) -> Generator[Wait, Any, Any]:
    return (yield Wait(at, answer))


class FleetMember(NamedTuple):
    """A process of the model."""

    name: str
    peer_address: str
    zone: str


class Kernel:
    """Runs coroutines by fake time; also the clock of all of them."""

    def __init__(self) -> None:
        self.now = float(0)
        self._queue: list[tuple[float, int, _Task, Any]] = []
        self._count = 0

    def monotonic(self) -> float:
        """Read fake time.

        :returns: seconds since the start.
        """
        return self.now

    def wall(self) -> float:
        """Read fake time.

        :returns: seconds since the start.
        """
        return self.now

    async def sleep(self, seconds: float) -> None:
        """Wait in fake time.

        :param seconds: how long.
        """
        await _pause(self.now + seconds)

    def spawn(self, task: _Task) -> None:
        """Start a coroutine.

        :param task: what to run.
        """
        self._push(self.now, task, None)

    def run_until(self, end: float) -> None:
        """Run everything due.

        :param end: fake time at which to stop.
        """
        while self._queue and self._queue[0][0] <= end:
            at, _, task, answer = heapq.heappop(self._queue)
            self.now = at
            try:
                wait = task.send(answer)
            except StopIteration:
                continue
            self._push(wait.at, task, wait.answer)
        self.now = end

    def _push(self, at: float, task: _Task, answer: Any) -> None:
        self._count += 1
        heapq.heappush(self._queue, (at, self._count, task, answer))


class Network:
    """Carries questions between the processes and counts their bytes.

    :param kernel: fake time.
    :param rng: for loss.
    """

    def __init__(self, kernel: Kernel, rng: Random) -> None:
        self.kernel = kernel
        self.loss = float(0)
        self.silent: set[str] = set()
        self.sent: Counter[str] = Counter()
        self.messages = 0
        self.handlers: dict[str, dict[str, Handler]] = {}
        self._rng = rng

    def reaches(self, address: str) -> bool:
        """Tell whether a message arrives.

        :param address: where it goes.
        :returns: ``False`` when lost or the peer is silent.
        """
        return address not in self.silent and self._rng.random() >= self.loss


class Port:
    """One process's end of the network.

    :param network: the network.
    :param address: the process's address.
    """

    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address
        network.handlers[address] = {}

    def serve(self, topic: str, handler: Handler) -> None:
        """Register the handler of a topic.

        :param topic: the topic's name.
        :param handler: called for each question.
        """
        self._network.handlers[self._address][topic] = handler

    async def ask(
        self, address: str, topic: str, body: bytes, timeout: float
    ) -> bytes | None:
        """Ask a peer in fake time.

        :param address: the peer.
        :param topic: its handler.
        :param body: the question.
        :param timeout: seconds.
        :returns: the answer, ``None`` on silence.
        """
        network = self._network
        now = network.kernel.now
        self._count(self._address, body)
        if not network.reaches(address):
            await _pause(now + timeout)
            return None
        await _pause(now + ONE_WAY_SECONDS)
        answer = await network.handlers[address][topic](body)
        self._count(address, answer or b'')
        await _pause(network.kernel.now + ONE_WAY_SECONDS)
        return answer

    def _count(self, address: str, body: bytes) -> None:
        self._network.messages += 1
        self._network.sent[address] += len(body) + MESSAGE_OVERHEAD_BYTES


class ModelService:
    """The configuration service in fake time, counting its calls.

    :param kernel: fake time.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.calls = 0
        self.up = True
        self.revision = 0
        self._kernel = kernel
        self._documents: dict[str, DocumentText] = {}

    def publish(self, name: str, text: bytes) -> None:
        """Publish a document.

        :param name: its name.
        :param text: its text.
        """
        self.revision += 1
        self._documents[name] = DocumentText(revision=self.revision, text=text)

    async def list_documents(self) -> Listing:
        """List all documents.

        :returns: their revisions.
        """
        await self._answer()
        documents = {
            name: ListedDocument(revision=one.revision)
            for name, one in self._documents.items()
        }
        return Listing(revision=self.revision, documents=documents)

    async def read_document(self, name: str) -> DocumentText:
        """Read one document.

        :param name: its name.
        :returns: its text.
        """
        await self._answer()
        return self._documents[name]

    async def watch(self, after: int, wait: float) -> Changes:
        """Wait for changes.

        :param after: the revision to wait behind.
        :param wait: seconds.
        :returns: the changes.
        """
        end = self._kernel.now + wait
        await self._answer()
        while self.revision <= after and self._kernel.now < end:
            await self._kernel.sleep(SERVICE_SECONDS * 10)
        changes = tuple(self._changes_after(after))
        return Changes(revision=self.revision, changes=changes)

    def _changes_after(self, after: int) -> Sequence[Change]:
        return [
            Change(name=name, revision=one.revision)
            for name, one in self._documents.items()
            if one.revision > after
        ]

    async def _answer(self) -> None:
        self.calls += 1
        await self._kernel.sleep(SERVICE_SECONDS)
        if not self.up:
            raise ServiceUnavailable
