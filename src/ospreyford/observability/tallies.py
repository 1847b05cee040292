"""Numbers that other objects keep, served among the metrics."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from prometheus_client import Gauge

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


def serve_tally(
    registry: CollectorRegistry, name: str, text: str, owner: Any, field: str
) -> None:
    """Serve an attribute of an object, as it is when it is asked for.

    :param registry: the process's metrics.
    :param name: the metric's name.
    :param text: what it says.
    :param owner: the object; keeps the number.
    :param field: the attribute's name.
    """
    gauge = Gauge(name, text, registry=registry)
    gauge.set_function(partial(getattr, owner, field))
