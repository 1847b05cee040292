from __future__ import annotations

import curio

from ospreyford.measure.bench_site import KINDS, make_plan
from ospreyford.measure.loadgen import Generator
from ospreyford.standins.controls import read_journal
from ospreyford.standins.launcher import Launcher

MODULE = 'ospreyford.standins.relay'


def test_two_relays_pass_each_request_once(launcher: Launcher) -> None:
    # The baseline must do the same work as what it is compared with: every
    # request reaches the back end, once, and its whole answer comes back.
    plain = launcher.start('ospreyford.standins.plain')
    back = launcher.start(MODULE, '--next-port', plain.port)
    front = launcher.start(MODULE, '--next-port', back.port)
    for kind in (KINDS['plain'], KINDS['keyed']):
        plan = make_plan(kind, front.port)
        result = curio.run(Generator(plan).run)
        assert result.answered and not result.failed
        entries = curio.run(read_journal, plain.port)
        event = kind.target.split('/')[1]
        ran = [entry for entry in entries if entry.event == event]
        assert len(ran) == result.answered
    assert len({entry.key for entry in ran}) == result.answered


def test_a_stream_comes_through_line_by_line(launcher: Launcher) -> None:
    engine = launcher.start('ospreyford.standins.engine')
    front = launcher.start(MODULE, '--next-port', engine.port)
    result = curio.run(Generator(make_plan(KINDS['streamed'], front.port)).run)
    assert result.answered and not result.failed
    # 64 tokens and the end mark's line.
    assert result.lines == result.answered * 65


def test_a_dead_back_end_counts_as_failed(launcher: Launcher) -> None:
    # Symptom: the bench praises a way that answers nothing.
    # Sequence: the back end is gone; the relay closes its connections.
    # Cause: failures that are not counted.
    plain = launcher.start('ospreyford.standins.plain')
    front = launcher.start(MODULE, '--next-port', plain.port)
    plain.kill()
    result = curio.run(Generator(make_plan(KINDS['plain'], front.port)).run)
    assert result.failed and not result.answered
