"""Imports a library without what this process never calls in it."""

from __future__ import annotations

import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType, ModuleType
from typing import Final, TypeAlias

Unused: TypeAlias = Mapping[str, tuple[str, ...]]

#: What ``prometheus_client`` 0.26 imports for a server of its own and for
#: pushing; here metrics leave by the admin port only.
SERVERS: Final[Unused] = MappingProxyType(
    {
        'http.server': ('BaseHTTPRequestHandler',),
        'urllib.request': (
            'BaseHandler',
            'HTTPHandler',
            'HTTPRedirectHandler',
            'HTTPSHandler',
            'Request',
            'build_opener',
        ),
        'wsgiref.simple_server': (
            'WSGIRequestHandler',
            'WSGIServer',
            'make_server',
        ),
    }
)


@contextmanager
def placeholders(unused: Unused) -> Iterator[None]:
    """Have modules stand in for others that an import asks for.

    These take 2.4 MB of the 64 MB of a process, with all that they import in
    turn: mail messages, tables of HTML's names, mime types. What the library
    makes of them does not work. Afterwards the true modules can be imported
    as ever; those that are loaded already are left in their place.

    :param unused: names by module.
    :yields: nothing; while in the block, imports get the placeholders.
    """
    placed = [name for name in unused if name not in sys.modules]
    for name in placed:
        sys.modules[name] = _make_module(name, unused[name])
    try:
        yield
    finally:
        for name in placed:
            sys.modules.pop(name)


def _make_module(name: str, parts: tuple[str, ...]) -> ModuleType:
    module = ModuleType(name)
    for part in parts:
        setattr(module, part, type(part, (), {}))
    return module
