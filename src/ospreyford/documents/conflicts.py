"""Which of several documents wins, and by which rule."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ospreyford.documents.selectors import Specificity
from ospreyford.documents.values import PublishedDocument


class Rule(StrEnum):
    """What settled a conflict."""

    more_specific = 'more-specific'
    higher_priority = 'higher-priority'
    first_name = 'first-name'
    strictest = 'strictest'
    latest = 'latest'


class ConflictKind(StrEnum):
    """What the documents disagree about."""

    routing = 'routing'
    limit = 'limit'
    pool = 'pool'
    service = 'service'
    placement = 'placement'
    customer_label = 'customer-label'
    host_label = 'host-label'


class Conflict(NamedTuple):
    """Two documents that disagree.

    ``subject`` names what about: a pool, a service, a limit's key, a label.
    """

    kind: ConflictKind
    subject: str
    winner: str
    loser: str
    rule: Rule

    @property
    def documents(self) -> tuple[str, str]:
        """Name both documents.

        :returns: the winner's name and the loser's.
        """
        return (self.winner, self.loser)


#: Of documents that have no selector.
ZERO_SPECIFICITY = Specificity(0, 0)


class Precedence(NamedTuple):
    """Orders the documents about one thing; the smallest wins."""

    terms: int
    equals: int
    priority: int
    name: str


def compute_precedence(
    name: str,
    body: PublishedDocument,
    specificity: Specificity = ZERO_SPECIFICITY,
) -> Precedence:
    """Give a document's place in the order of precedence.

    :param name: the document's name.
    :param body: its content.
    :param specificity: how narrow its selectors are.
    :returns: the sorting key: narrower selectors first, then the higher
        priority, then the name in the order of its characters.
    """
    return Precedence(
        -specificity.terms,
        -specificity.equals,
        -body.priority,
        name,
    )


def find_deciding_rule(winner: Precedence, loser: Precedence) -> Rule:
    """Say by which rule one document wins over another.

    :param winner: the smaller key.
    :param loser: the greater key.
    :returns: the first rule in which they differ.
    """
    if winner[:2] != loser[:2]:
        return Rule.more_specific
    if winner.priority != loser.priority:
        return Rule.higher_priority
    return Rule.first_name
