"""Load of each backend made comparable."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.routing.backend import Backend, RemoteLoad

#: Bounds of the factor by which a step slower or faster than the pool's
#: median weighs: beyond them a report is rather wrong than right.
MAX_SLOWNESS = 8.0
MIN_SLOWNESS = 0.5

Scores = dict['Backend', float]


class _Means(NamedTuple):
    remote_requests: float
    step_seconds: float


def score_backends(backends: Sequence[Backend], now: float) -> Scores:
    """Weigh the load of each backend by its speed and slow start.

    :param backends: the backends to compare.
    :param now: seconds on the monotonic clock.
    :returns: score of each; lower is better, in requests on a backend of
        median speed.
    """
    reported = [backend.estimate_remote_load(now) for backend in backends]
    means = _compute_means(backends, reported)
    return {
        backend: _compute_score(backend, remote_load, means, now)
        for backend, remote_load in zip(backends, reported, strict=True)
    }


def _compute_means(
    backends: Sequence[Backend], reported: Sequence[RemoteLoad]
) -> _Means:
    weight = sum(report.weight for report in reported)
    requests = sum(report.weight * report.requests for report in reported)
    steps = [backend.step_seconds for backend in backends]
    # With less than one fresh report's worth the mean fades, too: after the
    # reports of all backends stop, their last ones would otherwise count
    # for ever, and a busy moment would become an overload without end.
    return _Means(requests / max(1, weight), median(steps))


def _compute_score(
    backend: Backend, reported: RemoteLoad, means: _Means, now: float
) -> float:
    load = backend.estimate_load(reported, means.remote_requests)
    slowness = 1.0
    if backend.step_seconds and means.step_seconds:
        ratio = backend.step_seconds / means.step_seconds
        slowness = max(MIN_SLOWNESS, min(MAX_SLOWNESS, ratio))
    # One is added so that among idle backends, too, the slow or fresh one
    # comes last.
    return (load + 1) * slowness / backend.compute_slow_start_share(now)
