"""Messages in which processes tell each other of suspects."""

from __future__ import annotations

from typing import Final, NamedTuple

import msgspec

#: Age of a trial that has not been.
NO_TRIAL: Final = -1


class ToldStrike(NamedTuple):
    """A crash while a request had just begun, or its clearance.

    :param id: id of the crash.
    :param is_cleared: whether the request was answered whole since.
    :param age_ms: time since the crash, or since the clearance.
    """

    id: int
    is_cleared: bool
    age_ms: int


class ToldSuspect(msgspec.Struct, frozen=True, array_like=True):
    """A suspect and all crashes that it is suspected of.

    :param identity: identity of the request or prompt part.
    :param customer: name of the request's customer.
    :param path: beginning of its path, or id of the part, for operators.
    :param limit: number of crashes at which it is blocked.
    :param strikes: the crashes.
    :param is_part: whether it is a prompt part that requests share.
    :param trial_age_ms: time since its latest trial; negative if there was
        none.
    """

    identity: bytes
    customer: str
    path: str
    limit: int
    strikes: tuple[ToldStrike, ...]
    is_part: bool = False
    trial_age_ms: int = NO_TRIAL


class SuspectReport(msgspec.Struct, frozen=True, tag='x', array_like=True):
    """Suspects that the sender knows of.

    :param suspects: all of them, or those that have changed.
    :param digest: digest of all that the sender knows.
    """

    suspects: tuple[ToldSuspect, ...]
    digest: int
