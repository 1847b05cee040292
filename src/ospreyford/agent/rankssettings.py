"""Settings of the rank group that an agent's host belongs to."""

from __future__ import annotations

import msgspec

from ospreyford.expertmap.settings import RankSettings
from ospreyford.placement.map import GroupShape
from ospreyford.placement.settings import PlacementSettings
from ospreyford.settings.errors import KeyConflict
from ospreyford.settings.types import Address, Name, Positive


class RankSection(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of the rank group that this host's ranks belong to.

    :param agreement: the group, this member's slot, everyone's addresses.
    :param members: the backend servers' names by slot; a member whose host
        is replaced is followed to its new address by its name.
    :param engine: where the engine takes orders.
    :param shape: size of the group and of its model.
    :param placement: limits of the placement policy.
    :param report_seconds: interval of the engine's load readings.
    :param patience_seconds: a plan that is not in force after so long may be
        replaced by another; until then its loads go on undisturbed.
    :param orders_weights: whether the agent orders the engine's loads and
        drops; ``false`` for engines that see to that when given a map.
    """

    agreement: RankSettings
    members: tuple[Name, ...]
    engine: Address
    shape: GroupShape
    placement: PlacementSettings
    report_seconds: Positive = 10
    patience_seconds: Positive = 600
    orders_weights: bool = True

    def __post_init__(self) -> None:
        """Check that there is one member for each address.

        :raises KeyConflict: names the key.
        """
        if len(self.members) != len(self.agreement.addresses):
            raise KeyConflict(
                'members',
                'as many names as ranks.agreement.addresses',
            )
