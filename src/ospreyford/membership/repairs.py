"""Comparing views where their digests differ."""

from __future__ import annotations

import msgspec

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
        self._done_at = float('-inf')

    def serve(self, peers: PeerPort) -> None:
        """Register the handler.

        :param peers: messages to other processes.
        """
        peers.serve(SYNC, self.answer)

    async def repair(self) -> None:
        """Repair one bucket if one differs and the last repair is past."""
        settings = self._tables.settings
        now = self._tables.clock.monotonic()
        if now - self._done_at < settings.sync_seconds:
            return
        bucket = self._pick()
        if bucket is None:
            return
        self._done_at = now
        self._tables.counters.repairs += 1
        member = self._exchanges.differing.pop(bucket)
        answer = await self._peers.ask(
            member.peer_address,
            SYNC,
            msgspec.msgpack.encode(self._question(bucket)),
            settings.probe_timeout,
        )
        if answer is not None:
            self._absorb(answer)

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
