from __future__ import annotations

import curio
import pytest

from ospreyford.standins.controls import Reply, ask, control, read_journal
from ospreyford.standins.launcher import Launcher
from ospreyford.standins.weightstore import TokenBucket, make_weights


@pytest.mark.parametrize(
    ('takes', 'waits'),
    [
        ([(40, 0), (60, 0), (1, 0)], [0, 0, 1]),
        ([(250, 0), (1, 0), (1, 2)], [0, 1.5, 0]),
        ([(100, 0), (1, 0.5)], [0, 0]),
        ([(100, 50), (100, 50)], [0, 1]),
    ],
)
def test_bucket_lends_its_rate(
    takes: list[tuple[int, float]], waits: list[float]
) -> None:
    bucket = TokenBucket(100, 0)
    assert [bucket.take(size, now) for size, now in takes] == waits


def test_journal_counts_the_bytes(launcher: Launcher) -> None:
    options = ('--expert-bytes', 30, '--bytes-per-second', 0.001)
    module = 'ospreyford.standins.weightstore'
    port = launcher.start(module, *options).port
    replies: list[Reply] = [
        curio.run(ask, port, 'GET', '/v1/weights/m/e1') for _ in range(2)
    ]
    assert [reply.status for reply in replies] == [200, 429]
    assert replies[0].body == make_weights('m', 'e1', 30)
    assert int(replies[1].find(b'retry-after')) >= 1
    curio.run(control, port, {'mode': 'down'})
    down = curio.run(ask, port, 'GET', '/v1/weights/m/e1')
    sizes = [entry.note['size'] for entry in curio.run(read_journal, port)]
    assert (down.status, sizes) == (503, [30, 0])
