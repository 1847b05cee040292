"""Number of entries that share the fixed part of the retry budget."""

from __future__ import annotations

import pytest

from ospreyford.direct.retryshare import RetryShare

NOW = 100.0
#: Times in seconds and value of earlier reports, entries in those of the last
#: seconds, if there are any, and the result.
REPORTS = (
    ((), 0, None, 32),
    # Contact is settled after 1.5 s.
    ((), 0, 99, 32),
    ((), 0, 98, 3),
    # Entries that were counted in the last minute keep their part.
    ((45,), 6, 97, 6),
    ((35,), 6, 97, 3),
    # Without contact the fleet may have grown.
    ((90, 91, 92), 3, None, 32),
    ((90, 91, 92), 35, None, 140),
    # Reports that waited while the process was paused are old.
    ((90, 91, 92), 35, 100, 140),
)


@pytest.mark.parametrize(('earlier', 'known', 'since', 'entries'), REPORTS)
def test_entries_are_not_undercounted(
    earlier: tuple[float, ...], known: int, since: int | None, entries: int
) -> None:
    """Too small a number lets all retries together exceed the budget."""
    share = RetryShare(assumed_entries=8)
    for at in earlier:
        share.record_count(known, at)
    for second in range(since or int(NOW) + 1, int(NOW) + 1):
        share.record_count(3, second)
    assert share.count_entries(NOW) == entries
