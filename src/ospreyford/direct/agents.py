"""Exchange of hellos and load reports with the agents of model services."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from ospreyford.direct.admission import GroupLoad
from ospreyford.direct.coordinators import HELLO_INTERVAL_SECONDS
from ospreyford.direct.freshness import read_boot_clock
from ospreyford.direct.gates import refresh_groups, update_group_load
from ospreyford.direct.hello import (
    MS_PER_SECOND,
    STARTUP_HELLO_INTERVAL_SECONDS,
    HelloSender,
)
from ospreyford.rebalance.datagrams import DatagramSocket
from ospreyford.rebalance.entrymessages import (
    UNKNOWN_REQUESTS,
    GroupStatus,
    HelloReply,
    ImpairedRank,
    RankDetails,
)
from ospreyford.rebalance.groupkey import GroupKey
from ospreyford.sendgrants.messages import SendingGrant
from ospreyford.suspects.messages import SuspectReport

if TYPE_CHECKING:
    from ospreyford.direct.context import EntryContext
    from ospreyford.rebalance.datagrams import Address
    from ospreyford.rebalance.messages import Message


class AgentLink:
    """Sends hellos to agents and applies the load that they report.

    :param context: shared state of the entry.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._transport = DatagramSocket(context.settings.datagrams)
        self.hello_sender = HelloSender(context, self._transport)
        self._grant_client = context.limits.grant_client
        self._digests: set[int] = set()
        self._grant_client.transport = self._transport

    async def run(self) -> None:
        """Receive datagrams until the process ends."""
        await self._transport.receive(self.handle_message)

    async def greet_often(self) -> None:
        """Send hellos until the process ends."""
        while True:
            await self.hello_sender.send_due()
            self._update_arbiters()
            report = self._context.suspect_sharing.take_changes()
            if report is not None:
                await self.hello_sender.send_suspects(report)
            await curio.sleep(STARTUP_HELLO_INTERVAL_SECONDS)

    async def handle_message(self, message: Message, address: Address) -> None:
        """Handle a message of an agent.

        :param message: the message.
        :param address: the agent's address.
        """
        match message:
            case HelloReply():
                await self._handle_load(message, address)
            case GroupStatus():
                await self._handle_group_news(message, address)
            case SendingGrant():
                await self._grant_client.handle_grant(message, address)
            case SuspectReport():
                missing = self._context.suspect_sharing.merge(message)
                if missing is not None:
                    await self._transport.send(missing, address)

    def _update_arbiters(self) -> None:
        if not self._context.limits.has_any():
            return
        hellos = self.hello_sender.hellos.values()
        digests = {hello.digest for hello in hellos}
        if digests != self._digests:
            self._digests = digests
            port = self._context.settings.agent_port
            self._grant_client.update_agents(
                {(host, port) for host in self._list_hosts()}
            )

    def _list_hosts(self) -> set[str]:
        """List the hosts of the agents of all model services."""
        services = {key.service for key in self.hello_sender.hellos}
        members = self._context.groups.view.members
        return {
            host
            for key, addresses in members.items()
            if key.service in services
            for host, _ in addresses
        }

    async def _handle_load(self, load: HelloReply, address: Address) -> None:
        self._record_told_state(load)
        self._context.limits.shares.record_position(load.position, load.entries)
        directory = self._context.groups.directory
        backend = load.host, load.port
        directory.record_name(backend, load.group)
        key = directory.find(backend)
        if key is None:
            return
        hello = self.hello_sender.hellos.get(key)
        if load.needs_members and hello and backend in (hello.members or ()):
            await self._transport.send(hello, address)
        silence = self.hello_sender.coordinators.compute_silence(key)
        if silence > HELLO_INTERVAL_SECONDS:
            # While a coordinator reports, other agents hear from few entries.
            self._context.record_entry_count(load.entries)

    def _record_told_state(self, load: HelloReply) -> None:
        context = self._context
        now = read_boot_clock()
        context.key_guard.record_told(load.version, now)
        if load.settling_ms and context.is_starting():
            # What this entry has read may be the copy.
            context.key_guard.start_without_view(
                load.settling_ms / MS_PER_SECOND, now
            )
        context.is_informed = True

    async def _handle_group_news(
        self, news: GroupStatus, address: Address
    ) -> None:
        context = self._context
        key = context.groups.view.tags.get(news.tag)
        if key is None:
            # It may have been told since the last round of hellos.
            refresh_groups(context)
            key = context.groups.view.tags.get(news.tag)
        if key is None:
            return
        if not self.hello_sender.coordinators.record(key, address, news.token):
            return
        context.record_entry_count(news.entries)
        if news.details is not None:
            self._update_ranks(key, news.details, time.monotonic())
        await update_group_load(
            context,
            key,
            GroupLoad(
                running=news.running,
                queued=news.queued,
                pass_seconds=news.pass_seconds,
                base_seconds=0,
                is_open=news.is_open,
                epoch=news.epoch,
            ),
        )

    def _update_ranks(
        self, key: GroupKey, details: RankDetails, now: float
    ) -> None:
        groups = self._context.groups
        outliers = {one.host: one for one in details.impaired}
        groups.directory.record_ranks(key, outliers)
        requests = self._match_requests(key, details)
        backends = self._context.backends.list_all(key.service)
        for backend in groups.select_members(backends, key.name):
            host = backend.server.host
            outlier = outliers.get(host, ImpairedRank(host, 1, is_silent=False))
            backend.is_agent_unreachable = outlier.is_silent
            reported = requests.get(host, UNKNOWN_REQUESTS)
            if reported == UNKNOWN_REQUESTS:
                backend.slowdown = max(outlier.pace, 1)
            else:
                backend.update_load(reported, outlier.pace, now)

    def _match_requests(
        self, key: GroupKey, details: RankDetails
    ) -> dict[str, int]:
        hello = self.hello_sender.hellos.get(key)
        if hello is None or hello.digest != details.digest:
            return {}
        hosts = (host for host, _ in hello.members or ())
        return dict(zip(hosts, details.requests, strict=False))
