"""Label selectors."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, NamedTuple, TypeAlias, get_args

import msgspec

MAX_TERM_VALUES = 256

#: Labels of one host, customer or service.
Labels: TypeAlias = Mapping[str, str]

#: Name of a pool, service, customer, host or team.
Name = Annotated[
    str,
    msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}\Z'),
]

LabelName = Annotated[
    str,
    msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9._/-]{0,62}\Z'),
]

LabelValue = Annotated[
    str,
    msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._/:-]{0,62}\Z'),
]

LabelValues = Annotated[
    tuple[LabelValue, ...],
    msgspec.Meta(min_length=1, max_length=MAX_TERM_VALUES),
]


class Term(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field='operator',
):
    """Base class of conditions on one label."""

    label: LabelName


class Equals(Term, frozen=True, kw_only=True, tag='equals'):
    """The label has this value."""

    value: LabelValue


class OneOf(Term, frozen=True, kw_only=True, tag='in'):
    """The label has one of these values."""

    values: LabelValues


class NoneOf(Term, frozen=True, kw_only=True, tag='not-in'):
    """The label is absent or has none of these values."""

    values: LabelValues


class Exists(Term, frozen=True, kw_only=True, tag='exists'):
    """The label is present."""


class Absent(Term, frozen=True, kw_only=True, tag='absent'):
    """The label is absent."""


AnyTerm: TypeAlias = Equals | OneOf | NoneOf | Exists | Absent

#: Allowed values of ``operator``.
OPERATORS = tuple(term.__struct_config__.tag for term in get_args(AnyTerm))


class Specificity(NamedTuple):
    """Specificity of a selector; the greater wins.

    ``terms`` counts all terms, ``equals`` those with exactly one value.
    """

    terms: int
    equals: int

    def combine(self, other: Specificity) -> Specificity:
        """Add the specificity of another selector that must match too.

        :param other: the other specificity.
        :returns: the sum of both.
        """
        return Specificity(
            self.terms + other.terms,
            self.equals + other.equals,
        )


class EmptySelector(ValueError):
    """A selector needs either terms or ``everything = true``."""

    def __str__(self) -> str:
        """Format the error message.

        :returns: one sentence.
        """
        return 'Expected `labels` or `terms`, or `everything = true` alone'


class Selector(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """A conjunction of terms.

    :param labels: shorthand for ``equals`` terms.
    :param terms: further conditions.
    :param everything: matches all things; only without terms.
    """

    labels: dict[LabelName, LabelValue] = {}
    terms: tuple[AnyTerm, ...] = ()
    everything: bool = False

    def __post_init__(self) -> None:
        # An omitted selector must not drain or limit the whole fleet.
        if self.everything == bool(self.labels or self.terms):
            raise EmptySelector

    def all_terms(self) -> tuple[AnyTerm, ...]:
        """List the terms, the shorthand ones first.

        :returns: the terms; none when the selector matches everything.
        """
        shorthand = (
            Equals(label=label, value=value)
            for label, value in sorted(self.labels.items())
        )
        return (*shorthand, *self.terms)

    def matches(self, labels: Labels) -> bool:
        """Return whether all terms match.

        :param labels: the labels to match.
        :returns: whether the selector matches.
        """
        return self.find_failed_term(labels) is None

    def find_failed_term(self, labels: Labels) -> AnyTerm | None:
        """Find the first term that does not match.

        :param labels: the labels to match.
        :returns: the term, or ``None`` when all match.
        """
        for label, value in self.labels.items():
            if labels.get(label) != value:
                return Equals(label=label, value=value)
        for term in self.terms:
            if not term_matches(term, labels):
                return term
        return None

    def specificity(self) -> Specificity:
        """Compute the specificity of the selector.

        :returns: the numbers of distinct terms and of ``equals`` terms.
        """
        # Repeated terms count once.
        terms = set(self.all_terms())
        return Specificity(
            len(terms),
            sum(isinstance(term, Equals) for term in terms),
        )


def term_matches(term: AnyTerm, labels: Labels) -> bool:
    """Return whether one term matches.

    :param term: the condition.
    :param labels: the labels to match.
    :returns: whether the condition holds.
    """
    found = labels.get(term.label)
    match term:
        case Equals(value=value):
            return found == value
        case OneOf(values=values):
            return found in values
        case NoneOf(values=values):
            return found not in values
        case Exists():
            return found is not None
        case Absent():
            return found is None
