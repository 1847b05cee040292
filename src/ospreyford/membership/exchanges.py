"""Building and handling the exchanges carried by probes."""

from __future__ import annotations

from typing import NamedTuple

from ospreyford.membership.context import MembershipContext
from ospreyford.membership.digests import Bucket, Record, compute_bucket
from ospreyford.membership.gossip import MessageUpdates, PendingUpdate
from ospreyford.membership.member import Member, Version
from ospreyford.membership.messages import (
    Change,
    Description,
    Exchange,
    encode_change,
)
from ospreyford.membership.view import Merged


class Sender(NamedTuple):
    """The sender of an exchange."""

    name: str
    version: Version
    #: ``None`` if the sender is unknown here or an older incarnation.
    record: Record | None
    #: Whether the sender lacks this process's description.
    needs_introduction: bool


class ExchangeHandler:
    """Builds exchanges and merges received ones into the view.

    :param context: the shared state.
    """

    def __init__(self, context: MembershipContext) -> None:
        #: Buckets to synchronize, with the member that differs.
        self.differing_buckets: dict[Bucket, Member] = {}
        #: Zones whose buckets to compare, with the member that differs.
        self.differing_zones: dict[str, Member] = {}
        self._context = context
        self._view = context.view

    def build_exchange(
        self,
        receiver: Record | None,
        *,
        introduce: bool,
        zone: str | None = None,
    ) -> Exchange:
        """Build a probe or the response to one.

        :param receiver: the receiver's record, if known.
        :param introduce: whether to include this process's description.
        :param zone: the zone whose digest to include; random by default.
        :returns: the exchange.
        """
        own = self._view.own
        zones = self._view.digests.list_zones()
        zone = self._context.rng.choice(zones) if zone is None else zone
        updates = self._collect_updates()
        known_receiver = None
        if receiver is not None:
            known_receiver = encode_change(
                receiver.member.name, receiver.version
            )
        return Exchange(
            sender=encode_change(own.member.name, own.version),
            receiver=known_receiver,
            introduction=self._context.describe(own) if introduce else None,
            changes=updates.changes,
            descriptions=updates.descriptions,
            zone=zone,
            digest=self._view.digests.get_zone_digest(zone),
            attachments=self._context.attachments.collect(),
        )

    def handle_exchange(self, exchange: Exchange) -> Sender:
        """Merge an exchange into the view.

        :param exchange: a probe or the response to one.
        :returns: its sender.
        :raises MalformedMessage: a version is invalid.
        """
        if exchange.introduction is not None:
            self._context.merge_description(exchange.introduction)
        sender = self._merge_sender(exchange)
        known_receiver = exchange.receiver
        if known_receiver is not None:
            self._view.merge(known_receiver.name, known_receiver.to_version())
        for description in exchange.descriptions:
            self._context.merge_description(description)
        for change in exchange.changes:
            merged = self._view.merge(change.name, change.to_version())
            if merged is Merged.undescribed and sender.record is not None:
                self._record_undescribed(change, sender.record.member)
        if sender.record is not None:
            self._compare_digest(exchange, sender.record.member)
            self._context.attachments.dispatch(
                sender.record.member.peer_address,
                exchange.attachments,
            )
        return sender

    def _merge_sender(self, exchange: Exchange) -> Sender:
        name = exchange.sender.name
        version = exchange.sender.to_version()
        self._view.merge(name, version)
        record = self._view.find(name)
        if record is not None and (
            record.version.incarnation != version.incarnation
            or name == self._view.me
        ):
            record = None
        receiver = exchange.receiver
        own_incarnation = self._view.own.version.incarnation
        needs_introduction = (
            receiver is None or receiver.incarnation < own_incarnation
        )
        return Sender(name, version, record, needs_introduction)

    def _compare_digest(self, exchange: Exchange, sender: Member) -> None:
        if self._view.digests.get_zone_digest(exchange.zone) != exchange.digest:
            self.differing_zones[exchange.zone] = sender

    def _record_undescribed(self, change: Change, sender: Member) -> None:
        record = self._view.find(change.name)
        # Unknown names are found later by comparing digests.
        if record is not None:
            self.differing_buckets[compute_bucket(record.member)] = sender

    def _collect_updates(self) -> MessageUpdates:
        updates = MessageUpdates([], [])
        available_bytes = self._context.settings.change_bytes
        for pending in self._context.gossip.select_next():
            entry = self._encode_update(pending)
            # An entry larger than the limit is sent alone.
            if entry.estimate_size() > available_bytes and (
                updates.changes or updates.descriptions
            ):
                continue
            available_bytes -= entry.estimate_size()
            updates.add(entry)
            self._context.gossip.record_transmission(
                pending.name, len(self._view)
            )
        return updates

    def _encode_update(self, pending: PendingUpdate) -> Change | Description:
        record = self._view.find(pending.name)
        assert record is not None  # forgotten members leave the queue
        if pending.with_description:
            return self._context.describe(record)
        return encode_change(pending.name, record.version)
