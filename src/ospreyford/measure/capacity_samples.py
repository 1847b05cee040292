"""State at the size to design for, made by the code that runs."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

import msgspec

from ospreyford.agent.execution import Execution
from ospreyford.distribution.entries import Entry
from ospreyford.hosts.messages import HostRow, decode_host
from ospreyford.measure.capacity_size import NODES, ZONES
from ospreyford.measure.samples import (
    REGIONS,
    SEED,
    make_hosts,
    write_customers,
    write_others,
)
from ospreyford.membership.member import Member
from ospreyford.membership.service import Membership
from ospreyford.membership.settings import MembershipSettings
from ospreyford.platform.hostlist import HostTable
from ospreyford.ports.clock import SystemClock
from ospreyford.ports.fleet import Host, LoadReport
from ospreyford.ports.peers import Handler
from ospreyford.wire.frame import Start
from ospreyford.wire.ids import create_id

#: Bytes of one token's piece of a streamed answer, an event with JSON.
PIECE_BYTES = 60
PER_NETWORK = 250
CUSTOMERS_A_DOCUMENT = 100
OK_STATUS = 200
BYTE_VALUES = 256


class SilentPeers:
    """A port that nobody answers on."""

    async def ask(
        self, address: str, topic: str, body: bytes, timeout: float
    ) -> bytes | None:
        """Get no answer.

        :param address: not used.
        :param topic: not used.
        :param body: not used.
        :param timeout: not used.
        :returns: ``None``.
        """

    def serve(self, topic: str, handler: Handler) -> None:
        """Forget the handler.

        :param topic: not used.
        :param handler: not used.
        """


def encode_fleet() -> bytes:
    """Encode the host list of the whole fleet as the platform sends it.

    :returns: JSON.
    """
    backends = (_address(*pair) for pair in enumerate(make_hosts()))
    entries = (_make_entry(number) for number in range(NODES))
    rows = [HostRow(**host._asdict()) for host in (*backends, *entries)]
    return msgspec.json.encode(HostTable(tuple(rows)))


def decode_fleet(body: bytes) -> tuple[Host, ...]:
    """Decode a host list as ``platform.hostlist`` does.

    :param body: JSON.
    :returns: the hosts.
    """
    table = msgspec.json.decode(body, type=HostTable)
    return tuple(map(decode_host, table.hosts))


def make_membership() -> Membership:
    """Make an entry's membership that knows nobody yet.

    :returns: the membership.
    """
    return Membership(
        MembershipSettings(),
        Member(
            name='entry-0',
            instance='instance-0',
            role='entry',
            zone='zone-0',
            region='region-0',
            service='',
            data_address='10.2.0.1:7000',
            peer_address='10.2.0.1:7001',
            incarnation=format(1, '016x'),
        ),
        SilentPeers(),
        SystemClock(),
        Random(SEED),
    )


def write_entries() -> Iterator[Entry]:
    """Write all published documents.

    :yields: 37,000 customers in documents of 100, and the other kinds.
    """
    texts = (*write_customers(CUSTOMERS_A_DOCUMENT), *write_others())
    for number, text in enumerate(texts):
        yield Entry(f'document-{number}', number + 1, text.encode())


def make_start(*, idempotent: bool) -> Start:
    """Make the frame that starts an execution.

    :param idempotent: whether it may run more than once.
    :returns: the frame.
    """
    return Start(
        execution=create_id(),
        attempt=create_id(),
        idempotent=idempotent,
        fresh=True,
        dated=0,
        expires=0,
        fingerprint=0,
        method='POST',
        target='/v1/completions',
        headers=(),
        body=b'',
    )


async def answer(
    execution: Execution, pieces: tuple[int, int], ended: float | None
) -> None:
    """Add the frames of an answer to an execution.

    :param execution: the execution.
    :param pieces: pieces of the body, and bytes of each.
    :param ended: monotonic seconds at its end, or ``None``.
    """
    count, size = pieces
    await execution.add_head(OK_STATUS, ())
    for number in range(count):
        # Each piece has bytes of its own, as those read from a socket have.
        await execution.add_piece(bytes([number % BYTE_VALUES]) * size)
    if ended is not None:
        await execution.finish(LoadReport(incarnation='agent'), ended)


def _make_entry(number: int) -> Host:
    zone = number % ZONES
    region = zone % REGIONS
    host = Host(
        name=f'entry-{number}',
        instance=f'entry-instance-{number}',
        role='entry',
        zone=f'zone-{zone}',
        region=f'region-{region}',
        service='',
        data_address='',
        peer_address='',
    )
    return _address(number, host)


def _address(number: int, host: Host) -> Host:
    high, low = divmod(number, PER_NETWORK)
    return host._replace(
        data_address=f'10.1.{high}.{low}:7000',
        peer_address=f'10.1.{high}.{low}:7001',
    )
