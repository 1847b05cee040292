"""A back end's own calls: its report, counts and orders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import curio
import msgspec

from ospreyford.http.errors import HttpError
from ospreyford.http.kept import KeptConnection
from ospreyford.http.message import Request
from ospreyford.rebalance.group import (
    Arm,
    Armed,
    Disarm,
    Go,
    Guard,
    Hold,
    Order,
    Prepare,
    RankExperts,
    RankState,
)
from ospreyford.rebalance.ports import Reply

if TYPE_CHECKING:
    from ospreyford.http.message import Headers

#: Time for an answer, in seconds: the back end beside an agent needs a
#: millisecond. One that leaves an order unanswered is asked again.
RESPONSE_TIMEOUT_SECONDS = 0.025
OK_STATUS: Final = 200
REPLY_BY_STATUS: Final = (
    (200, Reply.already_applied),
    (202, Reply.accepted),
    (409, Reply.rejected),
    (412, Reply.fenced),
)
JSON_HEADER: Final = (b'content-type', b'application/json')


class _Group(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name='Name')
    epoch: int
    rank: int
    state: str = msgspec.field(name='State')


class _Report(msgspec.Struct, frozen=True):
    group: _Group
    size: int
    step: int
    # Orders that the rank has accepted, not the number of the report.
    sequence: int = msgspec.field(name='Sequence')
    # Only the version of the map in force, not the map.
    expert_map: int = msgspec.field(name='ExpertMap')
    prepared: int | None = msgspec.field(name='Prepared', default=None)
    armed: Any = msgspec.field(name='Armed', default=None)
    held: int | None = None
    active: int = msgspec.field(name='Active', default=0)
    queued: int = msgspec.field(name='Queued', default=0)
    pace: float = 1
    # Unix milliseconds of the process's start.
    born: int = 0


class _ExpertCounts(msgspec.Struct, frozen=True):
    counts: list[int] = msgspec.field(name='Counts')


class _ExpertMap(msgspec.Struct, frozen=True):
    version: int = msgspec.field(name='Version')
    experts: list[list[int]] = msgspec.field(name='Experts')


class _ExpertLists(msgspec.Struct, frozen=True):
    expert_map: _ExpertMap = msgspec.field(name='ExpertMap')


_report_decoder = msgspec.json.Decoder(_Report)
_counts_decoder = msgspec.json.Decoder(_ExpertCounts)
_lists_decoder = msgspec.json.Decoder(_ExpertLists)


class ReplicaClient:
    """Calls of one back end, one at a time on one kept connection.

    :param address: IP number and port.
    :param seconds: time for an answer.
    """

    def __init__(
        self,
        address: tuple[str, int],
        timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> None:
        self.calls = 0
        self.bad_answers = 0
        self._timeout_seconds = timeout_seconds
        self._connection = KeptConnection(address, timeout_seconds)
        self._lock = curio.Lock()

    async def read_state(self) -> RankState | None:
        """Read the rank's state.

        :returns: the state, or ``None`` without an answer.
        """
        report = await self._read('/report', _report_decoder)
        return None if report is None else self._build_state(report)

    async def read_counts(self) -> tuple[int, ...] | None:
        """Read how often each expert was chosen since the rank's start.

        :returns: one count for each set and expert, set by set.
        """
        response = await self._read('/picked', _counts_decoder)
        return None if response is None else tuple(response.counts)

    async def read_experts(self) -> RankExperts | None:
        """Read which experts the rank holds by the map in force.

        :returns: the experts of each set.
        """
        response = await self._read('/picked?Lists=1', _lists_decoder)
        if response is None:
            return None
        return tuple(map(tuple, response.expert_map.experts))

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        """Give an order.

        :param order: the order.
        :param guard: what the rank checks first.
        :returns: its answer.
        """
        body = msgspec.json.encode(make_order_body(order, guard))
        answer = await self._call('POST', '/order', (JSON_HEADER,), body)
        if answer is None:
            return Reply.no_answer
        return dict(REPLY_BY_STATUS).get(answer[0], Reply.no_answer)

    async def _read(self, path: str, decoder: Any) -> Any:
        answer = await self._call('GET', path, (), b'')
        if answer is None or answer[0] != OK_STATUS:
            return None
        try:
            return decoder.decode(answer[1])
        except (msgspec.DecodeError, UnicodeError):
            self.bad_answers += 1
            return None

    async def _call(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> tuple[int, bytes] | None:
        self.calls += 1
        request = Request(method, target, headers)
        async with self._lock:
            try:
                return await self._connection.call(
                    request, body, self._timeout_seconds
                )
            except HttpError:
                # The caller tries again or passes the rank over, and logs what
                # that means; the outcome of an order stays unknown.
                return None

    def _build_state(self, report: _Report) -> RankState:
        return RankState(
            group=report.group.name,
            epoch=report.group.epoch,
            rank=report.group.rank,
            size=report.size,
            is_open=report.group.state == 'open',
            step=report.step,
            sequence=report.sequence,
            version=report.expert_map,
            prepared=report.prepared,
            armed=parse_armed(report.armed),
            held=report.held,
            active=report.active,
            queued=report.queued,
            pace=report.pace,
            born_ms=report.born,
        )


def parse_armed(raw: Any) -> Armed | None:
    """Read the switch that a rank shows.

    :param shown: version and step, in whichever form.
    :returns: the switch, or ``None``.
    """
    match raw:
        case {'Version': int(version), 'step': int(step)}:
            return Armed(version, step)
        case [int(version), int(step)]:
            return Armed(version, step)
    return None


def make_order_body(order: Order, guard: Guard) -> dict[str, Any]:
    """Make the body of an order.

    :param order: the order.
    :param guard: what the rank checks first.
    :returns: the fields by the platform's names.
    """
    fields: dict[str, Any] = {
        'FencingToken': guard.token,
        'epoch': guard.epoch,
    }
    if guard.sequence is not None:
        # The number of orders accepted so far, not a condition in words.
        fields['Precondition'] = guard.sequence
    match order:
        case Prepare(version=version, experts=experts):
            operation = {
                'Operation': 'prepare',
                'Version': version,
                'ExpertMap': experts,
            }
        case Hold(step=step):
            operation = {'Operation': 'Hold', 'step': step}
        case Arm(version=version, step=step):
            operation = {'Operation': 'arm', 'Version': version, 'step': step}
        case Go(step=step):
            operation = {'Operation': 'go', 'step': step}
        case Disarm(version=version):
            operation = {'Operation': 'disarm', 'Version': version}
    return {**fields, **operation}
