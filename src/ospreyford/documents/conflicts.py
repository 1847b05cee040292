"""Precedence between conflicting documents."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ospreyford.documents.selectors import Specificity
from ospreyford.documents.values import PublishedDocument


class Rule(StrEnum):
    """The rule that decided a conflict."""

    more_specific = 'more-specific'
    higher_priority = 'higher-priority'
    first_name = 'first-name'
    strictest = 'strictest'
    latest = 'latest'


class ConflictKind(StrEnum):
    """The subject of a conflict between documents."""

    routing = 'routing'
    limit = 'limit'
    pool = 'pool'
    service = 'service'
    placement = 'placement'
    customer_label = 'customer-label'
    host_label = 'host-label'


class Conflict(NamedTuple):
    """Two conflicting documents.

    ``subject`` is the name of a pool, a service, a limit's key or a label.
    """

    kind: ConflictKind
    subject: str
    winner: str
    loser: str
    rule: Rule

    @property
    def documents(self) -> tuple[str, str]:
        """Return the names of both documents.

        :returns: the winner's name and the loser's.
        """
        return (self.winner, self.loser)


#: Specificity of documents without a selector.
ZERO_SPECIFICITY = Specificity(0, 0)


class Precedence(NamedTuple):
    """Sort key of documents on the same subject; the smallest wins."""

    terms: int
    equals: int
    priority: int
    name: str


def compute_precedence(
    name: str,
    body: PublishedDocument,
    specificity: Specificity = ZERO_SPECIFICITY,
) -> Precedence:
    """Compute the precedence of a document.

    :param name: the document's name.
    :param body: its content.
    :param specificity: the specificity of its selectors.
    :returns: the sort key: more specific selectors first, then the higher
        priority, then the name by code point.
    """
    return Precedence(
        -specificity.terms,
        -specificity.equals,
        -body.priority,
        name,
    )


def find_deciding_rule(winner: Precedence, loser: Precedence) -> Rule:
    """Find the rule by which one document wins over another.

    :param winner: the winner's precedence.
    :param loser: the loser's precedence.
    :returns: the first rule in which they differ.
    """
    if winner[:2] != loser[:2]:
        return Rule.more_specific
    if winner.priority != loser.priority:
        return Rule.higher_priority
    return Rule.first_name
