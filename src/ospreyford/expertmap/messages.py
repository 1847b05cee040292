"""Messages between the members of a rank group, and their encoding."""

from __future__ import annotations

import msgspec

from ospreyford.expertmap.maps import ExpertMap, MapName
from ospreyford.expertmap.readcredits import ReadCredit
from ospreyford.expertmap.windows import Ballot, Vote, Window


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Ask a member to promise a ballot and to tell what it accepted."""

    ballot: Ballot


class Promise(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=2
):
    """A member's promise to refuse every ballot below this one.

    :param ballot: the promised ballot.
    :param incarnation: the member's incarnation.
    :param generation: the generation that the member is in.
    :param released: the latest window that it knows to be chosen.
    :param vote: the latest window that it accepted.
    :param floor: the highest step that any grant known here may reach.
    :param newest: the newest map that it holds.
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
    :param released: the latest chosen window; none has been in a generation
        that is being formed.
    :param proposed: the window to accept.
    :param members: incarnations by slot, only when a generation is formed.
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

    :param index: the window's position.
    :param newest: the newest map that it holds.
    """

    index: int
    newest: MapName | None


class Refused(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A member refused; it promised ``promised``.

    When that isn't above the asker's ballot, the member doesn't belong to the
    asker's generation: it is a new incarnation, or never joined.
    """

    promised: Ballot


class Install(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Ask a member to have its engine load a map; ``body`` if it lacks it.

    ``leave`` tells how much may be read from the weight store for it; absent
    where engines see to their weights themselves.
    """

    name: MapName
    expert_map: ExpertMap | None = None
    credit: ReadCredit | None = None


class Installed(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """How far a member is with a map.

    ``wants`` counts the experts that it needs leave for.
    """

    held: bool
    loaded: bool
    credits_needed: int = 0


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Ask a member for a map."""

    name: MapName


class Fetched(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The map asked for, if it is held."""

    expert_map: ExpertMap | None


class Busy(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The member's engine isn't halted yet; ask again."""


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
    """Decode a question.

    :param body: what came from the network.
    :returns: the question, or ``None`` for anything malformed.
    """
    try:
        return _request_decoder.decode(body)
    except msgspec.MsgspecError:
        return None


def decode_response(body: bytes | None) -> Response | None:
    """Decode an answer.

    :param body: what came from the network, ``None`` for silence.
    :returns: the answer, or ``None`` for silence or anything malformed.
    """
    if body is None:
        return None
    try:
        return _response_decoder.decode(body)
    except msgspec.MsgspecError:
        return None
