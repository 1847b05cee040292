"""Checks of files on the operator's host, before they are published."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from ospreyford.console.entries import CtlSettings
from ospreyford.console.failures import BadArgument, explain_unreadable
from ospreyford.documents.checking import CheckReport, check_documents
from ospreyford.documents.explanation import Explanation, explain
from ospreyford.documents.history import DocumentEntry
from ospreyford.documents.parsing import MAX_DOCUMENT_BYTES
from ospreyford.documents.resolver import resolve_snapshot
from ospreyford.platform.hostlist import HostTable
from ospreyford.ports.fleet import Host
from ospreyford.settings.errors import SettingsError
from ospreyford.settings.loader import load_settings
from ospreyford.settings.programs import AgentSettings, EntrySettings

_PROGRAM = re.compile(rb'^\s*\[(identity|listen|platform)\]', re.MULTILINE)
_AGENT = re.compile(rb'^\s*\[backend\]', re.MULTILINE)
_CTL = re.compile(rb'^\s*entries\s*=', re.MULTILINE)


class FileReport(NamedTuple):
    """What is wrong with a set of files.

    :param settings: files checked as settings.
    :param wrong: the first fault of each wrong settings file.
    :param documents: what is wrong with the others, taken as one set.
    """

    settings: int
    wrong: tuple[SettingsError, ...]
    documents: CheckReport


def check_files(paths: Iterable[str], hosts: str) -> FileReport:
    """Check settings files and documents.

    :param paths: files, and directories whose ``*.toml`` are taken.
    :param hosts: a file with the host list as the platform serves it, or
        empty.
    :returns: the report.
    :raises BadArgument: a path or the host list cannot be read.
    """
    wrong: list[SettingsError] = []
    documents: list[tuple[str, bytes]] = []
    settings = 0
    for path in _list_files(paths):
        text = _read(path)
        kind = _recognise(text)
        if kind is None:
            documents.append((path.stem, text))
            continue
        settings += 1
        try:
            load_settings(path, kind)
        except SettingsError as error:
            wrong.append(error)
    report = check_documents(documents, read_hosts(hosts))
    return FileReport(settings, tuple(wrong), report)


def explain_files(
    directory: str, hosts: str, customer: str, service: str
) -> Explanation:
    """Explain a route as unpublished documents would make it.

    :param directory: where the documents are.
    :param hosts: a file with the host list, or empty.
    :param customer: the customer.
    :param service: the service.
    :returns: what decides.
    :raises BadArgument: a path or the host list cannot be read.
    """
    texts = [(path.stem, _read(path)) for path in _list_files((directory,))]
    entries = [
        DocumentEntry(name, 1, text)
        for name, text in texts
        if _recognise(text) is None
    ]
    picture = resolve_snapshot(entries)
    return explain(picture, read_hosts(hosts), customer, service)


def read_hosts(path: str) -> tuple[Host, ...]:
    """Read a host list from a file.

    :param path: JSON as the platform serves it, or empty.
    :returns: the hosts.
    :raises BadArgument: unreadable or not a host list.
    """
    if not path:
        return ()
    try:
        table = msgspec.json.decode(_read(Path(path)), type=HostTable)
    except msgspec.MsgspecError as error:
        raise BadArgument('--hosts', path, f'a host list: {error}') from None
    return tuple(Host(**msgspec.structs.asdict(row)) for row in table.hosts)


def _list_files(paths: Iterable[str]) -> Iterator[Path]:
    for named in paths:
        path = Path(named)
        if path.is_dir():
            yield from sorted(path.rglob('*.toml'))
        else:
            yield path


def _read(path: Path) -> bytes:
    try:
        with path.open('rb') as stream:
            return stream.read(MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:
        raise explain_unreadable(str(path), error) from None


def _recognise(text: bytes) -> type[msgspec.Struct] | None:
    # By the look of its headings and not by parsing: a file that is not TOML
    # has to be reported by the check that it belongs to.
    if _PROGRAM.search(text):
        return AgentSettings if _AGENT.search(text) else EntrySettings
    if _CTL.search(text):
        return CtlSettings
    return None
