"""Questions of a coordinator to the members of its group."""

from __future__ import annotations

from collections.abc import Coroutine, Iterable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from ospreyford.expertmap.errors import BallotPreempted, MemberLost, Superseded
from ospreyford.expertmap.messages import (
    Refused,
    Request,
    Response,
    decode_response,
    encode,
)

if TYPE_CHECKING:
    from ospreyford.expertmap.acceptor import RankAcceptor
    from ospreyford.expertmap.ports import EngineStatus, TaskPort
    from ospreyford.expertmap.settings import RankSettings
    from ospreyford.expertmap.windows import Ballot
    from ospreyford.ports.clock import Clock
    from ospreyford.ports.peers import PeerPort

Responses = dict[int, Response | None]


class CoordinatorPorts(NamedTuple):
    """The ports that a coordinator awaits on."""

    peers: PeerPort
    clock: Clock
    tasks: TaskPort


class MemberClient:
    """Asks members, among them the one of this process.

    :param settings: the member's settings.
    :param addresses: the members' present addresses, by slot.
    :param keeper: this process's member.
    :param ports: peers, clock and tasks.
    :param ballot: the coordinator's ballot.
    """

    def __init__(
        self,
        settings: RankSettings,
        addresses: Mapping[int, str],
        acceptor: RankAcceptor,
        ports: CoordinatorPorts,
        ballot: Ballot,
    ) -> None:
        self.acceptor = acceptor
        self.ballot = ballot
        self._settings = settings
        self._addresses = addresses
        self._ports = ports

    def slots(self) -> set[int]:
        """List every slot of the group.

        :returns: the slots.
        """
        return set(self._addresses)

    async def request(
        self, request: Request, slots: Iterable[int]
    ) -> Responses:
        """Ask members at the same time.

        :param question: what is asked.
        :param slots: who is asked.
        :returns: the answers by slot; ``None`` for silence.
        :raises Outbid: a member promised a higher ballot.
        :raises MemberLost: a member isn't in the generation.
        """
        return await self.request_each(dict.fromkeys(slots, request))

    async def request_each(self, requests: Mapping[int, Request]) -> Responses:
        """Ask each member its own question, at the same time.

        :param questions: by slot.
        :returns: the answers by slot; ``None`` for silence.
        :raises Outbid: a member promised a higher ballot.
        :raises MemberLost: a member isn't in the generation.
        """
        slots = sorted(requests)
        calls: list[Coroutine[Any, Any, Any]] = [
            self._send(slot, encode(requests[slot])) for slot in slots
        ]
        replies = await self._ports.tasks.gather(calls)
        responses = {
            slot: decode_response(answer)
            for slot, answer in zip(slots, replies, strict=True)
        }
        self._check_refusals(responses)
        return responses

    async def sleep(self, seconds: float) -> None:
        """Wait, and stop where another coordinator came meanwhile.

        :param seconds: how long.
        :raises Outbid: this process's own member promised a higher ballot.
        :raises Superseded: another process orders the engine.
        """
        await self._ports.clock.sleep(seconds)
        if self.acceptor.superseded:
            raise Superseded
        if self.acceptor.promised > self.ballot:
            raise BallotPreempted(self.acceptor.promised)

    async def read_engine(self) -> EngineStatus | None:
        """Read the progress of this process's engine, and see to its grants.

        A member sees to its engine between its turns to lead, and the turn
        of a coordinator may never end. Its own replaced engine would stand at
        step 0, far before the end of what the old one was granted, and a
        grant that was lost would never be given again: the coordinator waits
        for progress, all others for the coordinator, and no member wants
        steps. One notices by a group that stands while every member answers.

        :returns: its status, or ``None`` if it can't be reached.
        :raises MemberLost: the engine was replaced.
        """
        status = await self.acceptor.read_status()
        if self.acceptor.incarnation != self.ballot.incarnation:
            raise MemberLost(self.acceptor.slot)
        await self.acceptor.retry_grants()
        return status

    def read_monotonic(self) -> float:
        """Read the clock that never goes back.

        :returns: seconds since an arbitrary moment.
        """
        return self._ports.clock.monotonic()

    def read_wall(self) -> float:
        """Read the wall clock.

        :returns: seconds since the Unix epoch.
        """
        return self._ports.clock.wall()

    def _check_refusals(self, responses: Responses) -> None:
        refused = {
            slot: answer.promised
            for slot, answer in responses.items()
            if isinstance(answer, Refused)
        }
        if not refused:
            return
        highest = max(refused.values())
        if highest > self.ballot:
            raise BallotPreempted(highest)
        raise MemberLost(min(refused))

    async def _send(self, slot: int, body: bytes) -> bytes | None:
        if slot == self.acceptor.slot:
            return await self.acceptor.handle_request(body)
        return await self._ports.peers.ask(
            self._addresses[slot],
            self._settings.topic(),
            body,
            self._settings.ask_seconds,
        )
