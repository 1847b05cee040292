from __future__ import annotations

import pathlib

import pytest
from msgspec import inspect

from ospreyford.console.ctl import Operator
from ospreyford.observability.events import StateChange
from ospreyford.observability.metrics import Metrics
from ospreyford.settings.programs import AgentSettings, EntrySettings

DOCS = pathlib.Path(__file__).parents[2] / 'docs'
OPERATIONS = (DOCS / 'OPERATIONS.md').read_text()


def list_keys(kind: inspect.Type, path: str) -> list[str]:
    if not isinstance(kind, inspect.StructType):
        return [path]
    return [
        key
        for field in kind.fields
        for key in list_keys(
            field.type, f'{path}.{field.encode_name}'.lstrip('.')
        )
    ]


KEYS = sorted(
    {
        *list_keys(inspect.type_info(EntrySettings), ''),
        *list_keys(inspect.type_info(AgentSettings), ''),
    }
)
METRICS = sorted(
    family.name.removeprefix('ospreyford_')
    for family in Metrics().registry.collect()
)
EVENTS = sorted(event.__name__ for event in StateChange.__args__)
COMMANDS = sorted(
    name.replace('_', '-') for name in vars(Operator) if name[0] != '_'
)


@pytest.mark.parametrize('key', KEYS)
def test_setting_is_described(key: str) -> None:
    assert f'| `{key}` |' in OPERATIONS


@pytest.mark.parametrize('name', METRICS)
def test_metric_is_described(name: str) -> None:
    assert f'`{name}' in OPERATIONS


@pytest.mark.parametrize('name', EVENTS)
def test_change_is_described(name: str) -> None:
    assert f'`{name}`' in OPERATIONS


@pytest.mark.parametrize('name', COMMANDS)
def test_command_has_a_page(name: str) -> None:
    page = (DOCS / 'commands' / f'{name}.md').read_text()
    assert page.startswith(f'# ospreyfordctl {name}\n')
    assert '## Example' in page
    assert '## Exit codes' in page
