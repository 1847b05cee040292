"""Settings of one member of a rank group."""

from __future__ import annotations

import msgspec


class RankSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Initial configuration of one member.

    :param group: the rank group's name.
    :param slot: this member's place in the group, from 0.
    :param addresses: peer addresses (``ip:port``) by slot. A replaced host
        keeps the slot; its new address comes by ``RankService.readdress``.
    :param window_steps: steps in a window. Larger windows cost fewer
        messages, and delay a map change, which waits for up to two.
    :param lead_steps: a window is released when fewer steps than this are
        left, so engines go on while a coordinator is replaced.
    :param ask_seconds: timeout of one question.
    :param poll_seconds: how often the engine's progress is read.
    :param install_seconds: how often an engine that loads a map is asked.
    :param load_seconds: how often members that load weights are given leave
        to read more; below the seconds that their leave may be saved up.
    :param takeover_seconds: silence after which a member may coordinate;
        slots follow one another over as long again, the lowest first.
    """

    group: str
    slot: int
    addresses: tuple[str, ...]
    window_steps: int = 768
    lead_steps: int = 256
    ask_seconds: float = 0.25
    poll_seconds: float = 0.2
    install_seconds: float = 0.5
    load_seconds: float = 2
    takeover_seconds: float = 0.6

    def topic(self) -> str:
        """Name the topic of the group's messages.

        :returns: the topic, distinct for each group.
        """
        return f'expertmap/{self.group}'
