"""States in messages between members of one group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ospreyford.rebalance.messages import (
    MemberMessage,
    OrderResponse,
    RankReport,
)

if TYPE_CHECKING:
    from ospreyford.rebalance.group import RankState


def strip_group(state: RankState) -> RankState:
    """Leave out the group's name, which the datagram's tag stands for.

    :param state: a rank's state.
    :returns: the state as it is sent to members of its group.
    """
    return state._replace(group='')


def fill_group(message: MemberMessage, group: str) -> MemberMessage:
    """Fill in the group's name in a received message.

    :param message: a message of a member of the group.
    :param group: the group's name.
    :returns: the message; its state, if any, has the name.
    """
    if isinstance(message, RankReport | OrderResponse):
        if message.state is not None:
            named = message.state._replace(group=group)
            return msgspec.structs.replace(message, state=named)
    return message
