"""Names of the header fields that an entry and its surroundings share."""

from __future__ import annotations

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header fields, in lower case, as the back ends and callers name them.

    :param request_id: identifies one attempt of a caller, echoed in answers.
    :param deadline: milliseconds that the caller waits.
    :param key: the caller's key; never passed on.
    :param customer: whose key it was; set by the entry alone.
    :param instance: the one instance that may run the request.
    :param refused: an answer with it has not run the request.
    :param seal: the back end's signature of a success.
    :param last_event: the id after which a stream goes on.
    """

    request_id: bytes
    deadline: bytes
    key: bytes
    customer: bytes
    instance: bytes
    refused: bytes
    signature: bytes
    last_event: bytes
