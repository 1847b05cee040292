"""Tests that are known to fail: run, expected to, and never skipped."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED = Path(__file__).parents[1] / 'KNOWN-RED.txt'
SEPARATOR = ' | '


class Entry(NamedTuple):
    """One line of the list.

    :param test: the test's id as pytest prints it.
    :param reason: command and seed, what was seen, and the issue.
    """

    test: str
    reason: str


def read_entries(path: Path) -> list[Entry]:
    """Read the list of known failures.

    :param path: a file with one entry a line, its parts separated by bars.
    :returns: the entries.
    :raises ValueError: a line without a reason.
    """
    entries = []
    for line in path.read_text().splitlines():
        if not line.strip():
            continue
        test, separator, reason = line.partition(SEPARATOR)
        if not separator or not reason.strip():
            raise ValueError(f'no reason for {test}')
        entries.append(Entry(test.strip(), reason.strip()))
    return entries


def expect_failures(
    tests: list[pytest.Item], entries: list[Entry]
) -> list[str]:
    """Mark the listed tests as expected to fail.

    :param tests: the tests that were collected.
    :param entries: the list.
    :returns: listed tests that were not collected.
    """
    reasons = dict(entries)
    for test in tests:
        reason = reasons.pop(test.nodeid, None)
        if reason is not None:
            test.add_marker(pytest.mark.xfail(reason=reason, strict=True))
    return list(reasons)
