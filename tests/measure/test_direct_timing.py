from __future__ import annotations

import os
from typing import Any

import curio
import pytest

from ospreyford.measure import direct_timing


@pytest.mark.parametrize('streams', [False, True])
def test_an_entry_is_measured_with_whole_answers(
    streams: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    answered = []

    async def count(exchange: Any) -> None:
        answered.append(exchange.request)
        if streams:
            await direct_timing.Streamer(3).answer(exchange)
        else:
            await direct_timing.answer(exchange)

    monkeypatch.setattr(direct_timing, 'ROUNDS', 2)
    with open(os.devnull, 'wb') as sink:
        added = direct_timing.measure_added(
            count, streams=streams, log=sink.fileno()
        )
        assert isinstance(curio.run(added), float)
    # Twice through the entry, bound to an instance, and twice past it.
    names = [dict(request.headers) for request in answered]
    assert [b'x-instance' in fields for fields in names] == [
        True,
        True,
        False,
        False,
    ]
