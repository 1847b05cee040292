"""Counts the calls to the platform's two services."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TYPE_CHECKING, Protocol, TypeVar

from ospreyford.distribution.client import ServiceClient
from ospreyford.distribution.service import (
    DocumentSource,
    ServiceUnavailable,
)
from ospreyford.documents.parsing import is_well_formed
from ospreyford.platform.hostlist import HostListClient
from ospreyford.settings.types import split_address

if TYPE_CHECKING:
    from ospreyford.distribution.service import (
        Changes,
        DocumentService,
        DocumentText,
        Listing,
    )
    from ospreyford.ports.fleet import Host
    from ospreyford.ports.hosts import HostListPort
    from ospreyford.settings.sections import Platform

CONFIG_SERVICE = 'config_service'
HOST_LIST = 'host_list'

_Answer = TypeVar('_Answer')


class CallCounter(Protocol):
    """Takes note of calls."""

    def count_call(self, target: str, *, answered: bool) -> None:
        """Count a call to the platform.

        :param target: which of its services.
        :param answered: whether a usable answer came.
        """


class CountedDocuments:
    """The configuration service, each call counted when it ends.

    :param service: the service.
    :param counter: told of each call.
    """

    def __init__(self, service: DocumentService, counter: CallCounter) -> None:
        self._service = service
        self._counter = counter

    async def list_documents(self) -> Listing:
        """List all documents.

        :returns: names and revisions.
        :raises ServiceUnavailable: no usable answer.
        """
        return await self._count(self._service.list_documents())

    async def read_document(self, name: str) -> DocumentText:
        """Read one document.

        :param name: the document's name.
        :returns: its text and revision.
        :raises ServiceUnavailable: no usable answer, or no such document.
        """
        return await self._count(self._service.read_document(name))

    async def watch(self, after: int, wait: float) -> Changes:
        """Wait for changes.

        :param after: the revision whose later changes are asked for.
        :param wait: seconds after which an empty answer comes.
        :returns: the changes, one for each document that changed.
        :raises ServiceUnavailable: no usable answer.
        """
        return await self._count(self._service.watch(after, wait))

    async def _count(self, call: Awaitable[_Answer]) -> _Answer:
        try:
            answer = await call
        except ServiceUnavailable:
            self._counter.count_call(CONFIG_SERVICE, answered=False)
            raise
        self._counter.count_call(CONFIG_SERVICE, answered=True)
        return answer


class CountedHosts:
    """The host list, each reading counted when it ends.

    :param source: the host list.
    :param counter: told of each reading.
    """

    def __init__(self, source: HostListPort, counter: CallCounter) -> None:
        self._source = source
        self._counter = counter

    async def read(self) -> tuple[Host, ...] | None:
        """Read the whole list.

        :returns: the hosts, or ``None`` when the platform does not answer.
        """
        hosts = await self._source.read()
        self._counter.count_call(HOST_LIST, answered=hosts is not None)
        return hosts


def read_documents(platform: Platform, counter: CallCounter) -> DocumentSource:
    """Make the source of documents.

    :param platform: where the platform's services listen.
    :param counter: told of each call.
    :returns: the configuration service's documents.
    """
    client = ServiceClient(*split_address(platform.config_service))
    return DocumentSource(CountedDocuments(client, counter), is_well_formed)


def read_hosts(platform: Platform, counter: CallCounter) -> CountedHosts:
    """Make the source of hosts.

    :param platform: where the platform's services listen.
    :param counter: told of each reading.
    :returns: the host list.
    """
    client = HostListClient(*split_address(platform.host_list))
    return CountedHosts(client, counter)
