"""Tests of the homes selected for idempotency keys."""

from __future__ import annotations

from typing import Any

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.entry.call import Call
from ospreyford.entry.homes import (
    PREVIOUS_HOME_WINDOW_MS,
    Home,
    HomeOrder,
    order_homes,
)
from ospreyford.entry.outcome import Answered
from ospreyford.wire.ids import create_id
from tests.faults.rig import CollectingSink, Rig, make_call, send

SETTINGS = settings(max_examples=150, derandomize=True, deadline=None)
NAMES = tuple(f'server-{number}' for number in range(5))
moments = st.integers(0, 12).map(
    lambda part: part * PREVIOUS_HOME_WINDOW_MS // 4
)
keys = st.text(max_size=8)
bounds = st.one_of(st.none(), moments)
declared = st.lists(
    st.builds(Home, st.sampled_from(NAMES), bounds, bounds),
    unique_by=lambda home: home.name,
).map(tuple)
permanent = st.sets(st.sampled_from(NAMES), min_size=1).map(
    lambda names: tuple(Home(name) for name in sorted(names))
)


@SETTINGS
@given(declared, keys, moments, st.randoms())
def test_order_is_independent_of_home_order(
    homes: Any, key: str, dated: int, rng: Any
) -> None:
    """All entries must compute the same order."""
    shuffled = list(homes)
    rng.shuffle(shuffled)
    order = order_homes(homes, key, dated)
    assert order_homes(tuple(shuffled), key, dated) == order
    valid = {
        home.name
        for home in homes
        if (home.since is None or home.since <= dated)
        and (home.until is None or home.until >= dated)
    }
    assert set(order.candidates) == valid
    assert order.candidates[:1] not in [(name,) for name in order.previous]


@SETTINGS
@given(permanent, keys, moments, moments)
def test_joining_home_gets_only_newer_keys(
    homes: Any, key: str, joined: int, dated: int
) -> None:
    """A late retry must not run on a home that joined after its key's date."""
    before = order_homes(homes, key, dated)
    new = Home('server-new', since=joined)
    after = order_homes((*homes, new), key, dated)
    if dated < joined:
        assert after == before
        return
    moved = after.candidates[0] == 'server-new'
    assert moved or after.candidates[0] == before.candidates[0]
    if moved and dated - joined < PREVIOUS_HOME_WINDOW_MS:
        assert after.previous == before.candidates[:1]
    else:
        assert not after.previous


@SETTINGS
@given(permanent, keys, moments, moments)
def test_leaving_home_keeps_older_keys(
    homes: Any, key: str, left: int, dated: int
) -> None:
    before = order_homes(homes, key, dated)
    former = homes[0]._replace(until=left)
    after = order_homes((former, *homes[1:]), key, dated)
    if dated <= left:
        assert after == before
        return
    assert after.candidates == tuple(
        name for name in before.candidates if name != former.name
    )
    if (
        before.candidates[0] == former.name
        and dated - left <= PREVIOUS_HOME_WINDOW_MS
    ):
        assert after.previous == (former.name,)
    else:
        assert not after.previous


def test_key_without_valid_homes_has_no_candidates() -> None:
    """An empty set of homes must not raise an error."""
    over = (Home('a', since=10, until=15), Home('b', until=12))
    assert order_homes(over, 'key', 20) == HomeOrder(('a', 'b'), ())
    assert order_homes((), 'key', 20) == HomeOrder((), ())


def make_keyed_call(homes: Any) -> Call:
    """Make a call whose key has its home on the first server."""
    while True:
        call = make_call(b'a', idempotent=False, key=create_id())
        key_identity = f'c/svc/{call.key}'
        if (
            order_homes(homes, key_identity, call.dated).candidates[0]
            == 'server-0'
        ):
            return call


@pytest.mark.parametrize('listed', [True, False])
def test_key_does_not_run_again_after_its_home_left(listed: bool) -> None:
    """A former home must be queried, since a stale entry may have used it."""

    async def main() -> tuple[Any, int]:
        async with Rig([], []) as rig:
            before = rig.plan.homes
            call = make_keyed_call(before)
            over = (before[0]._replace(until=call.dated - 1), before[1])
            plan = rig.plan._replace(homes=over)
            if listed:
                await send(rig, rig.make_entry(1), call)
            else:
                rig.directory.hosts.pop('server-0')
            entry = rig.make_entry(2)
            outcome = await entry.dispatch(call, plan, CollectingSink())
            return outcome, rig.count_runs(b'a')

    assert curio.run(main) == (Answered(), 1)
