"""Header field names used on the platform."""

from __future__ import annotations

from typing import Final

from ospreyford.direct.headernames import HeaderNames

HEADER_NAMES: Final = HeaderNames(
    # Identifies a caller's attempt: a caller's retry has a different value.
    request_id=b'x-attempt-id',
    deadline=b'x-deadline-ms',
    key=b'x-api-key',
    customer=b'x-tenant',
    instance=b'x-expect-replica',
    refused=b'x-not-executed',
    signature=b'x-response-seal',
    last_event=b'last-event-id',
    limit=b'server-limit',
    leaving=b'server-leaving',
    prompt_parts=b'x-prompt-prefix',
    cold=b'x-cold-ms',
)

#: Generation of the store, in each of its responses.
STORE_GENERATION: Final = b'store-era'
