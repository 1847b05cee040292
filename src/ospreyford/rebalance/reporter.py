"""What an agent reports of its rank, to whom and how often."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ospreyford.rebalance.loadsums import LoadSums
from ospreyford.rebalance.messages import Counts, LoadPart, encode
from ospreyford.rebalance.post import HEADER_BYTES
from ospreyford.rebalance.tree import DEGREE, find_parent, order_members

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.ports.clock import Clock
    from ospreyford.rebalance.post import Address, Post
    from ospreyford.rebalance.settings import AgentSettings
    from ospreyford.rebalance.watcher import RankWatcher

#: Parts of an agent's link that the states of all ranks may take, and the
#: loads that the agents below it report; orders, heartbeats and news need the
#: rest. Links of one group's hosts are alike.
STATE_PART: Final = 0.15
LOAD_PART: Final = 0.3
#: Time between two reports that tell which experts a rank holds, in seconds:
#: only a coordinator that does not know the map in force needs that.
EXPERTS_SECONDS: Final = 0.5


class Reporter:
    """Reports the state and the load of the rank beside an agent.

    The state goes to the coordinator at once, the load to the agent above in
    the group's tree, with the loads of the agents below.

    :param settings: who this agent is.
    :param post: the process's datagrams.
    :param watcher: looks at the rank.
    :param clock: source of time.

    ``members`` are the addresses of all agents of the group, sorted.
    """

    def __init__(
        self,
        settings: AgentSettings,
        post: Post,
        watcher: RankWatcher,
        clock: Clock,
    ) -> None:
        self.members: Sequence[Address] = ()
        self.sums = LoadSums(clock)
        self._settings = settings
        self._me = settings.datagrams
        self._post = post
        self._watcher = watcher
        self._clock = clock
        self._state_bytes = 0
        self._load_due: float = 0
        self._experts_due: float = 0
        self._experts_to: Address | None = None

    def tell_pause(self) -> float:
        """Tell how long to wait for the next report.

        :returns: seconds.
        """
        ranks = self._watcher.count_ranks()
        return tell_report_pause(self._settings, ranks, self._state_bytes)

    def make_report(self, leader: Address) -> Counts | None:
        """Make a report for the coordinator.

        :param leader: the coordinator's address.
        :returns: the report, or ``None`` if the rank does not answer.
        """
        return self._make_report(leader, self._find_parent(leader))

    async def report(self, leader: Address) -> None:
        """Report to the coordinator, and to the agent above if that is due.

        :param leader: the coordinator's address.
        """
        parent = self._find_parent(leader)
        report = self._make_report(leader, parent)
        if report is None:
            return
        datagram = encode(report)
        if report.part is None and not report.experts:
            self._state_bytes = len(datagram)
        await self._post.send_bytes(datagram, leader)
        if parent is not None:
            part = self._take_due_part()
            if part is not None:
                await self._post.send(part, parent)

    def _make_report(
        self, leader: Address, parent: Address | None
    ) -> Counts | None:
        state = self._watcher.state
        if state is None:
            return None
        part = self._take_due_part() if parent is None else None
        return Counts(state, self._take_due_experts(leader), part)

    def _find_parent(self, leader: Address) -> Address | None:
        ordered = order_members(self.members, leader, self.sums.turn)
        return find_parent(ordered, self._me)

    def _take_due_part(self) -> LoadPart | None:
        now = self._clock.monotonic()
        if now < self._load_due:
            return None
        part = self.sums.add_to(
            self._watcher.encode_shares(), self._watcher.counted_at
        )
        self._load_due = now + tell_load_pause(
            self._settings,
            self._watcher.count_ranks(),
            len(part.shares.chosen),
        )
        return part

    def _take_due_experts(self, leader: Address) -> tuple[tuple[int, ...], ...]:
        now = self._clock.monotonic()
        if now < self._experts_due and leader == self._experts_to:
            return ()
        self._experts_due = now + EXPERTS_SECONDS
        self._experts_to = leader
        return self._watcher.list_experts()


def tell_report_pause(
    settings: AgentSettings, ranks: int, state_bytes: int
) -> float:
    """Tell how long to wait for the next report of a rank's state.

    Load pattern: 129 ranks report to one host over a link of 3 Mbit/s. Reports
    that come faster than it carries them are lost, and with them the orders'
    answers and the heartbeats of the group.

    :param settings: of the agent.
    :param ranks: that report to the same coordinator.
    :param state_bytes: of the last report that had only a state.
    :returns: seconds.
    """
    round_bytes = ranks * (state_bytes + HEADER_BYTES)
    round_seconds = round_bytes / (STATE_PART * settings.link_bytes)
    return max(settings.pace.report, round_seconds)


def tell_load_pause(
    settings: AgentSettings, ranks: int, load_bytes: int
) -> float:
    """Tell how long to wait for the next report of a rank's load.

    :param settings: of the agent.
    :param ranks: of the group.
    :param load_bytes: of the last one.
    :returns: seconds.
    """
    below = min(ranks - 1, DEGREE)
    round_bytes = below * (load_bytes + HEADER_BYTES)
    round_seconds = round_bytes / (LOAD_PART * settings.link_bytes)
    return max(settings.pace.report, round_seconds)
