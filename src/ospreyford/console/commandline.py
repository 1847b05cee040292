"""Command lines by fire, without its pager."""

from __future__ import annotations

import sys
from typing import TextIO

from fire import core, parser


def run_fire(component: object, name: str | None = None) -> None:
    """Run what the command line names.

    :param component: a function, or an object whose methods are commands.
    :param name: the program's name in help texts.
    """
    # fire shows help through a pager, which is another process; here no
    # process starts another.
    core.Display = _display
    # fire would read a customer named 12 as a number and a,b as a tuple.
    parser.DefaultParseValue = str
    core.Fire(component, name=name)


def _display(lines: list[str], out: TextIO) -> None:
    text = '\n'.join(lines)
    target = out or sys.stdout
    target.write(f'{text}\n')
