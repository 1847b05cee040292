"""A request's way to back ends and its answer's way back."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING, Final

import curio

from ospreyford.direct.call import Attempt
from ospreyford.direct.choosing import Wish, choose_member
from ospreyford.direct.headers import keep_end_to_end
from ospreyford.direct.moving import StreamMover
from ospreyford.direct.sending import Sending
from ospreyford.direct.streaming import Passage, pass_stream_on
from ospreyford.direct.verdicts import (
    Answered,
    Cause,
    Cut,
    Lost,
    NotRun,
    Refused,
    Replied,
    Sent,
    Streaming,
    Unknown,
    Verdict,
)

if TYPE_CHECKING:
    from ospreyford.direct.call import Call
    from ospreyford.direct.fleet import Member
    from ospreyford.direct.gate import StreamGate
    from ospreyford.direct.world import World
    from ospreyford.http.message import Response
    from ospreyford.http.server import Exchange

BAD_GATEWAY: Final = 502
GATEWAY_TIMEOUT: Final = 504
SERVER_ERROR: Final = 500
MILLISECONDS = 1000
#: Sendings of one request at most, refused ones among them: a closed group
#: refuses for some seconds, and each sending is paid by the shared budget.
MOST_SENDINGS = 6
#: Ranks in a row that refuse a request before its whole group counts as closed:
#: one alone may be full, or leaving.
CLOSED_REFUSALS = 2
#: When to come back where nothing better is known, in seconds.
RETRY_SECONDS = 0.3


class Relay:
    """Sends one request until it has its final answer.

    :param call: the request.
    :param exchange: the caller's side.
    :param world: what the entry knows and uses.
    """

    def __init__(self, call: Call, exchange: Exchange, world: World) -> None:
        self._call = call
        self._exchange = exchange
        self._world = world
        self._gate = world.find_gate(call)
        self._cause = Cause.no_backend
        self._mover = StreamMover(call, world, MOST_SENDINGS)

    async def run(self) -> Verdict:
        """Serve the request within its time.

        :returns: how it ended; an answer of a back end is delivered.
        """
        left = self._call.tell_left(time.monotonic())
        try:
            verdict: Verdict = await curio.timeout_after(
                left, self._send_until_final
            )
        except curio.TaskTimeout:
            return self._give_up(Cause.out_of_time, GATEWAY_TIMEOUT)
        return verdict

    def end(self, retry_after: float) -> Verdict:
        """Tell how the request ends if this process does nothing more for it.

        :param retry_after: when its caller should come back if it has not
            run, in seconds: another process can serve it.
        :returns: how it ends.
        """
        match self._give_up(Cause.stopping, BAD_GATEWAY):
            case NotRun(cause=cause):
                return NotRun(cause, retry_after)
            case verdict:
                return verdict

    async def _send_until_final(self) -> Verdict:
        verdict: Verdict | None = None
        while verdict is None:
            if self._gate is None:
                verdict = await self._send_often()
            else:
                verdict = await self._send_admitted(self._gate)
        return verdict

    async def _send_admitted(self, gate: StreamGate) -> Verdict | None:
        if not await gate.enter(self._call):
            return self._give_up(Cause.overloaded, BAD_GATEWAY)
        self._call.admitted_at = time.monotonic()
        try:
            return await self._send_often()
        finally:
            await gate.leave()

    async def _send_often(self) -> Verdict | None:
        """Send until the request is answered, or its group is closed.

        :returns: how it ended, or ``None`` if it should wait again.
        """
        verdict: Verdict | None = None
        while verdict is None:
            member = self._choose()
            if member is None:
                return self._give_up(self._cause, BAD_GATEWAY)
            verdict = await self._attempt(member)
            refusals = self._call.count_last_refusals()
            is_closed = verdict is None and refusals >= CLOSED_REFUSALS
            if self._gate is not None and is_closed:
                self._gate.note_refusal()
                break
        return verdict

    def _choose(self) -> Member | None:
        call = self._call
        world = self._world
        now = time.monotonic()
        if not world.may_serve(call):
            self._cause = Cause.key_withdrawn
            return None
        if call.attempts and not self._may_send_again(now):
            return None
        members = world.fleet.list_service(call.service)
        tried = call.list_tried()
        avoided = tried
        if len(tried) >= call.route.attempts:
            if self._gate is None:
                return None
            # No further back end may get it; one that refused it still may.
            members = [one for one in members if one.server.id in tried]
            avoided = set()
        wish = Wish(world.settings.zone, avoided, now)
        return choose_member(members, wish, world.random)

    def _may_send_again(self, now: float) -> bool:
        call = self._call
        if len(call.attempts) >= MOST_SENDINGS:
            return False
        if not call.has_runs_left():
            return False
        if self._mover.take_paid():
            return True
        return self._world.budget.spend(call.service, now)

    async def _attempt(self, member: Member) -> Verdict | None:
        call = self._call
        now = time.monotonic()
        attempt = Attempt(
            member.server.id, int((now - call.started_at) * MILLISECONDS)
        )
        call.attempts.append(attempt)
        member.in_flight += 1
        try:
            async with Sending(
                call, member.server, self._world.tools
            ) as sending:
                sent = await sending.start()
                attempt.outcome = type(sent).__name__
                return await self._judge(sent, sending, member)
        finally:
            member.in_flight -= 1

    async def _judge(
        self, sent: Sent, sending: Sending, member: Member
    ) -> Verdict | None:
        match sent:
            case Refused(head=head):
                member.note_failure(time.monotonic())
                self._cause = Cause.refused if head else Cause.unreachable
                return None
            case Lost(cause=cause):
                return self._judge_loss(cause, member)
            case Replied(head=head, body=body):
                return await self._deliver(head, body, member)
            case Streaming(head=head):
                return await self._relay_stream(head, sending, member)

    def _judge_loss(self, cause: Cause, member: Member) -> Verdict | None:
        member.note_failure(time.monotonic())
        self._call.may_have_run = True
        self._cause = cause
        if self._call.may_repeat():
            return None
        return self._give_up(cause, BAD_GATEWAY)

    async def _deliver(
        self, head: Response, body: bytes, member: Member
    ) -> Verdict | None:
        call = self._call
        if head.status >= SERVER_ERROR:
            member.note_failure(time.monotonic())
            call.may_have_run = True
            if call.may_repeat() and call.has_runs_left():
                self._cause = Cause.refused
                return None
        else:
            member.note_success()
        await self._exchange.respond(
            head.status, body, tuple(keep_end_to_end(head.headers))
        )
        return Answered(head.status)

    async def _relay_stream(
        self, head: Response, sending: Sending, member: Member
    ) -> Verdict | None:
        self._call.may_have_run = True
        if self._gate is not None:
            self._gate.note_start()
        if not self._exchange.started:
            fields = tuple(keep_end_to_end(head.headers))
            self._exchange.add((self._exchange.make_head(head.status, fields),))
        passage = await pass_stream_on(
            self._call,
            sending,
            self._exchange,
            partial(self._mover.should_move, member),
        )
        match passage:
            case Passage.whole:
                member.note_success()
                await self._exchange.finish()
                return Answered(head.status)
            case Passage.moved:
                self._call.attempts[-1].outcome = 'Moved'
                return None
        member.note_failure(time.monotonic())
        self._cause = Cause.lost
        if self._call.may_repeat():
            return None
        return self._give_up(Cause.lost, BAD_GATEWAY)

    def _give_up(self, cause: Cause, status: int) -> Verdict:
        if self._exchange.started:
            return Cut(cause, self._call.cursor)
        if self._call.may_have_run or self._call.is_sent():
            return Unknown(cause, status)
        if self._gate is None:
            return NotRun(cause, RETRY_SECONDS)
        return NotRun(cause, self._gate.tell_retry())
