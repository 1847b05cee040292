"""Load of each back end made comparable."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.routing.backend import Backend, Others

#: Bounds of the factor by which a step slower or faster than the pool's
#: median weighs: beyond them a report is rather wrong than right.
SLOWEST = 8.0
FASTEST = 0.5

Scores = dict['Backend', float]


class _Means(NamedTuple):
    others: float
    step_seconds: float


def score_backends(backends: Sequence[Backend], now: float) -> Scores:
    """Weigh the load of each back end by its speed and slow start.

    :param backends: the back ends to compare.
    :param now: seconds on the monotonic clock.
    :returns: score of each; lower is better, in requests on a back end of
        median speed.
    """
    reported = [backend.others(now) for backend in backends]
    means = _measure(backends, reported)
    return {
        backend: _weigh(backend, others, means, now)
        for backend, others in zip(backends, reported, strict=True)
    }


def _measure(backends: Sequence[Backend], reported: Sequence[Others]) -> _Means:
    weight = sum(report.weight for report in reported)
    others = sum(report.weight * report.requests for report in reported)
    steps = [backend.step_seconds for backend in backends]
    # With less than one fresh report's worth the mean fades, too: after the
    # reports of all back ends stop, their last ones would otherwise count
    # for ever, and a busy moment would become an overload without end.
    return _Means(others / max(1, weight), median(steps))


def _weigh(
    backend: Backend, reported: Others, means: _Means, now: float
) -> float:
    load = backend.load(reported, means.others)
    slowness = 1.0
    if backend.step_seconds and means.step_seconds:
        ratio = backend.step_seconds / means.step_seconds
        slowness = max(FASTEST, min(SLOWEST, ratio))
    # One is added so that among idle back ends, too, the slow or fresh one
    # comes last.
    return (load + 1) * slowness / backend.share(now)
