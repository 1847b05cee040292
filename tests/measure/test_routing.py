from __future__ import annotations

import pytest

from ospreyford.measure.policies import allocate
from ospreyford.measure.routing import POLICIES, learn_rates, measure_case
from ospreyford.measure.routing_runs import Case, make_hosts
from ospreyford.measure.workload import OFFICE, QUOTATION


@pytest.mark.parametrize('policy', POLICIES)
def test_runs_are_the_same_each_time(policy: str) -> None:
    case = Case(QUOTATION._replace(slots=1), 0.8, 0.5)
    assert measure_case(case, policy) == measure_case(case, policy)


def test_allocation_gives_each_prefix_few_back_ends() -> None:
    hosts = make_hosts(OFFICE)
    rates = learn_rates(OFFICE)
    subsets = allocate(OFFICE, hosts, rates)
    assert set(subsets) == set(rates)
    assert all(subsets.values())
    # A vertex of the programme has at most one part for each constraint.
    parts = sum(len(subset) for subset in subsets.values())
    assert parts < len(rates) + len(hosts)
