from __future__ import annotations

import re
from pathlib import Path

import pytest

from ospreyford.documents.parsing import Document, parse_document
from ospreyford.documents.schema import KIND_TAGS

PAGE = Path(__file__).parents[2] / 'docs' / 'CONFIGURATION.md'
EXAMPLES = tuple(
    text
    for text in re.findall('```toml\n(.*?)```', PAGE.read_text(), re.DOTALL)
    if 'kind = ' in text
)


@pytest.mark.parametrize('text', EXAMPLES)
def test_examples_of_the_page_are_accepted(text: str) -> None:
    assert isinstance(parse_document('page', text.encode()), Document)


def test_page_names_every_kind() -> None:
    page = PAGE.read_text()
    assert [kind for kind in KIND_TAGS if f'`{kind}`' not in page] == []
