"""Asking the zone's readers for single listings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from ospreyford.hosts.messages import (
    TOPIC,
    HostAnswer,
    HostQuestion,
    decode,
)
from ospreyford.hosts.reader import JITTER, READERS, TERM_SECONDS

if TYPE_CHECKING:
    import random

    from ospreyford.distribution.members import Neighbours
    from ospreyford.hosts.known import KnownHosts
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.peers import PeerPort

ASK_SECONDS: Final = 0.5
#: Listings in one question; an answer to as many is about 4 KB.
MOST_ASKED: Final = 16
LEAST_WAIT: Final = 2.0
MOST_WAIT: Final = 30.0


class HostExchange:
    """Asks for the listings that this process needs and lacks, and answers.

    :param known: the hosts.
    :param neighbours: chooses the readers.
    :param peers: questions and answers between processes.
    :param clock: source of time.
    :param rng: random numbers.
    """

    def __init__(
        self,
        known: KnownHosts,
        neighbours: Neighbours,
        peers: PeerPort,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._known = known
        self._neighbours = neighbours
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._wait = LEAST_WAIT
        self._questions: list[HostQuestion] = []
        peers.serve(TOPIC, self.answer)

    async def run(self) -> None:
        """Ask for ever."""
        while True:
            await self.step()

    async def step(self) -> None:
        """Ask one reader, if there is anything to ask, and rest."""
        before = self._questions
        self._questions = self._known.questions()
        is_new = await self._ask() or self._questions != before
        # A dead host that is still listed is asked about again and again,
        # and nothing comes of it until the platform drops it.
        self._wait = LEAST_WAIT if is_new else min(2 * self._wait, MOST_WAIT)
        if not self._questions:
            self._wait = LEAST_WAIT
        spread = 1 + JITTER * (2 * self._rng.random() - 1)
        await self._clock.sleep(self._wait * spread)

    async def answer(self, body: bytes) -> bytes | None:
        """Answer another process.

        :param body: the questions, encoded.
        :returns: the answer, encoded; none to what is no question.
        """
        questions = decode(body, tuple[HostQuestion, ...])
        if questions is None:
            return None
        now = self._clock.monotonic()
        told = self._known.answer(questions[:MOST_ASKED], now)
        return msgspec.msgpack.encode(told)

    async def _ask(self) -> bool:
        # The readers of the last term have read; those of this one may not.
        term = int(self._clock.wall() // TERM_SECONDS) - 1
        readers = self._neighbours.readers(READERS, term)
        if not readers or not self._questions:
            return False
        size = min(MOST_ASKED, len(self._questions))
        asked = tuple(self._rng.sample(self._questions, size))
        body = await self._peers.ask(
            self._rng.choice(readers),
            TOPIC,
            msgspec.msgpack.encode(asked),
            ASK_SECONDS,
        )
        answer = None if body is None else decode(body, HostAnswer)
        return answer is not None and self._known.note_answer(asked, answer)
