"""Types of settings values, with the bounds that the loader checks."""

from __future__ import annotations

from types import MappingProxyType
from typing import Annotated, Final

from msgspec import Meta

_OCTET = '(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'
_IP = rf'{_OCTET}(\.{_OCTET}){{3}}'
_PORT = (
    '([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}'
    '|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])'
)

DAY_SECONDS: Final = 86_400
MEBIBYTE: Final = 1_048_576
GIBIBYTE: Final = 1_073_741_824
MAX_COUNT: Final = 10_000_000
MAX_SPANS: Final = 1_000_000
MAX_LINES: Final = 100_000
MIN_HEAD_BYTES: Final = 1024

ADDRESS_PATTERN = rf'^{_IP}:{_PORT}\Z'
NAME_PATTERN = r'^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?\Z'
PATH_PATTERN = r'^[^\x00-\x1f]{1,4096}\Z'

#: Descriptions of the patterns in error messages.
ALLOWED_BY_PATTERN = MappingProxyType(
    {
        ADDRESS_PATTERN: (
            'an IP number and a port from 1 to 65535, such as "127.0.0.1:8100" '
            '(no host names)'
        ),
        NAME_PATTERN: (
            '1 to 63 of a-z, 0-9, ".", "_" and "-", '
            'beginning and ending with a letter or a digit'
        ),
        PATH_PATTERN: 'a path of 1 to 4096 characters',
    }
)

#: ``ip:port`` of an IPv4 address; no host names, so that DNS is not needed.
Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
#: A name of a host, instance, zone, region or service.
Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
#: A path on this host.
FilePath = Annotated[str, Meta(pattern=PATH_PATTERN)]

#: A duration above zero, up to a day.
Seconds = Annotated[float, Meta(gt=0, le=DAY_SECONDS)]
#: A number above zero, without an upper bound.
Positive = Annotated[float, Meta(gt=0)]
#: A number, zero or greater.
NonNegative = Annotated[float, Meta(ge=0)]
#: A ratio from 0 to 1.
Ratio = Annotated[float, Meta(ge=0, le=1)]
#: A size in bytes, up to 1 GiB.
Bytes = Annotated[int, Meta(ge=1, le=GIBIBYTE)]
#: A number of objects in memory, at least one.
Count = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
#: A number of objects in memory, zero or greater.
CountOrNone = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
#: A rate per second.
Rate = Annotated[float, Meta(gt=0, le=GIBIBYTE)]

#: Size of a request head, in bytes.
HeadBytes = Annotated[int, Meta(ge=MIN_HEAD_BYTES, le=MEBIBYTE)]
#: Log lines waiting for a slow destination.
BufferedLines = Annotated[int, Meta(ge=1, le=MAX_LINES)]
#: Spans kept in memory.
BufferedSpans = Annotated[int, Meta(ge=1, le=MAX_SPANS)]


def split_address(address: str) -> tuple[str, int]:
    """Split a validated address.

    :param address: ``ip:port``.
    :returns: IP address and port.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
