"""Settings of the router."""

from __future__ import annotations

import msgspec

from ospreyford.settings.types import Count, Positive, Ratio


class EjectionSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of the ejection and readmission of backends.

    :param failures: consecutive failures that eject.
    :param latency_ratio: multiple of the peers' median latency that ejects.
    :param latency_samples: finished requests needed before latency counts.
    :param base_seconds: length of the first ejection; doubles each time.
    :param max_seconds: longest ejection.
    :param probe_successes: successful probes that re-admit.
    :param panic_ratio: when the admitted share of the usable back ends is
        below this, ejection is ignored.
    """

    failures: Count = 5
    latency_ratio: Positive = 3
    latency_samples: Count = 10
    base_seconds: Positive = 5
    max_seconds: Positive = 120
    probe_successes: Count = 3
    panic_ratio: Ratio = 0.5


class BudgetSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of the retry and hedge budgets.

    :param retry_ratio: retries at one back end earned by one first attempt
        at it; the ratio over a whole entry is that of the routing intent.
    :param hedge_ratio: hedges of all intents together earned by one first
        attempt at an entry.
    :param burst: extra attempts saved up at most, and held at the start, in
        each budget.
    """

    retry_ratio: Ratio = 0.1
    hedge_ratio: Ratio = 0.02
    burst: Positive = 10


class RoutingSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of the router.

    :param local_size: back ends of the own zone that an entry follows.
    :param spill_size: back ends of other zones that an entry follows.
    :param choices: back ends compared by load for each request.
    :param max_load: requests on one back end above which it takes no more.
    :param tokens_per_request: queued prompt tokens that weigh as one request.
    :param zone_penalty: requests of load that a back end of another zone
        must be better by.
    :param region_penalty: the same for a back end of another region.
    :param load_decay_seconds: age at which a load report has lost 63 % of
        its weight.
    :param affinity_gain: requests of load that a cached prefix is worth.
    :param prefix_buckets: distinct homes that prefixes are hashed to.
    :param slow_start_seconds: time over which a fresh back end comes to its
        full share.
    :param version_label: host label that names the model version.
    :param adapter_label: host label that lists the loaded adapters, divided
        by spaces.
    :param retry_after_seconds: when to come back if nothing better is known.
    :param ejection: see :class:`EjectionSettings`.
    :param budget: see :class:`BudgetSettings`.
    """

    local_size: Count = 24
    spill_size: Count = 8
    choices: Count = 2
    max_load: Positive = 64
    tokens_per_request: Positive = 2000
    zone_penalty: float = 1
    region_penalty: float = 8
    load_decay_seconds: Positive = 2
    affinity_gain: float = 6
    prefix_buckets: Count = 512
    slow_start_seconds: Positive = 20
    version_label: str = 'model-version'
    adapter_label: str = 'adapters'
    retry_after_seconds: Positive = 1
    ejection: EjectionSettings = EjectionSettings()
    budget: BudgetSettings = BudgetSettings()
