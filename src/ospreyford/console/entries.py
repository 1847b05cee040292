"""Asking the entries: whichever answers first, or all of them."""

from __future__ import annotations

import os
import re
from typing import Any, NamedTuple
from urllib.parse import urlencode

import curio
import msgspec

from ospreyford.console.failures import (
    BadArgument,
    NoEntryAnswered,
    NoEntryNamed,
    Refused,
)
from ospreyford.http.client import fetch
from ospreyford.http.errors import HttpError
from ospreyford.http.message import Request
from ospreyford.settings.loader import load_settings
from ospreyford.settings.types import (
    ADDRESS_PATTERN,
    ALLOWED_BY_PATTERN,
    Address,
    Seconds,
    split_address,
)

ENTRIES_VARIABLE = 'OSPREYFORD_ENTRIES'
OK = 200
SERVER_ERROR = 500


class CtlSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of ``ospreyfordctl``.

    :param entries: admin addresses of entries; any of them will do.
    :param timeout_seconds: how long one entry may take.
    """

    entries: tuple[Address, ...]
    timeout_seconds: Seconds = 3.0


class Question(NamedTuple):
    """One path of the admin port and its query.

    ``method`` is ``GET``, except for the few that change something.
    """

    path: str
    query: dict[str, str] = {}
    method: str = 'GET'

    def to_request(self) -> Request:
        """Make the HTTP request.

        :returns: a head without a body.
        """
        encoded = urlencode(self.query)
        target = f'{self.path}?{encoded}' if encoded else self.path
        return Request(self.method, target, ((b'accept', b'application/json'),))


def find_entries(entry: str, settings: str) -> CtlSettings:
    """Find out where the entries are.

    :param entry: addresses of the command line, divided by commas, or empty.
    :param settings: a settings file, or empty; then the environment counts.
    :returns: the addresses.
    :raises NoEntryNamed: nothing says where.
    :raises BadArgument: not an address.
    :raises SettingsError: the file is wrong.
    """
    if entry:
        return CtlSettings(entries=_split('--entry', entry))
    if settings:
        return load_settings(settings, CtlSettings)
    listed = os.environ.get(ENTRIES_VARIABLE, '')
    if not listed:
        raise NoEntryNamed
    return CtlSettings(entries=_split(ENTRIES_VARIABLE, listed))


def ask_any(settings: CtlSettings, question: Question) -> Any:
    """Ask one entry after the other until one answers.

    :param settings: the entries.
    :param question: what to ask.
    :returns: the decoded answer.
    :raises Refused: an entry has nothing to show.
    :raises NoEntryAnswered: none answered.
    """
    tried: list[str] = []
    for address in settings.entries:
        answer = curio.run(_ask, address, question, settings.timeout_seconds)
        match answer:
            case Failed(reason=reason):
                tried.append(f'{address}: {reason}')
            case Answer(status=status, body=body) if status == OK:
                return body
            case Answer(body=body):
                raise Refused(_read_detail(body))
    raise NoEntryAnswered(tuple(tried))


def ask_all(settings: CtlSettings, question: Question) -> list[Any]:
    """Ask every entry.

    A request's caller chose its entry, and the operator need not know which.

    :param settings: the entries.
    :param question: what to ask.
    :returns: the decoded answers of those that had one.
    :raises Refused: entries answered, and none has anything to show.
    :raises NoEntryAnswered: none answered.
    """
    found: list[Any] = []
    refusal: Refused | None = None
    silent: NoEntryAnswered | None = None
    for address in settings.entries:
        one = msgspec.structs.replace(settings, entries=(address,))
        try:
            found.append(ask_any(one, question))
        except Refused as error:
            refusal = error
        except NoEntryAnswered as error:
            tried = silent.tried if silent else ()
            silent = NoEntryAnswered((*tried, *error.tried))
    if found:
        return found
    raise refusal or silent or NoEntryNamed()


class Answer(NamedTuple):
    """An entry's answer, decoded."""

    status: int
    body: Any


class Failed(NamedTuple):
    """An entry that gave no answer that can be used."""

    reason: str


async def _ask(
    address: str, question: Question, seconds: float
) -> Answer | Failed:
    try:
        head, body = await fetch(
            split_address(address), question.to_request(), timeout=seconds
        )
    except HttpError as error:
        return Failed(type(error).__name__)
    # An entry in trouble says so with a status above 500; another may be
    # well.
    if head.status >= SERVER_ERROR:
        return Failed(f'status {head.status}')
    try:
        return Answer(head.status, msgspec.json.decode(body))
    except msgspec.DecodeError:
        return Failed('not JSON')


def _split(name: str, listed: str) -> tuple[str, ...]:
    addresses = tuple(part.strip() for part in listed.split(','))
    for address in addresses:
        if not re.search(ADDRESS_PATTERN, address):
            raise BadArgument(
                name, address, ALLOWED_BY_PATTERN[ADDRESS_PATTERN]
            )
    return addresses


def _read_detail(body: Any) -> str:
    match body:
        case {'detail': str(detail)}:
            return detail
        case _:
            return str(body)
