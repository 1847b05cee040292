"""Exit codes of the programs and of ``ospreyfordctl``."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a program tells the shell."""

    ok = 0
    #: ``ospreyfordctl``: something is wrong with what was checked or asked.
    findings = 1
    #: A program could not start, for example since a port is taken; the
    #: programs and ``ospreyfordctl`` share the number.
    not_started = 1
    #: Wrong settings or a wrong command line.
    usage = 2
    #: ``ospreyfordctl``: no entry answered.
    no_entry = 3
    #: A program ended while requests were in flight.
    cut = 4
