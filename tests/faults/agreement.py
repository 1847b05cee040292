"""The sections on the agreement without a store."""

from __future__ import annotations

from types import MappingProxyType

from tests.faults.documents import DOCUMENTS
from tests.faults.limits import LIMITS
from tests.faults.maps import MAPS
from tests.faults.members import MEMBERS
from tests.faults.sections import Finding, Trial

SECTIONS = MappingProxyType(
    {section.name: section for section in (MAPS, DOCUMENTS, MEMBERS, LIMITS)}
)


def judge(trial: Trial) -> Finding:
    """Run a cell of any section."""
    return SECTIONS[trial.section].judge(trial)
