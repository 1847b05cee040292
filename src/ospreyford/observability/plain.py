"""Typed objects as plain JSON values that name their types."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

import msgspec

#: The key under which a dataclass tells which variant it is.
KIND = 'kind'

_SCALARS = (str, int, float, type(None))


def make_plain(found: object) -> Any:
    """Turn an object into what JSON can hold.

    msgspec alone would write a named tuple as a list without names, and would
    not tell the variants of a union of dataclasses apart.

    :param found: dataclasses, named tuples, Structs, enums and containers.
    :returns: dictionaries, lists and scalars; a dataclass names its type
        under ``kind``.
    """
    match found:
        case Enum(value=value):
            return value
        case Mapping():
            return {str(key): make_plain(held) for key, held in found.items()}
        case msgspec.Struct():
            return _name_tagged(found)
        case tuple(_fields=names):  # type: ignore[misc]
            return _name_fields(found, names)
        case _:
            return _convert_other(found)


def _convert_other(found: object) -> Any:
    if isinstance(found, _SCALARS):
        return found
    if is_dataclass(found) and not isinstance(found, type):
        named = _name_fields(found, [field.name for field in fields(found)])
        return {KIND: type(found).__name__, **named}
    if isinstance(found, (list, tuple, set, frozenset)):
        ordered: Iterable[object] = found
        if isinstance(found, (set, frozenset)):
            ordered = sorted(found, key=repr)
        return [make_plain(held) for held in ordered]
    return str(found)


def _name_tagged(found: msgspec.Struct) -> dict[str, Any]:
    named = _name_fields(found, found.__struct_fields__)
    config = found.__struct_config__
    if config.tag_field is None:
        return named
    return {config.tag_field: config.tag, **named}


def _name_fields(found: object, names: Iterable[str]) -> dict[str, Any]:
    read: Callable[[str], object] = found.__getattribute__
    return {name: make_plain(read(name)) for name in names}
