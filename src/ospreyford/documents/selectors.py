"""Selectors: which labelled things a document is about."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, NamedTuple, TypeAlias, get_args

import msgspec

MAX_TERM_VALUES = 256

#: Labels of one host, customer or service.
Labels: TypeAlias = Mapping[str, str]

#: A name that documents refer to: a pool, service, customer, host or team.
Name = Annotated[
    str,
    msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}\Z'),
]

#: The left side of a label.
LabelName = Annotated[
    str,
    msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9._/-]{0,62}\Z'),
]

#: The right side of a label.
LabelValue = Annotated[
    str,
    msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._/:-]{0,62}\Z'),
]

#: The values that a term lists.
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
    """One condition on one label; the base of the operators."""

    label: LabelName


class Equals(Term, frozen=True, kw_only=True, tag='equals'):
    """The label has this value."""

    value: LabelValue


class OneOf(Term, frozen=True, kw_only=True, tag='in'):
    """The label has one of these values."""

    values: LabelValues


class NoneOf(Term, frozen=True, kw_only=True, tag='not-in'):
    """The label has none of these values; an absent label has none."""

    values: LabelValues


class Exists(Term, frozen=True, kw_only=True, tag='exists'):
    """The label is there, whatever its value."""


class Absent(Term, frozen=True, kw_only=True, tag='absent'):
    """The label is not there."""


AnyTerm: TypeAlias = Equals | OneOf | NoneOf | Exists | Absent

#: What may stand under ``operator``.
OPERATORS = tuple(term.__struct_config__.tag for term in get_args(AnyTerm))


class Specificity(NamedTuple):
    """How narrow a selector is; the greater wins.

    ``terms`` counts all terms, ``equals`` those with exactly one value.
    """

    terms: int
    equals: int

    def combine(self, other: Specificity) -> Specificity:
        """Add up two selectors that must both match.

        :param other: the other selector's.
        :returns: the sum of both.
        """
        return Specificity(
            self.terms + other.terms,
            self.equals + other.equals,
        )


class EmptySelector(ValueError):
    """A selector without terms that does not say ``everything = true``."""

    def __str__(self) -> str:
        """Say what is allowed.

        :returns: one sentence.
        """
        return 'Expected `labels` or `terms`, or `everything = true` alone'


class Selector(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """All of the terms must match.

    :param labels: shorthand for ``equals`` terms.
    :param terms: further conditions.
    :param everything: matches all things; only without terms.
    """

    labels: dict[LabelName, LabelValue] = {}
    terms: tuple[AnyTerm, ...] = ()
    everything: bool = False

    def __post_init__(self) -> None:
        # A forgotten selector would silently drain or limit the whole
        # fleet; so one that selects all things must say it.
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
        """Tell whether all terms match.

        :param labels: the labels of the thing.
        :returns: whether the selector selects it.
        """
        return self.find_failed_term(labels) is None

    def find_failed_term(self, labels: Labels) -> AnyTerm | None:
        """Find the first term that does not match.

        :param labels: the labels of the thing.
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
        """Measure how narrow the selector is.

        :returns: the number of different terms, and of those with one value.
        """
        # A set, so that repeating a term gains a document nothing.
        terms = set(self.all_terms())
        return Specificity(
            len(terms),
            sum(isinstance(term, Equals) for term in terms),
        )


def term_matches(term: AnyTerm, labels: Labels) -> bool:
    """Tell whether one term matches.

    :param term: the condition.
    :param labels: the labels of the thing.
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
