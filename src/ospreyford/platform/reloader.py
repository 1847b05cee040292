"""Reload of the node settings while a process runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import curio

from ospreyford.platform.errors import BadNodeFile
from ospreyford.platform.nodefile import Node, read_node
from ospreyford.settings.events import SettingsRefused, SettingsReloaded

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog

#: Interval between reads of the file if no SIGHUP arrives.
POLL_INTERVAL_SECONDS = 1.0
#: Settings applied at once; the others take effect at the next start.
RELOADABLE_FIELDS: Final = (
    'store',
    'drain_seconds',
    'grace_seconds',
    'revoke_seconds',
    'retry_ratio',
    'retry_window',
    'retry_slack',
)


class SettingsReloader:
    """Rereads the settings file and applies its changes.

    :param node: the current settings.
    :param apply: called with the changed settings.
    :param log: event log.
    """

    def __init__(
        self, node: Node, apply: Callable[[Node], None], log: ChangeLog
    ) -> None:
        self.node = node
        self._apply = apply
        self._log = log
        self._deferred: list[str] = []
        self._last_error: BadNodeFile | None = None

    async def run(self, reload_requested: curio.Event) -> None:
        """Reload on request and at regular intervals until cancelled.

        :param reload_requested: set by SIGHUP; cleared before each reload.
        """
        while True:
            await curio.ignore_after(
                POLL_INTERVAL_SECONDS, reload_requested.wait()
            )
            reload_requested.clear()
            self.reload()

    def reload(self) -> None:
        """Read the file once and apply its changes."""
        try:
            reloaded = read_node()
        except BadNodeFile as error:
            self._log_refusal(error)
            return
        self._last_error = None
        changed = [
            name
            for name in Node._fields
            if getattr(reloaded, name) != getattr(self.node, name)
        ]
        applied = [name for name in changed if name in RELOADABLE_FIELDS]
        deferred = [name for name in changed if name not in RELOADABLE_FIELDS]
        if not applied and deferred == self._deferred:
            return
        self._deferred = deferred
        self.node = self.node._replace(
            **{name: getattr(reloaded, name) for name in applied}
        )
        self._apply(self.node)
        self._log.log_change(SettingsReloaded(applied, deferred))

    def _log_refusal(self, error: BadNodeFile) -> None:
        # Log an error once, not at every poll until the file is corrected.
        if error == self._last_error:
            return
        self._last_error = error
        self._log.log_change(SettingsRefused(error.key, error.reason))
