"""Settings of the agent's execution record and service."""

from __future__ import annotations

import msgspec

from ospreyford.settings.types import Bytes, Count, Seconds


class RecordSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Bounds of the execution record.

    :param retention_seconds: how long a key of a non-idempotent request is
        known after its date. An older key is refused as of unknown outcome.
    :param linger_seconds: how long a finished idempotent answer can still be
        fetched on a fresh connection.
    :param tombstone_seconds: how long a voided id is refused; longer than any
        request's deadline plus twice the clock skew.
    :param skew_seconds: the largest difference between two hosts' clocks.
    :param max_entries: executions and tombstones held at once.
    :param max_answer_bytes: bytes of one answer kept for a later retry.
    :param max_running_bytes: bytes of all running answers together; beyond it
        the largest one is dropped, its outcome unknown.
    """

    retention_seconds: Seconds = 600
    linger_seconds: Seconds = 5
    tombstone_seconds: Seconds = 150
    skew_seconds: Seconds = 2
    max_entries: Count = 20_000
    max_answer_bytes: Count = 65_536
    max_running_bytes: Bytes = 67_108_864


class ServiceSettings(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Times of an agent's connections.

    :param beat_seconds: interval of heartbeats while an answer is awaited.
    :param silence_seconds: without a heartbeat for so long the entry is taken
        for lost and the connection closed.
    :param idle_seconds: rest of a connection between two requests.
    :param orphan_seconds: how long an idempotent execution goes on with
        nobody following it.
    :param run_seconds: longest run of a non-idempotent request; beyond it the
        outcome is unknown.
    :param load_seconds: interval of load readings at the engine.
    :param connect_seconds: longest wait for a connection to the back end.
    """

    beat_seconds: Seconds = 0.25
    silence_seconds: Seconds = 2
    idle_seconds: Seconds = 60
    orphan_seconds: Seconds = 3
    run_seconds: Seconds = 120
    load_seconds: Seconds = 0.5
    connect_seconds: Seconds = 1
