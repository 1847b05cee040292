"""The list of known failures hides nothing and outlives no fault."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.known_red import Entry, read_entries

pytest_plugins = ('pytester',)

CONFTEST = """
from tests.known_red import Entry, expect_failures

def pytest_collection_modifyitems(items):
    expect_failures(items, [Entry('test_it.py::test_listed', 'why')])
"""
CASES = (
    # A listed test that fails lets the run pass; one that passes does not.
    ('assert False', {'xfailed': 1}, 0),
    ('assert True', {'failed': 1}, 1),
)


@pytest.mark.parametrize(('body', 'outcomes', 'code'), CASES)
def test_a_listed_test_must_fail(
    pytester: pytest.Pytester, body: str, outcomes: dict[str, int], code: int
) -> None:
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(test_it=f'def test_listed():\n    {body}\n')
    ran = pytester.runpytest()
    ran.assert_outcomes(**outcomes)
    assert ran.ret == code


def test_the_list_is_read_line_by_line(tmp_path: Path) -> None:
    listed = tmp_path / 'list'
    listed.write_text('a.py::b | make test | seen | issue 1\n\n')
    assert read_entries(listed) == [
        Entry('a.py::b', 'make test | seen | issue 1')
    ]


def test_a_line_must_say_why(tmp_path: Path) -> None:
    listed = tmp_path / 'list'
    listed.write_text('a.py::b\n')
    with pytest.raises(ValueError, match='no reason'):
        read_entries(listed)
