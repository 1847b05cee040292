from __future__ import annotations

from collections.abc import Iterator

import pytest

from ospreyford.standins.launcher import Launcher


@pytest.fixture(scope='package')
def launcher() -> Iterator[Launcher]:
    with Launcher() as started:
        yield started
