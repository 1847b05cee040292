"""Settings that change while a process runs."""

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
from ospreyford.platform.reloading import SettingsFollower
from ospreyford.platform.store import Store
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
    write(path)
    return path


def write(path: Path, *changed: tuple[str, str]) -> None:
    lines = {**dict(LINES), **dict(changed)}
    path.write_text('\n'.join(map('='.join, lines.items())))


class Follower:
    """A follower and what it handed on."""

    def __init__(self) -> None:
        self.lines = RecordingLog()
        self.applied: list[Node] = []
        self.follower = SettingsFollower(
            read_node(),
            self.applied.append,
            self.lines,  # type: ignore[arg-type]
        )


def test_changed_bounds_take_effect(settings_file: Path) -> None:
    """A changed grace was in force only after the next start.

    Sequence: the platform changes the settings file and sends SIGHUP, or does
    not. Cause: the file was read at the start only.
    """
    one = Follower()
    one.follower.look()
    assert not one.applied
    write(settings_file, ('Bounds.GraceS', '4'), ('Zone', 'b'))
    one.follower.look()
    one.follower.look()
    assert len(one.applied) == 1
    node = one.applied[0]
    # Where the process is does not change while it runs.
    assert (node.grace_seconds, node.zone) == (4, 'a')
    reloaded = one.lines.find(SettingsReloaded)
    assert reloaded == [SettingsReloaded(['grace_seconds'], ['zone'])]


@pytest.mark.parametrize(
    'text', ['', 'Bounds.GraceS=8', '\x00\xff', 'NodeName=x\nBounds.GraceS=-1']
)
def test_bad_settings_leave_the_last_good_ones(
    settings_file: Path, text: str
) -> None:
    one = Follower()
    settings_file.write_text(text)
    one.follower.look()
    one.follower.look()
    assert not one.applied
    assert len(one.lines.find(SettingsRefused)) == 1
    settings_file.unlink()
    one.follower.look()
    assert len(one.lines.find(SettingsRefused)) == 2
    write(settings_file, ('Bounds.DrainMs', '1000'))
    one.follower.look()
    assert [node.drain_seconds for node in one.applied] == [1]


def test_an_entry_uses_changed_settings(settings_file: Path) -> None:
    world = EntryContext(SETTINGS, DIALECT, RecordingLog())  # type: ignore[arg-type]
    store = Store(('127.0.0.1', 1))
    stop = Stop(8)
    write(
        settings_file,
        ('Bounds.GraceS', '3'),
        ('Bounds.RetryBudgetRatio', '0'),
        ('Bounds.BudgetSlack', '0'),
        ('Bounds.RevokeMs', '100'),
        ('Platform.Address', '127.0.0.1:9'),
    )
    apply_settings(world, store, stop, read_node())
    assert not world.budget.spend('service', 0)
    assert world.freshness.bounds.revoke_seconds == pytest.approx(0.1)
    assert store._connection.address == ('127.0.0.1', 9)
    assert stop.deadline == 3


async def hang_up(stop: Stop, follower: SettingsFollower) -> Any:
    watching = await curio.spawn(stop.watch, daemon=True)
    following = await curio.spawn(follower.follow, stop.hung_up, daemon=True)
    signal.raise_signal(signal.SIGHUP)
    while follower.node.grace_seconds != 4:
        await curio.sleep(0.01)
    await following.cancel()
    await watching.cancel()
    return stop.requested.is_set()


def test_a_signal_has_the_file_read_at_once(
    settings_file: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr('ospreyford.platform.reloading.LOOK_SECONDS', 600)
    one = Follower()
    stop = Stop(8)
    stop.install()
    write(settings_file, ('Bounds.GraceS', '4'))
    try:
        assert curio.run(hang_up, stop, one.follower) is False
    finally:
        stop.finish()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_DFL)
