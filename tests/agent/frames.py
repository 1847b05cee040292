"""Factories of frames for the agent's tests."""

from __future__ import annotations

from typing import Any

from ospreyford.wire.frame import Follow, Start

INCARNATION = 'agent-1'


def make_start(execution: str, attempt: str, **changes: Any) -> Start:
    """Make a start frame."""
    defaults: dict[str, Any] = {
        'idempotent': False,
        'fresh': False,
        'dated': 0,
        'expires': 0,
        'fingerprint': 1,
        'method': 'POST',
        'target': '/quotes',
        'headers': (),
        'body': b'',
    }
    return Start(execution=execution, attempt=attempt, **defaults | changes)


def make_follow(execution: str, attempt: str, **changes: Any) -> Follow:
    """Make a follow frame."""
    defaults: dict[str, Any] = {
        'dated': 0,
        'next_sequence': 0,
        'incarnation': INCARNATION,
        'fresh': False,
    }
    return Follow(execution=execution, attempt=attempt, **defaults | changes)
