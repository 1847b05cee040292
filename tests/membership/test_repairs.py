from __future__ import annotations

from typing import Any

import pytest

from ospreyford.membership.digests import bucket_of
from ospreyford.membership.exchanges import Exchanges
from ospreyford.membership.member import Version
from ospreyford.membership.messages import Change, Exchange
from ospreyford.membership.repairs import Repairs
from ospreyford.membership.tables import Tables
from tests.fakes.stepping import Stepper
from tests.membership.test_parts import HandClock, member, tables_of

FOREVER = float('inf')


class Line:
    """Hands questions to one process's repairs and counts the bytes."""

    def __init__(self, asked: Tables) -> None:
        self.bytes = 0
        self.is_cut = False
        port: Any = self
        self._handlers: dict[str, Any] = {}
        Repairs(asked, Exchanges(asked), port).serve(port)

    def serve(self, topic: str, handler: Any) -> None:
        self._handlers[topic] = handler

    async def ask(
        self, _address: str, topic: str, body: bytes, _timeout: float
    ) -> bytes | None:
        self.bytes += len(body)
        if self.is_cut:
            return None
        answer: bytes = await self._handlers[topic](body)
        self.bytes += len(answer)
        return answer


class Asker:
    """A process that knows nobody, and one that knows everybody."""

    def __init__(self, count: int) -> None:
        self.clock = HandClock()
        self.old = tables_of(self.clock, count)
        self.line = Line(self.old)
        self.tables = tables_of(self.clock, 0)
        self.exchanges = Exchanges(self.tables)
        port: Any = self.line
        self.repairs = Repairs(self.tables, self.exchanges, port)

    def repair(self, until: float = FOREVER) -> None:
        task = Stepper().spawn('repair', self.repairs.repair(until))
        assert task.done

    def differ(self) -> None:
        """Note all buckets, as probes would."""
        for record in self.old.view:
            bucket = bucket_of(record.member)
            self.exchanges.differing[bucket] = record.member


@pytest.mark.parametrize('count', [1, 30, 900])
def test_any_message_of_a_zone_shows_what_differs(count: int) -> None:
    """Symptom: a member lacks a change for minutes after all others.

    Sequence: the change was passed on as often as allowed before this member
    heard it; from now on only digests can tell.
    Cause: a message compared one bucket in a hundred.
    """
    asker = Asker(count)
    for record in asker.old.view:
        asker.tables.view.merge(
            record.member.name, record.version, record.member
        )
    asker.old.view.merge('h0', Version('2'), member('h0', incarnation='2'))
    message = Exchange(
        sender=Change('h0', '1', 0, 0),
        about=None,
        introduction=None,
        changes=[],
        descriptions=[],
        zone='a',
        digest=asker.old.view.digests.digest('a'),
        attached=[],
    )
    asker.exchanges.absorb(message)
    asker.repair()
    found = asker.tables.view.find('h0')
    assert found is not None
    assert found.version == Version('2')
    assert asker.tables.counters.repairs == 1
    assert asker.line.bytes < asker.tables.settings.sync_bytes


@pytest.mark.parametrize('count', [30, 300, 900])
def test_repairs_use_their_bytes_and_no_more(count: int) -> None:
    """Symptom: minutes after a start most members are not known yet.

    Sequence: a process starts in a fleet with few members in every bucket.
    Cause: one bucket compared in two seconds, however few its bytes.
    """
    asker = Asker(count)
    settings = asker.tables.settings
    calls = 0
    while len(asker.tables.view) < len(asker.old.view):
        asker.differ()
        asker.repair()
        calls += 1
        # The last answer may go beyond what was left.
        assert asker.line.bytes <= settings.sync_bytes * (calls + 1)
        asker.clock.now += settings.sync_seconds
    # 100 bytes are reckoned for each question and answer.
    used = asker.line.bytes + 100 * asker.tables.counters.repairs
    assert calls <= used / settings.sync_bytes + 1


def test_repairs_end_with_time_and_with_silence() -> None:
    """Symptom: the next probe is late, and members look silent.

    Sequence: many buckets differ from a member that is far away, or gone.
    Cause: questions one after the other without regard to the period.
    """
    asker = Asker(300)
    asker.differ()
    asker.repair(until=asker.clock.now)
    assert asker.tables.counters.repairs == 1
    asker.line.is_cut = True
    asker.repair()
    assert asker.tables.counters.repairs == 2
