"""Names of the header fields shared with callers and backends."""

from __future__ import annotations

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header field names, in lower case.

    :param request_id: identifies one attempt of a caller; echoed in responses.
    :param deadline: milliseconds until the caller's deadline.
    :param key: the caller's key; never forwarded.
    :param customer: owner of the key; set by the entry only.
    :param instance: the only instance that may run the request.
    :param refused: marks a response of a backend that has not run the request.
    :param signature: the backend's signature of a successful response.
    :param last_event: id of the event after which a stream resumes.
    :param limit: requests per second that a backend takes from all entries
        together, in its responses.
    :param leaving: marks the responses of a backend that is leaving.
    :param prompt_parts: parts of the prompt in order, as comma-separated
        ID:TOKENS entries; requests share all parts but the last.
    :param cold: milliseconds for which a backend stays cold, in its responses;
        empty if they never tell.
    """

    request_id: bytes
    deadline: bytes
    key: bytes
    customer: bytes
    instance: bytes
    refused: bytes
    signature: bytes
    last_event: bytes
    limit: bytes
    leaving: bytes
    prompt_parts: bytes
    cold: bytes = b''
