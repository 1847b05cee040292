"""Requests of a coordinator to the members of its group."""

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
    """Ports used by a coordinator."""

    peers: PeerPort
    clock: Clock
    tasks: TaskPort


class MemberClient:
    """Sends requests to all members, including the local one.

    :param settings: the member's settings.
    :param addresses: current peer addresses by slot.
    :param acceptor: the local member, called without the network.
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
        """Return every slot of the group.

        :returns: the slots.
        """
        return set(self._addresses)

    async def request(
        self, request: Request, slots: Iterable[int]
    ) -> Responses:
        """Send one request to several members concurrently.

        :param request: the request.
        :param slots: the recipients.
        :returns: responses by slot; ``None`` on timeout.
        :raises BallotPreempted: a member promised a higher ballot.
        :raises MemberLost: a member isn't in the generation.
        """
        return await self.request_each(dict.fromkeys(slots, request))

    async def request_each(self, requests: Mapping[int, Request]) -> Responses:
        """Send each member its own request, concurrently.

        :param requests: by slot.
        :returns: responses by slot; ``None`` on timeout.
        :raises BallotPreempted: a member promised a higher ballot.
        :raises MemberLost: a member isn't in the generation.
        """
        slots = sorted(requests)
        calls: list[Coroutine[Any, Any, Any]] = [
            self._send(slot, encode(requests[slot])) for slot in slots
        ]
        replies = await self._ports.tasks.gather(calls)
        responses = {
            slot: decode_response(reply)
            for slot, reply in zip(slots, replies, strict=True)
        }
        self._check_refusals(responses)
        return responses

    async def sleep(self, seconds: float) -> None:
        """Sleep, then check that this coordinator was not preempted.

        :param seconds: duration.
        :raises BallotPreempted: the local member promised a higher ballot.
        :raises Superseded: another process controls the engine.
        """
        await self._ports.clock.sleep(seconds)
        if self.acceptor.superseded:
            raise Superseded
        if self.acceptor.promised > self.ballot:
            raise BallotPreempted(self.acceptor.promised)

    async def read_engine(self) -> EngineStatus | None:
        """Read the local engine's progress and resend unconfirmed grants.

        A coordinator has no other poll of its own engine: without this, a
        replaced engine or a lost grant would stall the whole group.

        :returns: its status, or ``None`` if it is unreachable.
        :raises MemberLost: the engine was replaced.
        """
        status = await self.acceptor.read_status()
        if self.acceptor.incarnation != self.ballot.incarnation:
            raise MemberLost(self.acceptor.slot)
        await self.acceptor.retry_grants()
        return status

    def read_monotonic(self) -> float:
        """Read the monotonic clock.

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
            slot: response.promised
            for slot, response in responses.items()
            if isinstance(response, Refused)
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
