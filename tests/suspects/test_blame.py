"""Which of several suspects is blamed for crashes."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyford.suspects.blame import find_blamed
from ospreyford.suspects.bursts import WINDOW_SECONDS
from ospreyford.suspects.suspect import Strike, Suspect

LIMIT = 2
GAP_SECONDS = 5.0


class Case(NamedTuple):
    """Suspects and who is blamed.

    :param parts: prompt parts, each with the crashes at which it was.
    :param requests: the same of whole requests.
    :param blamed: the blamed, each with all that are equally suspect.
    """

    parts: str
    requests: str
    blamed: str


CASES = (
    Case('', '', ''),
    Case('p:1', 'x:1', ''),
    # All requests with one part, no two alike.
    Case('p:12', 'x:1 y:2', 'p:p'),
    # One request again and again.
    Case('', 'x:12 y:2', 'x:x'),
    # What was there at some of the crashes is explained by what was at all.
    Case('p:123 f:13', 'x:23', 'p:p'),
    # Two parts that were always together cannot be told apart.
    Case('p:12 r:12', '', 'p:pr r:pr'),
    # Two parts at fault, each with crashes of its own.
    Case('p:123 q:45', '', 'p:p q:q'),
    Case('p:123 q:34', '', 'p:p'),
    Case('p:12 q:23', '', 'p:p q:q'),
    # A part that much of the traffic shares is on many ranks of a lost rack.
    Case('f:1111', 'x:1', ''),
    Case('f:111 p:122', '', 'p:p'),
)


def parse(text: str) -> dict[str, str]:
    pairs = (one.split(':') for one in text.split())
    return dict(pairs)


def make_suspects(crashes: dict[str, str], *, is_part: bool) -> list[Suspect]:
    found = []
    for name, numbers in crashes.items():
        # Crashes of one moment are of several backends.
        strikes = {
            10 * int(number) + numbers[:place].count(number): Strike(
                False, int(number) * GAP_SECONDS
            )
            for place, number in enumerate(numbers)
        }
        found.append(
            Suspect(name.encode(), '', name, LIMIT, strikes, is_part=is_part)
        )
    return found


@pytest.mark.parametrize('case', CASES)
def test_blame(case: Case) -> None:
    """The part at fault must be blocked, and nothing that ran beside it."""
    suspects = make_suspects(parse(case.parts), is_part=True)
    suspects += make_suspects(parse(case.requests), is_part=False)
    blamed = find_blamed(suspects)
    assert {
        one.decode(): ''.join(sorted(other.decode() for other in equal))
        for one, equal in blamed.items()
    } == parse(case.blamed)


#: What else was on the backend at each crash of part ``p``.
BESIDE = st.lists(st.sets(st.sampled_from('abcdefgh')), min_size=3, max_size=9)


@settings(derandomize=True, deadline=None)
@given(beside=BESIDE)
def test_part_at_fault_is_always_blamed(beside: list[set[str]]) -> None:
    """Whatever runs beside it, and only what was at as many crashes with it."""
    crashes = {'p': ''.join(map(str, range(len(beside))))}
    for number, names in enumerate(beside):
        for name in names:
            crashes[name] = f'{crashes.get(name, "")}{number}'
    blamed = find_blamed(make_suspects(crashes, is_part=True))
    assert b'p' in blamed
    assert blamed.keys() == blamed[b'p']
    for identity in blamed:
        assert crashes[identity.decode()] == crashes['p']


@pytest.mark.parametrize(
    ('gap', 'is_blamed'),
    [(WINDOW_SECONDS, False), (WINDOW_SECONDS * 1.1, True)],
)
def test_crashes_of_one_moment(gap: float, is_blamed: bool) -> None:
    strikes = {1: Strike(False, 9), 2: Strike(False, 9 + gap)}
    part = Suspect(b'f', '', 'f', LIMIT, strikes, is_part=True)
    assert bool(find_blamed([part])) is is_blamed
