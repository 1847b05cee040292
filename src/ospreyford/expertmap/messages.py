"""Messages between the members of a rank group, and their encoding."""

from __future__ import annotations

import msgspec

from ospreyford.expertmap.maps import ExpertMap, MapName
from ospreyford.expertmap.readcredits import ReadCredit
from ospreyford.expertmap.windows import Ballot, Vote, Window


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Request a promise for a ballot and the votes cast so far."""

    ballot: Ballot


class Promise(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=2
):
    """A member's promise to refuse every lower ballot.

    :param ballot: the promised ballot.
    :param incarnation: the member's incarnation.
    :param generation: the generation that the member is in.
    :param released: the latest window known to be chosen.
    :param vote: the latest accepted window.
    :param highest_step: the highest step covered by any known grant.
    :param newest: the newest map held.
    """

    ballot: Ballot
    incarnation: int
    generation: Ballot
    released: Window | None
    vote: Vote | None
    highest_step: int
    newest: MapName | None


class Extend(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=3):
    """Release a chosen window to the engine and propose the next one.

    :param ballot: the coordinator's ballot.
    :param generation: the generation that both windows belong to.
    :param released: the latest chosen window, if any.
    :param proposed: the window to accept.
    :param members: incarnations by slot, if a generation is being formed.
    """

    ballot: Ballot
    generation: Ballot
    released: Window | None
    proposed: Window
    members: tuple[int, ...] = ()


class Accepted(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=4
):
    """A member accepted the proposed window.

    :param index: the window's index.
    :param newest: the newest map held.
    """

    index: int
    newest: MapName | None


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A member refused a request; it has promised ``promised``.

    If that is not above the sender's ballot, the member is a new incarnation
    or otherwise not part of the sender's generation.
    """

    promised: Ballot


class Install(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Request that a member load a map; ``expert_map`` if it lacks it.

    ``credit`` limits reads from the weight store; it is absent for engines
    that load weights on their own.
    """

    name: MapName
    expert_map: ExpertMap | None = None
    credit: ReadCredit | None = None


class Installed(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A member's progress in loading a map.

    ``credits_needed`` counts the experts that lack read credits.
    """

    held: bool
    loaded: bool
    credits_needed: int = 0


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Request a map from a member."""

    name: MapName


class Fetched(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The requested map, if held."""

    expert_map: ExpertMap | None


class Busy(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The member's engine has not halted yet; retry."""


Request = Prepare | Extend | Install | Fetch
Response = Promise | Accepted | Refused | Installed | Fetched | Busy

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder[Request](Request)
_response_decoder = msgspec.msgpack.Decoder[Response](Response)


def encode(message: Request | Response) -> bytes:
    """Encode a message.

    :param message: any message of this module.
    :returns: MessagePack.
    """
    return _encoder.encode(message)


def decode_request(body: bytes) -> Request | None:
    """Decode a request.

    :param body: the encoded request.
    :returns: the request, or ``None`` if malformed.
    """
    try:
        return _request_decoder.decode(body)
    except msgspec.MsgspecError:
        return None


def decode_response(body: bytes | None) -> Response | None:
    """Decode a response.

    :param body: the encoded response, ``None`` on timeout.
    :returns: the response, or ``None`` on timeout or if malformed.
    """
    if body is None:
        return None
    try:
        return _response_decoder.decode(body)
    except msgspec.MsgspecError:
        return None
