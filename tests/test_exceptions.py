"""Every exception of the system can pass through a context manager.

Symptom: ``FrozenInstanceError`` in place of the real failure; the request ends
with no answer.
Sequence: an exception leaves a block under a context manager made by
``contextlib``, which sets the exception's ``__traceback__``.
Cause: an exception declared as a frozen dataclass refuses every assignment.
"""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

import ospreyford


def list_exceptions() -> list[type[Exception]]:
    found: set[type[Exception]] = set()
    for module in pkgutil.walk_packages(ospreyford.__path__, 'ospreyford.'):
        if '__main__' not in module.name and '.measure' not in module.name:
            found.update(_exceptions_of(module.name))
    return sorted(found, key=repr)


def _exceptions_of(name: str) -> Iterator[type[Exception]]:
    for each in vars(importlib.import_module(name)).values():
        if isinstance(each, type) and issubclass(each, Exception):
            if '__dataclass_fields__' in vars(each):
                yield each


@contextmanager
def pass_through() -> Iterator[None]:
    yield


@pytest.mark.parametrize('kind', list_exceptions(), ids=repr)
def test_passes_through_a_context_manager(kind: type[Exception]) -> None:
    names = vars(kind)['__dataclass_fields__']
    error = kind(*names)
    with pytest.raises(kind):
        with pass_through():
            raise error
    assert hash(error) is not None
