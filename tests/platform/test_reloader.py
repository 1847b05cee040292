"""Reload of the node settings while a process runs."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any

import curio
import pytest

from ospreyford.console.stopping import Stop
from ospreyford.direct.context import EntryContext
from ospreyford.platform.entry import apply_settings
from ospreyford.platform.nodefile import PATH_VARIABLE, Node, read_node
from ospreyford.platform.reloader import SettingsReloader
from ospreyford.platform.store import StoreClient
from ospreyford.settings.events import SettingsRefused, SettingsReloaded
from tests.direct.backends import DIALECT, SETTINGS, RecordingLog

LINES = (
    ('NodeName', 'front-1'),
    ('Ip', '127.0.0.1'),
    ('Zone', 'a'),
    ('Region', 'r'),
    ('Listen.Front', '127.0.0.1:8000'),
    ('Listen.Ready', '127.0.0.1:8001'),
    ('PortRange', '7000,7010'),
    ('Platform.Address', '127.0.0.1:8223'),
    ('Bounds.DrainMs', '2000'),
    ('Bounds.GraceS', '8'),
    ('Bounds.FailClosed', 'true'),
    ('Bounds.RevokeMs', '5000'),
    ('Bounds.RetryBudgetRatio', '0.2'),
    ('Bounds.RetryWindowS', '10'),
    ('Bounds.BudgetSlack', '90'),
)


@pytest.fixture
def settings_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    path = tmp_path / 'node.conf'
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    write_settings(path)
    return path


def write_settings(path: Path, *changed: tuple[str, str]) -> None:
    lines = {**dict(LINES), **dict(changed)}
    path.write_text('\n'.join(map('='.join, lines.items())))


class ReloaderHarness:
    """A reloader and the settings that it applied."""

    def __init__(self) -> None:
        self.log = RecordingLog()
        self.applied: list[Node] = []
        self.reloader = SettingsReloader(
            read_node(),
            self.applied.append,
            self.log,  # type: ignore[arg-type]
        )


def test_changed_settings_take_effect(settings_file: Path) -> None:
    """Changed settings must not need a restart."""
    harness = ReloaderHarness()
    harness.reloader.reload()
    assert not harness.applied
    write_settings(settings_file, ('Bounds.GraceS', '4'), ('Zone', 'b'))
    harness.reloader.reload()
    harness.reloader.reload()
    assert len(harness.applied) == 1
    node = harness.applied[0]
    # The zone takes effect at the next start.
    assert (node.grace_seconds, node.zone) == (4, 'a')
    reloaded = harness.log.find(SettingsReloaded)
    assert reloaded == [SettingsReloaded(['grace_seconds'], ['zone'])]


@pytest.mark.parametrize(
    'text', ['', 'Bounds.GraceS=8', '\x00\xff', 'NodeName=x\nBounds.GraceS=-1']
)
def test_invalid_settings_keep_the_last_valid_ones(
    settings_file: Path, text: str
) -> None:
    harness = ReloaderHarness()
    settings_file.write_text(text)
    harness.reloader.reload()
    harness.reloader.reload()
    assert not harness.applied
    assert len(harness.log.find(SettingsRefused)) == 1
    settings_file.unlink()
    harness.reloader.reload()
    assert len(harness.log.find(SettingsRefused)) == 2
    write_settings(settings_file, ('Bounds.DrainMs', '1000'))
    harness.reloader.reload()
    assert [node.drain_seconds for node in harness.applied] == [1]


def test_entry_applies_changed_settings(settings_file: Path) -> None:
    context = EntryContext(SETTINGS, DIALECT, RecordingLog())  # type: ignore[arg-type]
    store = StoreClient(('127.0.0.1', 1))
    stop = Stop(8)
    write_settings(
        settings_file,
        ('Bounds.GraceS', '3'),
        ('Bounds.RetryBudgetRatio', '0'),
        ('Bounds.BudgetSlack', '0'),
        ('Bounds.RevokeMs', '100'),
        ('Platform.Address', '127.0.0.1:9'),
    )
    apply_settings(context, store, stop, read_node())
    assert not context.budget.spend('service', 0)
    assert context.freshness.bounds.revoke_seconds == pytest.approx(0.1)
    assert store._connection.address == ('127.0.0.1', 9)
    assert stop.deadline == 3


async def send_sighup(stop: Stop, reloader: SettingsReloader) -> Any:
    signal_task = await curio.spawn(stop.watch, daemon=True)
    reload_task = await curio.spawn(reloader.run, stop.hung_up, daemon=True)
    signal.raise_signal(signal.SIGHUP)
    while reloader.node.grace_seconds != 4:
        await curio.sleep(0.01)
    await reload_task.cancel()
    await signal_task.cancel()
    return stop.requested.is_set()


def test_sighup_reloads_settings_at_once(
    settings_file: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        'ospreyford.platform.reloader.POLL_INTERVAL_SECONDS', 600
    )
    harness = ReloaderHarness()
    stop = Stop(8)
    stop.install()
    write_settings(settings_file, ('Bounds.GraceS', '4'))
    try:
        assert curio.run(send_sighup, stop, harness.reloader) is False
    finally:
        stop.finish()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_DFL)
