"""HTTP client of a backend: its state, expert counts and orders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import curio
import msgspec

from ospreyford.http.errors import HttpError
from ospreyford.http.kept import KeptAnswer, KeptConnection
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

#: Response timeout for a backend on the same host.
RESPONSE_TIMEOUT_SECONDS = 0.025
OK_STATUS: Final = 200
REPLY_BY_STATUS: Final = (
    (200, Reply.already_applied),
    (202, Reply.accepted),
    (409, Reply.rejected),
    (412, Reply.fenced),
)
JSON_HEADER: Final = (b'content-type', b'application/json')


class _Group(msgspec.Struct, frozen=True, kw_only=True):
    # A rank without the name of a group belongs to none.
    name: str = msgspec.field(name='Name', default='')
    epoch: int
    rank: int
    state: str = msgspec.field(name='State')


class _Report(msgspec.Struct, frozen=True):
    group: _Group
    size: int
    step: int
    # Number of orders that the rank has accepted.
    sequence: int = msgspec.field(name='Sequence')
    # Version of the active expert map.
    expert_map: int = msgspec.field(name='ExpertMap')
    prepared: int | None = msgspec.field(name='Prepared', default=None)
    armed: Any = msgspec.field(name='Armed', default=None)
    held: int | None = None
    active: int = msgspec.field(name='Active', default=0)
    queued: int = msgspec.field(name='Queued', default=0)
    pace: float = 1
    # Start time of the process, in Unix milliseconds.
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
    """Calls one backend, one request at a time on a persistent connection.

    :param address: IP address and port.
    :param timeout_seconds: response timeout.
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

        :returns: the state, or ``None`` if the call failed.
        """
        report = await self._read('/report', _report_decoder)
        return None if report is None else self._build_state(report)

    async def read_counts(self) -> tuple[int, ...] | None:
        """Read how often each expert was selected since the rank's start.

        :returns: one count per set and expert, in set order; ``None`` if the
            call failed.
        """
        response = await self._read('/picked', _counts_decoder)
        return None if response is None else tuple(response.counts)

    async def read_experts(self) -> RankExperts | None:
        """Read which experts the active map places on the rank.

        :returns: the experts of each set, or ``None`` if the call failed.
        """
        response = await self._read('/picked?Lists=1', _lists_decoder)
        if response is None:
            return None
        return tuple(map(tuple, response.expert_map.experts))

    async def send_order(self, order: Order, guard: Guard) -> Reply:
        """Send an order.

        :param order: the order.
        :param guard: preconditions that the rank checks.
        :returns: the reply.
        """
        body = msgspec.json.encode(make_order_body(order, guard))
        response = await self._call('POST', '/order', (JSON_HEADER,), body)
        if response is None:
            return Reply.no_answer
        return dict(REPLY_BY_STATUS).get(response.status, Reply.no_answer)

    async def _read(self, path: str, decoder: Any) -> Any:
        response = await self._call('GET', path, (), b'')
        if response is None or response.status != OK_STATUS:
            return None
        try:
            return decoder.decode(response.body)
        except (msgspec.DecodeError, UnicodeError):
            self.bad_answers += 1
            return None

    async def _call(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> KeptAnswer | None:
        self.calls += 1
        request = Request(method, target, headers)
        async with self._lock:
            try:
                return await self._connection.call(
                    request, body, self._timeout_seconds
                )
            except HttpError:
                # The caller retries or skips the rank, and logs it. Whether an
                # order was applied is unknown.
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
    """Parse the armed map switch in a rank's report.

    :param raw: version and step, as an object or an array.
    :returns: the switch, or ``None``.
    """
    match raw:
        case {'Version': int(version), 'step': int(step)}:
            return Armed(version, step)
        case [int(version), int(step)]:
            return Armed(version, step)
    return None


def make_order_body(order: Order, guard: Guard) -> dict[str, Any]:
    """Build the request body of an order.

    :param order: the order.
    :param guard: preconditions that the rank checks.
    :returns: the fields of the JSON object.
    """
    fields: dict[str, Any] = {
        'FencingToken': guard.token,
        'epoch': guard.epoch,
    }
    if guard.sequence is not None:
        # Number of orders that the rank must have accepted so far.
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
