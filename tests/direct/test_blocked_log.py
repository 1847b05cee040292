"""An entry whose log is not read."""

from __future__ import annotations

import os

import curio

from ospreyford.direct.catalog import RetryMode
from ospreyford.observability.lines import DescriptorSink
from ospreyford.observability.logs import ChangeLog
from ospreyford.settings.sections import Identity, Logs
from tests.direct import backends as be
from tests.direct.test_program import Entry

ONCE = be.make_route(RetryMode.once)
IDENTITY = Identity(name='entry', instance='entry', zone='a', region='r')
#: More lines than the buffer and the pipe hold.
REQUESTS = 40
BUFFERED_LINES = 10


async def serve_all(log: ChangeLog) -> list[int]:
    site = await be.open_site(ONCE, be.answer)
    site.log = log  # type: ignore[assignment]
    entry = Entry(site)
    await entry.start()
    statuses = []
    for _ in range(REQUESTS):
        connection = await entry.ask()
        head = await curio.timeout_after(5, connection.read_head)
        statuses.append(head.status)
        await connection.close()
    return statuses


def test_a_blocked_standard_output_does_not_block_requests() -> None:
    """A full standard output pipe must not block requests."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    filled = 0
    try:
        while True:
            filled += os.write(writer, bytes(4096))
    except BlockingIOError:
        os.set_blocking(writer, True)
    log = ChangeLog(
        Logs(max_buffered_lines=BUFFERED_LINES),
        IDENTITY,
        DescriptorSink(writer),
    )
    statuses = curio.run(serve_all, log)
    assert filled
    assert statuses == [200] * REQUESTS
    # All lines but those in the buffer and the writer thread are dropped.
    assert log.writer.dropped >= REQUESTS - BUFFERED_LINES - 1
    os.close(reader)
    assert log.close()
    os.close(writer)
