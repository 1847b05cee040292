"""Settings of the distribution of documents."""

from __future__ import annotations

import msgspec

from ospreyford.settings.types import (
    Bytes,
    Count,
    CountOrNone,
    Rate,
    Seconds,
)


class DistributionSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """How a process reads, relays and repairs documents.

    :param fleet_size: the most processes that the deployment may grow to; it
        divides ``service_calls_per_second`` into each process's share.
    :param service_calls_per_second: calls that all processes together may
        make to the configuration service.
    :param reader_calls_per_second: the most calls of one reader.
    :param readers_per_zone: processes of a zone that watch the service.
    :param rotation_seconds: how long one set of readers stays chosen.
    :param watch_seconds: how long a watch waits for a change.
    :param role_seconds: how often a process asks whether it is a reader.
    :param backoff_seconds: first wait after a failed call.
    :param backoff_limit_seconds: longest wait after failed calls.
    :param gossip_seconds: time between two rounds of rumours.
    :param fanout: peers that are offered the rumours of a round.
    :param rumour_interest: peers that knew a rumour already before it is
        dropped.
    :param rumour_offers: the most peers that one process offers a rumour to.
    :param rumour_heads: the most rumours in one offer.
    :param digest_seconds: time between two comparisons with a random peer.
    :param ask_seconds: how long to wait for a peer's answer.
    :param page_bytes: text in one message; one larger text goes alone.
    :param push_bytes_per_second: mean rate of pushed texts.
    :param push_burst_bytes: pushed texts that may go at once after a rest.
    :param stale_seconds: age of the last check from which on this process
        counts as stale.
    :param stale_peers: stale peers to compare with where no other is found.
    :param bootstrap_peers: peers that a fresh process asks in one round.
    :param bootstrap_seconds: time between two rounds of a fresh process.
    :param cold_start_rounds: rounds in a row that met fresh peers only
        before a fresh process may trust the service.
    :param cold_start_peers: live peers that must be in view for that.
    :param tombstone_seconds: how long a removed document's mark is kept at
        least; longer than most partitions and pauses.
    :param tombstone_batch: marks of that age that are collected together.
    """

    fleet_size: Count = 5_500
    service_calls_per_second: Rate = 1_000
    reader_calls_per_second: Rate = 80
    readers_per_zone: Count = 2
    rotation_seconds: Seconds = 120
    watch_seconds: Seconds = 20
    role_seconds: Seconds = 2
    backoff_seconds: Seconds = 0.5
    backoff_limit_seconds: Seconds = 16
    gossip_seconds: Seconds = 0.25
    fanout: Count = 2
    rumour_interest: Count = 3
    rumour_offers: Count = 24
    rumour_heads: Count = 64
    digest_seconds: Seconds = 1
    ask_seconds: Seconds = 0.4
    page_bytes: Bytes = 65_536
    push_bytes_per_second: Rate = 1_536
    push_burst_bytes: Bytes = 2_097_152
    stale_seconds: Seconds = 6
    stale_peers: Count = 3
    bootstrap_peers: Count = 5
    bootstrap_seconds: Seconds = 1
    cold_start_rounds: Count = 10
    cold_start_peers: CountOrNone = 1
    tombstone_seconds: Seconds = 86_400
    tombstone_batch: Count = 256
