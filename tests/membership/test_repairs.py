"""Anti-entropy between two views."""

from __future__ import annotations

from typing import Any

import pytest

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.digests import compute_bucket
from ospreyford.membership.exchanges import ExchangeHandler
from ospreyford.membership.member import Version
from ospreyford.membership.messages import Change, Exchange
from ospreyford.membership.repairs import Repairs
from tests.fakes.stepping import Stepper
from tests.membership.test_parts import ManualClock, make_context, make_member

NO_DEADLINE = float('inf')


class RecordingPeers:
    """Forwards requests to the repairs of one process and counts bytes."""

    def __init__(self, context: MembershipContext) -> None:
        self.bytes = 0
        self.is_cut = False
        port: Any = self
        self._handlers: dict[str, Any] = {}
        Repairs(context, ExchangeHandler(context), port).register_handlers(port)

    def serve(self, topic: str, handler: Any) -> None:
        self._handlers[topic] = handler

    async def ask(
        self, _address: str, topic: str, body: bytes, _timeout: float
    ) -> bytes | None:
        self.bytes += len(body)
        if self.is_cut:
            return None
        response: bytes = await self._handlers[topic](body)
        self.bytes += len(response)
        return response


class RepairPair:
    """A process with an empty view and one with a full view."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        self.source = make_context(self.clock, count)
        self.peers = RecordingPeers(self.source)
        self.context = make_context(self.clock, 0)
        self.exchanges = ExchangeHandler(self.context)
        port: Any = self.peers
        self.repairs = Repairs(self.context, self.exchanges, port)

    def repair(self, until: float = NO_DEADLINE) -> None:
        task = Stepper().spawn('repair', self.repairs.repair(until))
        assert task.done

    def mark_all_differing(self) -> None:
        """Record all buckets as differing."""
        for record in self.source.view:
            bucket = compute_bucket(record.member)
            self.exchanges.differing_buckets[bucket] = record.member


@pytest.mark.parametrize('count', [1, 30, 900])
def test_any_message_about_a_zone_reveals_differing_buckets(count: int) -> None:
    """A change missed by gossip must be repaired after a single exchange."""
    pair = RepairPair(count)
    for record in pair.source.view:
        pair.context.view.merge(
            record.member.name, record.version, record.member
        )
    pair.source.view.merge(
        'h0', Version('2'), make_member('h0', incarnation='2')
    )
    message = Exchange(
        sender=Change('h0', '1', 0, 0),
        receiver=None,
        introduction=None,
        changes=[],
        descriptions=[],
        zone='a',
        digest=pair.source.view.digests.get_zone_digest('a'),
        attachments=[],
    )
    pair.exchanges.handle_exchange(message)
    pair.repair()
    found = pair.context.view.find('h0')
    assert found is not None
    assert found.version == Version('2')
    assert pair.context.counters.repairs == 1
    assert pair.peers.bytes < pair.context.settings.sync_bytes


@pytest.mark.parametrize('count', [30, 300, 900])
def test_repairs_use_their_byte_budget(count: int) -> None:
    """Repairs must neither exceed their byte budget nor leave it unused."""
    pair = RepairPair(count)
    settings = pair.context.settings
    calls = 0
    while len(pair.context.view) < len(pair.source.view):
        pair.mark_all_differing()
        pair.repair()
        calls += 1
        # The last response may exceed the budget.
        assert pair.peers.bytes <= settings.sync_bytes * (calls + 1)
        pair.clock.now += settings.sync_seconds
    # Includes 100 bytes of overhead for each request and response.
    used = pair.peers.bytes + 100 * pair.context.counters.repairs
    assert calls <= used / settings.sync_bytes + 1


def test_repairs_stop_at_the_deadline_and_without_response() -> None:
    """Repairs must not delay the next probe."""
    pair = RepairPair(300)
    pair.mark_all_differing()
    pair.repair(until=pair.clock.now)
    assert pair.context.counters.repairs == 1
    pair.peers.is_cut = True
    pair.repair()
    assert pair.context.counters.repairs == 2
