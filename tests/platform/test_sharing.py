from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.ports.fleet import Host
from ospreyford.ports.interning import intern_host

TEXTS = st.text(max_size=4)


@settings(derandomize=True, deadline=None)
@given(
    host=st.builds(
        Host,
        *[TEXTS] * 8,
        labels=st.dictionaries(TEXTS, TEXTS, max_size=3),
    )
)
def test_equal_hosts_share_their_labels(host: Host) -> None:
    """Equal labels and strings of a decoded host list must be shared."""
    encoded = msgspec.msgpack.encode(host)
    first, second = (
        intern_host(msgspec.msgpack.decode(encoded, type=Host)) for _ in 'ab'
    )
    assert first == host == second
    assert first.labels is second.labels
    assert first.zone is second.zone
