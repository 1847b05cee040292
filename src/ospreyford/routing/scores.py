"""Load scores of backends, adjusted for speed and slow start."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ospreyford.routing.backend import Backend, RemoteLoad

#: Bounds of the step time relative to the pool's median, against outliers.
MAX_SLOWNESS = 8.0
MIN_SLOWNESS = 0.5

Scores = dict['Backend', float]


class _Means(NamedTuple):
    remote_requests: float
    step_seconds: float


def score_backends(backends: Sequence[Backend], now: float) -> Scores:
    """Score backends by load, speed and slow start.

    :param backends: the backends to compare.
    :param now: seconds on the monotonic clock.
    :returns: scores, in requests on a backend of median speed; lower is better.
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
    # Below a total weight of 1 the mean decays too: otherwise an overload
    # would persist after all backends stop reporting.
    return _Means(requests / max(1, weight), median(steps))


def _compute_score(
    backend: Backend, reported: RemoteLoad, means: _Means, now: float
) -> float:
    load = backend.estimate_load(reported, means.remote_requests)
    slowness = 1.0
    if backend.step_seconds and means.step_seconds:
        ratio = backend.step_seconds / means.step_seconds
        slowness = max(MIN_SLOWNESS, min(MAX_SLOWNESS, ratio))
    # Adding 1 makes speed and slow start count among idle backends, too.
    return (load + 1) * slowness / backend.compute_slow_start_share(now)
