from __future__ import annotations

import sys
from importlib import import_module
from types import MappingProxyType

import pytest

from ospreyford.observability.placeholders import placeholders

UNUSED = MappingProxyType(
    {'json.tool': ('main',), 'json.decoder': ('JSONDecoder',)}
)


def test_placeholders_are_gone_afterwards(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An import elsewhere gets classes that do nothing.

    Symptom: a server in the same process accepts nothing. Sequence: the
    library is imported, later somebody imports the true module. Cause: the
    placeholder is still there, or took the place of a loaded module.
    """
    monkeypatch.delitem(sys.modules, 'json.tool', raising=False)
    loaded = import_module('json.decoder')
    with placeholders(UNUSED):
        assert import_module('json.tool').main.__module__ != 'json.tool'
        assert import_module('json.decoder') is loaded
    assert import_module('json.decoder') is loaded
    assert import_module('json.tool').main.__module__ == 'json.tool'
