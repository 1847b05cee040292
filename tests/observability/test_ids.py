from __future__ import annotations

import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from opentelemetry.sdk.trace.sampling import Decision, TraceIdRatioBased

from ospreyford.observability.ids import make_id, make_sampler

LAST_ID = (1 << 128) - 1
CHECK = """
import sys
import ospreyford.console.{program}
sys.exit(' '.join(name for name in sys.modules if name.startswith({heavy!r})))
"""


@settings(derandomize=True, deadline=None)
@given(ratio=st.floats(0, 1), trace_id=st.integers(1, LAST_ID))
def test_samples_what_the_sdk_would(ratio: float, trace_id: int) -> None:
    verdict = TraceIdRatioBased(ratio).should_sample(None, trace_id, '')
    sampled = verdict.decision is Decision.RECORD_AND_SAMPLE
    assert make_sampler(ratio)(trace_id) is sampled


@pytest.mark.parametrize('bits', [1, 64, 128])
def test_ids_are_within_their_bits(bits: int) -> None:
    assert 0 < make_id(bits) < 1 << bits


@pytest.mark.parametrize('program', ['entry', 'agent'])
def test_a_program_imports_no_sdk(program: str) -> None:
    """A process took 47 MB of its 64 before any state.

    Symptom: a resident set beyond the bound. Sequence: the program is
    imported. Cause: it imports packages that only an exporter uses.
    """
    check = CHECK.format(program=program, heavy='opentelemetry.sdk')
    done = subprocess.run(
        [sys.executable, '-c', check],
        check=False,
        capture_output=True,
        text=True,
    )
    assert done.stderr == '\n'
