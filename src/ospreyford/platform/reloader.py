"""Settings that change while a process runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import curio

from ospreyford.platform.errors import BadNodeFile
from ospreyford.platform.nodefile import Node, read_node
from ospreyford.settings.events import SettingsRefused, SettingsReloaded

if TYPE_CHECKING:
    from ospreyford.observability.logs import ChangeLog

#: How often the file is read where no signal tells of a change, in seconds: it
#: has some fifty lines, and a change may be in force a second later.
POLL_INTERVAL_SECONDS = 1.0
#: What takes effect at once. Everything else says who and where the process is:
#: its sockets are bound by then, and others know it by them.
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
    """Reads the settings file again and hands its changes on.

    :param node: the settings in force.
    :param apply: puts changed settings in force.
    :param log: where changes go.
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
        """Follow the file for as long as the process lives.

        :param hung_up: set when a signal says that the file has changed.
        """
        while True:
            await curio.ignore_after(
                POLL_INTERVAL_SECONDS, reload_requested.wait()
            )
            reload_requested.clear()
            self.reload()

    def reload(self) -> None:
        """Read the file once and take over what has changed."""
        try:
            found = read_node()
        except BadNodeFile as error:
            self._log_refusal(error)
            return
        self._last_error = None
        changed = [
            name
            for name in Node._fields
            if getattr(found, name) != getattr(self.node, name)
        ]
        applied = [name for name in changed if name in RELOADABLE_FIELDS]
        deferred = [name for name in changed if name not in RELOADABLE_FIELDS]
        if not applied and deferred == self._deferred:
            return
        self._deferred = deferred
        self.node = self.node._replace(
            **{name: getattr(found, name) for name in applied}
        )
        self._apply(self.node)
        self._log.log_change(SettingsReloaded(applied, deferred))

    def _log_refusal(self, error: BadNodeFile) -> None:
        # The same fault is there at each look, until somebody mends the file.
        if error == self._last_error:
            return
        self._last_error = error
        self._log.log_change(SettingsRefused(error.key, error.reason))
