"""Changes of state that a process logs: one type each, one line each."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Started:
    """The process listens; it may not be ready yet."""

    program: str
    instance: str
    incarnation: str


@dataclass(frozen=True)
class Ready:
    """The process takes work."""


@dataclass(frozen=True)
class NotReady:
    """The process stopped taking work for the reason named."""

    reason: str


@dataclass(frozen=True)
class Draining:
    """No new work from here; what is in flight finishes.

    :param cause: ``signal``, ``drain request`` or ``host list``.
    :param in_flight: requests still running.
    """

    cause: str
    in_flight: int


@dataclass(frozen=True)
class Stopped:
    """The process ends.

    :param cut: requests in flight that were cut; 0 in a graceful stop.
    :param cause: what ended the wait for them.
    """

    cut: int
    cause: str = 'finished'


@dataclass(frozen=True)
class ConfigurationInForce:
    """A newer configuration took effect."""

    revision: int
    digest: str


@dataclass(frozen=True)
class DocumentRejected:
    """A published document was refused; its last good version stays.

    :param name: the document.
    :param revision: the revision that brought it.
    :param place: where in the document.
    :param reason: what is wrong there.
    """

    name: str
    revision: int
    place: str
    reason: str


@dataclass(frozen=True)
class BackendEjected:
    """A back end gets no work for a while."""

    backend: str
    reason: str


@dataclass(frozen=True)
class BackendReturned:
    """An ejected back end gets work again."""

    backend: str


@dataclass(frozen=True)
class MemberChanged:
    """Another process of the system changed state in this one's view."""

    member: str
    incarnation: str
    before: str
    after: str


@dataclass(frozen=True)
class ExpertMapInForce:
    """A rank group steps on another expert map."""

    group: str
    generation: int
    revision: int
    first_step: int


@dataclass(frozen=True)
class GroupHalted:
    """A rank group stopped stepping, since its next map is not known."""

    group: str
    generation: int
    reason: str


@dataclass(frozen=True)
class PauseNoticed:
    """The process was paused; what it knew before is checked again."""

    seconds: float


@dataclass(frozen=True)
class LinesDropped:
    """Log lines were lost, since the destination was slow."""

    dropped: int
