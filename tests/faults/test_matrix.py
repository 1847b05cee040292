"""Every fault at every step of the request path, alone.

Symptom looked for: a caller gets a part of an answer as the whole, somebody
else's answer, "not run" for what ran; or a non-idempotent request runs twice.
Sequence: a request is sent; one named frame between entry and agent is lost,
late, doubled, overtaken or crossed, or is the last before the connection goes
silent, is cut in one direction or breaks, or before the agent is killed or
paused; then the caller retries with its key through other entries.
Cause: any guard of the request path left out. The pairs run in
``make faults``.
"""

from __future__ import annotations

import curio
import pytest

from tests.faults import cells
from tests.faults.cells import Cell, Mode, Verdict, list_single_cells, run_cells

AT_ONCE = 24


@pytest.fixture(scope='module')
def verdicts() -> dict[Cell, Verdict]:
    ran = curio.run(run_cells, list_single_cells(), AT_ONCE)
    return {verdict.cell: verdict for verdict in ran}


@pytest.mark.parametrize('cell', list_single_cells(), ids=str)
def test_promises_hold(cell: Cell, verdicts: dict[Cell, Verdict]) -> None:
    assert verdicts[cell].broken == []


@pytest.mark.parametrize(
    ('mode', 'least'),
    [(Mode.idempotent, 0.9), (Mode.keyed, 0.6), (Mode.unkeyed, 0.7)],
)
def test_most_faults_are_survived(
    mode: Mode, least: float, verdicts: dict[Cell, Verdict]
) -> None:
    # A system that answers nothing would break no promise either.
    outcomes = [
        verdict.outcome
        for verdict in verdicts.values()
        if verdict.cell.mode is mode
    ]
    assert outcomes.count('answered') > least * len(outcomes)


async def fail_to_run(cell: Cell) -> Verdict:
    raise OSError(cell)


def test_a_cell_that_cannot_run_is_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The matrix says "0 failed" although half of its cells never ran.

    Sequence: no port is left on the machine; a cell cannot be set up.
    Cause: a task group keeps the error of its task to itself.
    """
    monkeypatch.setattr(cells, 'run_cell', fail_to_run)
    with pytest.raises(OSError, match='idempotent'):
        curio.run(run_cells, list_single_cells()[:2], 1)
