"""Continuous batching: every running request advances once a step."""

from __future__ import annotations

import heapq
import math
import time
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

import curio
import msgspec
import xxhash

from ospreyford.standins.journal import Journal
from ospreyford.standins.load import Load, LoadHistory
from ospreyford.standins.prefixes import PrefixCache, count_tokens

#: Prompt tokens that one step reads, for each request of the batch.
PREFILL_TOKENS = 512

MS_PER_SECOND = 1_000


@dataclass(frozen=True)
class EngineOptions:
    """Options of the model engine; all but the first two may change.

    ``event_gap`` loses every n-th cache event (0: none). ``stalled`` stops
    the steps, so that nothing answers. ``cut_after_tokens`` closes the
    connection of each request after so many tokens (-1: none).
    """

    port: int = 0
    name: str = 'engine'
    step_ms: float = 5
    batch_size: int = 16
    max_queue: int = 1_024
    cache_tokens: int = 100_000
    load_lag_seconds: float = 0
    event_lag_seconds: float = 0
    event_gap: int = 0
    honour_fencing: bool = True
    stalled: bool = False
    cut_after_tokens: int = -1


class Outcome(StrEnum):
    """How a request stands in the engine."""

    queued = 'queued'
    running = 'running'
    finished = 'finished'
    cancelled = 'cancelled'


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/completions``.

    :param prompt: the prompt's text, after the prefix.
    :param max_tokens: tokens to generate.
    :param token_chars: the least length of each token.
    :param prefix: the part of the prompt that other requests share.
    :param stream: always true; the engine knows no other way to answer.
    """

    prompt: str
    max_tokens: int
    token_chars: int = 0
    prefix: str = ''
    stream: bool = True


def make_token(request_id: str, completion: Completion, index: int) -> str:
    """Make the token that a request gets at an index.

    :param request_id: the request's id.
    :param completion: what was asked.
    :param index: position in the answer, from 0.
    :returns: a token that no other request is given.
    """
    asked = (request_id, completion.prefix, completion.prompt, index)
    digest = xxhash.xxh64_hexdigest(msgspec.json.encode(asked))
    return digest.ljust(completion.token_chars, '.')


@dataclass(eq=False)
class Running:
    """One request in the engine; ``ready`` is set when it has news."""

    request_id: str
    key: str
    completion: Completion
    outcome: Outcome = Outcome.queued
    prefix_hit: bool = False
    prefill_steps: int = 0
    tokens: int = 0
    ready: curio.Event = field(default_factory=curio.Event)

    def __post_init__(self) -> None:
        self.prefix_tokens = count_tokens(self.completion.prefix)
        self.prompt_tokens = count_tokens(self.completion.prompt)

    @property
    def is_over(self) -> bool:
        """Whether no further token will come."""
        return self.outcome in {Outcome.finished, Outcome.cancelled}

    def admit(self, *, prefix_hit: bool) -> None:
        """Enter the batch.

        :param prefix_hit: the prefix is cached, which saves prefill steps.
        """
        self.outcome = Outcome.running
        self.prefix_hit = prefix_hit
        cached = self.prefix_tokens if prefix_hit else 0
        unread = self.prefix_tokens + self.prompt_tokens - cached
        self.prefill_steps = math.ceil(unread / PREFILL_TOKENS)

    def advance(self) -> None:
        """Take one step: read more of the prompt, or make a token."""
        if self.prefill_steps:
            self.prefill_steps -= 1
        else:
            self.tokens += 1
        if self.tokens >= self.completion.max_tokens:
            self.outcome = Outcome.finished


class _Queued(NamedTuple):
    rank: int
    serial: int
    request: Running


class Batch:
    """The running requests and those that wait for a place.

    :param options: the engine's options; they may change at any time.
    :param journal: where each request's outcome is recorded.
    """

    def __init__(self, options: EngineOptions, journal: Journal) -> None:
        self.options = options
        self.cache = PrefixCache(options.cache_tokens)
        self.load = LoadHistory()
        self._journal = journal
        self._queue: list[_Queued] = []
        self._running: list[Running] = []
        self._serial = 0
        self._step_seconds = float(0)
        self._work = curio.Event()

    @property
    def is_full(self) -> bool:
        """Whether the queue takes no more requests."""
        return len(self._queue) >= self.options.max_queue

    async def add(self, request: Running, priority: int) -> None:
        """Queue a request.

        :param request: the request.
        :param priority: higher numbers are served first.
        """
        self._serial += 1
        heapq.heappush(self._queue, _Queued(-priority, self._serial, request))
        self._record(request)
        self._sample()
        await self._work.set()

    async def cancel(self, requests: Iterable[Running]) -> int:
        """End requests, queued or running.

        :param requests: the requests; those already over stay as they are.
        :returns: how many were ended.
        """
        ended = [request for request in requests if not request.is_over]
        if not ended:
            return 0
        for request in ended:
            request.outcome = Outcome.cancelled
            self._record(request)
        self._queue = [
            entry for entry in self._queue if not entry.request.is_over
        ]
        heapq.heapify(self._queue)
        self._forget_ended()
        await _wake(ended)
        return len(ended)

    def find(self, request_id: str) -> list[Running]:
        """Find the requests of an id.

        :param request_id: the id; several copies may be there.
        :returns: the requests, queued and running.
        """
        queued = (entry.request for entry in self._queue)
        return [
            request
            for request in (*queued, *self._running)
            if request.request_id == request_id
        ]

    async def work(self) -> None:
        """Take one step after the other while there is work."""
        while True:
            if not (self._queue or self._running):
                self._work.clear()
            await self._work.wait()
            begun = time.monotonic()
            await curio.sleep(self.options.step_ms / MS_PER_SECOND)
            if not self.options.stalled:
                await self._step()
                self._step_seconds = time.monotonic() - begun

    async def _step(self) -> None:
        admitted = self._admit()
        advanced = list(self._running)
        for request in advanced:
            request.advance()
            if request.is_over:
                self._record(request)
        self._forget_ended()
        await _wake((*admitted, *advanced))

    def _admit(self) -> list[Running]:
        admitted: list[Running] = []
        while self._queue and len(self._running) < self.options.batch_size:
            request = heapq.heappop(self._queue).request
            request.admit(
                prefix_hit=self.cache.touch(request.completion.prefix)
            )
            self._record(request)
            self._running.append(request)
            admitted.append(request)
        return admitted

    def _forget_ended(self) -> None:
        self._running = [
            request for request in self._running if not request.is_over
        ]
        self._sample()

    def _sample(self) -> None:
        load = Load(
            in_flight=len(self._running),
            queued=len(self._queue),
            queued_tokens=sum(
                entry.request.prefix_tokens + entry.request.prompt_tokens
                for entry in self._queue
            ),
            step_seconds=self._step_seconds,
            free_cache_ratio=self.cache.free_ratio,
        )
        self.load.append(load, self.options.load_lag_seconds)

    def _record(self, request: Running) -> None:
        self._journal.record(
            request.outcome,
            request.request_id,
            request.key,
            tokens=request.tokens,
            prefix_hit=request.prefix_hit,
        )


async def _wake(requests: Iterable[Running]) -> None:
    waiting = deque(requests)
    while waiting:
        await waiting.popleft().ready.set()
