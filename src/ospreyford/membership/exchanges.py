"""Composing and reading probes: what one member tells another."""

from __future__ import annotations

from typing import NamedTuple

from ospreyford.membership.digests import Bucket, Record, bucket_of
from ospreyford.membership.gossip import Due, Parcel
from ospreyford.membership.member import Member, Version
from ospreyford.membership.messages import (
    Change,
    Description,
    Exchange,
    write_change,
)
from ospreyford.membership.tables import Tables
from ospreyford.membership.view import Merged


class Sender(NamedTuple):
    """Who sent an exchange."""

    name: str
    version: Version
    #: Its record, unless it is unknown here or an older incarnation.
    record: Record | None
    #: Whether it lacks this process's description.
    lacks_me: bool


class Exchanges:
    """Writes and reads exchanges.

    :param tables: the shared tables.
    """

    def __init__(self, tables: Tables) -> None:
        #: Buckets to repair, and the member that has other versions.
        self.differing: dict[Bucket, Member] = {}
        #: Zones to compare bucket by bucket, and the member that differs.
        self.differing_zones: dict[str, Member] = {}
        self._tables = tables
        self._view = tables.view

    def compose(
        self,
        receiver: Record | None,
        *,
        introduce: bool,
        zone: str | None = None,
    ) -> Exchange:
        """Write a probe or an answer.

        :param receiver: the receiver's record, if known.
        :param introduce: whether the receiver may lack this process's
            description.
        :param zone: the zone to compare; a random one if left out.
        :returns: the exchange.
        """
        own = self._view.own
        zones = self._view.digests.zones()
        zone = self._tables.rng.choice(zones) if zone is None else zone
        parcel = self._parcel()
        about = None
        if receiver is not None:
            about = write_change(receiver.member.name, receiver.version)
        return Exchange(
            sender=write_change(own.member.name, own.version),
            about=about,
            introduction=self._tables.describe(own) if introduce else None,
            changes=parcel.changes,
            descriptions=parcel.descriptions,
            zone=zone,
            digest=self._view.digests.digest(zone),
            attached=self._tables.attachments.collect(),
        )

    def absorb(self, exchange: Exchange) -> Sender:
        """Take over what an exchange tells.

        :param exchange: a probe or an answer.
        :returns: who sent it.
        :raises MalformedMessage: a version that can't be.
        """
        if exchange.introduction is not None:
            self._tables.merge_description(exchange.introduction)
        sender = self._read_sender(exchange)
        about = exchange.about
        if about is not None:
            self._view.merge(about.name, about.version())
        for description in exchange.descriptions:
            self._tables.merge_description(description)
        for change in exchange.changes:
            merged = self._view.merge(change.name, change.version())
            if merged is Merged.undescribed and sender.record is not None:
                self._note_undescribed(change, sender.record.member)
        if sender.record is not None:
            self._absorb_digest(exchange, sender.record.member)
            self._tables.attachments.hand_out(
                sender.record.member.peer_address,
                exchange.attached,
            )
        return sender

    def _read_sender(self, exchange: Exchange) -> Sender:
        name = exchange.sender.name
        version = exchange.sender.version()
        self._view.merge(name, version)
        record = self._view.find(name)
        if record is not None and (
            record.version.incarnation != version.incarnation
            or name == self._view.me
        ):
            record = None
        about = exchange.about
        mine = self._view.own.version.incarnation
        lacks_me = about is None or about.incarnation < mine
        return Sender(name, version, record, lacks_me)

    def _absorb_digest(self, exchange: Exchange, sender: Member) -> None:
        if self._view.digests.digest(exchange.zone) != exchange.digest:
            self.differing_zones[exchange.zone] = sender

    def _note_undescribed(self, change: Change, sender: Member) -> None:
        record = self._view.find(change.name)
        # A name never heard of is found by a digest sooner or later.
        if record is not None:
            self.differing[bucket_of(record.member)] = sender

    def _parcel(self) -> Parcel:
        parcel = Parcel([], [])
        left = self._tables.settings.change_bytes
        for due in self._tables.gossip.due():
            entry = self._entry(due)
            # An entry larger than the whole limit still goes, alone.
            if entry.size() > left and (parcel.changes or parcel.descriptions):
                continue
            left -= entry.size()
            parcel.put(entry)
            self._tables.gossip.note_sent(due.name, len(self._view))
        return parcel

    def _entry(self, due: Due) -> Change | Description:
        record = self._view.find(due.name)
        assert record is not None  # forgotten names leave the gossip
        if due.whole:
            return self._tables.describe(record)
        return write_change(due.name, record.version)
