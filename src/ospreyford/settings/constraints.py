"""Descriptions of the values that a settings key allows."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import inspect

from ospreyford.settings.types import ALLOWED_BY_PATTERN

ANY_VALUE = 'a value of the documented type'


def find_type(kind: type, path: list[str]) -> inspect.Type:
    """Find the type of a key.

    :param kind: the settings class.
    :param path: field names and list indexes from the top.
    :returns: the key's type, or the innermost type found.
    """
    found = inspect.type_info(kind)
    for step in path:
        found = _descend(found, step)
    return found


def describe_type(kind: inspect.Type) -> str:
    """Describe the values that a type allows.

    :param kind: msgspec type information.
    :returns: a phrase for an operator.
    """
    match kind:
        case inspect.BoolType():
            return 'true or false'
        case inspect.IntType() | inspect.FloatType():
            return _describe_number(kind)
        case inspect.StrType():
            return _describe_text(kind)
        case inspect.LiteralType(values=values):
            return _describe_choice(values)
        case inspect.EnumType():
            return _describe_choice([member.value for member in kind.cls])
        case _:
            return _describe_compound(kind)


def describe_fields(kind: inspect.Type) -> str:
    """List the keys of a section.

    :param kind: the section's type.
    :returns: a phrase for an operator.
    """
    names = [field.encode_name for field in _list_fields(kind)]
    keys = ', '.join(names)
    return f'only the keys {keys}'


def find_unknown_key(
    kind: inspect.Type, found: object
) -> tuple[list[str], str] | None:
    """Find an unknown key.

    msgspec ignores a misspelled key in a section declared without
    ``forbid_unknown_fields``.

    :param kind: the type of the settings or section.
    :param found: the decoded value.
    :returns: the section's path and the key, or ``None``.
    """
    if not isinstance(kind, inspect.StructType):
        return None
    if not isinstance(found, Mapping):
        return None
    known = {field.encode_name: field.type for field in kind.fields}
    for key, inner in found.items():
        if key not in known:
            return [], key
        nested = find_unknown_key(known[key], inner)
        if nested is not None:
            path, unknown = nested
            return [key, *path], unknown
    return None


def _describe_compound(kind: inspect.Type) -> str:
    match kind:
        case inspect.StructType():
            return f'a section with {describe_fields(kind)}'
        case (
            inspect.VarTupleType(item_type=inner)
            | inspect.ListType(item_type=inner)
        ):
            return f'a list, each {describe_type(inner)}'
        case inspect.DictType(value_type=inner):
            return f'a table, each value {describe_type(inner)}'
        case inspect.UnionType(types=types):
            # TOML has no null.
            named = [
                describe_type(inner)
                for inner in types
                if not isinstance(inner, inspect.NoneType)
            ]
            return ' or '.join(named)
        case _:
            return ANY_VALUE


def _describe_choice(choices: Iterable[object]) -> str:
    listed = ', '.join(map(repr, choices))
    return f'one of {listed}'


def _describe_number(kind: inspect.IntType | inspect.FloatType) -> str:
    type_name = (
        'an integer' if isinstance(kind, inspect.IntType) else 'a number'
    )
    bounds = (
        ('from', kind.ge),
        ('above', kind.gt),
        ('up to', kind.le),
        ('below', kind.lt),
    )
    limits = [f'{word} {bound}' for word, bound in bounds if bound is not None]
    return ' '.join([type_name, *limits])


def _describe_text(kind: inspect.StrType) -> str:
    if kind.pattern is None:
        return 'a string'
    return ALLOWED_BY_PATTERN.get(
        kind.pattern, f'a string matching {kind.pattern}'
    )


def _descend(kind: inspect.Type, step: str) -> inspect.Type:
    match kind:
        case inspect.StructType():
            for field in _list_fields(kind):
                if field.encode_name == step:
                    return field.type
        case (
            inspect.VarTupleType(item_type=inner)
            | inspect.ListType(item_type=inner)
        ):
            return inner
        case inspect.DictType(value_type=inner):
            return inner
    return kind


def _list_fields(kind: inspect.Type) -> tuple[inspect.Field, ...]:
    if isinstance(kind, inspect.StructType):
        return kind.fields
    return ()
