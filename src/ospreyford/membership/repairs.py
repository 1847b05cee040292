"""Comparing views where their digests differ."""

from __future__ import annotations

from typing import Final

import msgspec

from ospreyford.membership.allowance import Allowance
from ospreyford.membership.digests import (
    Bucket,
    Record,
    identity_hash,
    version_hash,
)
from ospreyford.membership.exchanges import Exchanges
from ospreyford.membership.messages import (
    SYNC,
    Change,
    Description,
    MalformedMessage,
    SyncAnswer,
    SyncQuestion,
    decode,
    write_change,
)
from ospreyford.membership.tables import Tables
from ospreyford.ports.peers import PeerPort

#: What a question and its answer take besides their bodies, about; it also
#: bounds the number of empty ones.
_OVERHEAD_BYTES: Final = 100


class Repairs:
    """Fetches what this process lacks, at a bounded rate.

    Changes are passed on only so many times; who was cut off, paused or
    started since then finds by a digest that it lacks some.

    :param tables: the shared tables.
    :param exchanges: notes which buckets differ.
    :param peers: messages to other processes.
    """

    def __init__(
        self,
        tables: Tables,
        exchanges: Exchanges,
        peers: PeerPort,
    ) -> None:
        self._tables = tables
        self._exchanges = exchanges
        self._peers = peers
        settings = tables.settings
        self._allowance = Allowance(
            settings.sync_bytes,
            settings.sync_seconds,
            tables.clock,
        )

    def serve(self, peers: PeerPort) -> None:
        """Register the handler.

        :param peers: messages to other processes.
        """
        peers.serve(SYNC, self.answer)

    async def repair(self, until: float) -> None:
        """Repair buckets that differ, while bytes and time are left.

        :param until: when to begin no further one, by the monotonic clock;
            a bucket that is far away must not hold up the next probe.
        """
        # One bucket at a time would leave most of the bytes unused: in a
        # fleet just started a bucket holds a few members, and learning all
        # the others took minutes.
        while self._allowance.is_left():
            bucket = self._pick()
            if bucket is None or not await self._repair_one(bucket):
                return
            if self._tables.clock.monotonic() >= until:
                return

    async def answer(self, body: bytes) -> bytes | None:
        """Answer another's repair.

        :param body: the encoded question.
        :returns: the encoded answer.
        """
        try:
            question = decode(body, SyncQuestion)
        except MalformedMessage:
            self._tables.counters.malformed += 1
            return None
        answer = SyncAnswer([], [])
        left = self._tables.settings.sync_bytes
        bucket = Bucket(question.zone, question.bucket)
        for record in self._tables.view.digests.shared(bucket):
            entry = self._entry(record, question)
            if entry is not None and entry.size() <= left:
                left -= entry.size()
                _put(answer, entry)
        return msgspec.msgpack.encode(answer)

    async def _repair_one(self, bucket: Bucket) -> bool:
        self._tables.counters.repairs += 1
        member = self._exchanges.differing.pop(bucket)
        question = msgspec.msgpack.encode(self._question(bucket))
        answer = await self._peers.ask(
            member.peer_address,
            SYNC,
            question,
            self._tables.settings.probe_timeout,
        )
        self._allowance.use(_OVERHEAD_BYTES + len(question))
        if answer is None:
            return False
        self._allowance.use(len(answer))
        self._absorb(answer)
        return True

    def _pick(self) -> Bucket | None:
        buckets = self._exchanges.differing
        near = [
            bucket for bucket in buckets if bucket.zone == self._tables.zone
        ]
        choices = near or list(buckets)
        return self._tables.rng.choice(choices) if choices else None

    def _question(self, bucket: Bucket) -> SyncQuestion:
        shared = self._tables.view.digests.shared(bucket)
        return SyncQuestion(
            bucket.zone,
            bucket.number,
            {identity_hash(record): version_hash(record) for record in shared},
        )

    def _entry(
        self,
        record: Record,
        question: SyncQuestion,
    ) -> Change | Description | None:
        known = question.known.get(identity_hash(record))
        if known is None:
            return self._tables.describe(record)
        if known == version_hash(record):
            return None
        return write_change(record.member.name, record.version)

    def _absorb(self, body: bytes) -> None:
        try:
            self._take_over(decode(body, SyncAnswer))
        except MalformedMessage:
            self._tables.counters.malformed += 1

    def _take_over(self, answer: SyncAnswer) -> None:
        for description in answer.descriptions:
            self._tables.merge_description(description)
        for change in answer.changes:
            self._tables.view.merge(change.name, change.version())


def _put(answer: SyncAnswer, entry: Change | Description) -> None:
    match entry:
        case Change():
            answer.changes.append(entry)
        case Description():
            answer.descriptions.append(entry)
