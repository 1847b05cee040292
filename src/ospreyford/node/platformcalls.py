"""Platform clients whose calls are counted."""

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
    """Counter of platform calls."""

    def count_call(self, target: str, *, answered: bool) -> None:
        """Count a call to the platform.

        :param target: name of the service.
        :param answered: whether the response was usable.
        """


class CountedDocuments:
    """Configuration service client that counts completed calls.

    :param service: the service.
    :param counter: counts the calls.
    """

    def __init__(self, service: DocumentService, counter: CallCounter) -> None:
        self._service = service
        self._counter = counter

    async def list_documents(self) -> Listing:
        """List all documents.

        :returns: names and revisions.
        :raises ServiceUnavailable: the call failed.
        """
        return await self._count(self._service.list_documents())

    async def read_document(self, name: str) -> DocumentText:
        """Read one document.

        :param name: the document's name.
        :returns: its text and revision.
        :raises ServiceUnavailable: the call failed or the document is missing.
        """
        return await self._count(self._service.read_document(name))

    async def watch(self, after: int, wait: float) -> Changes:
        """Wait for changes.

        :param after: revision after which to report changes.
        :param wait: long-poll timeout, in seconds.
        :returns: one change for each changed document.
        :raises ServiceUnavailable: the call failed.
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
    """Host list client that counts completed calls.

    :param source: the host list.
    :param counter: counts the calls.
    """

    def __init__(self, source: HostListPort, counter: CallCounter) -> None:
        self._source = source
        self._counter = counter

    async def read(self) -> tuple[Host, ...] | None:
        """Read the whole list.

        :returns: the hosts, or ``None`` if the call failed.
        """
        hosts = await self._source.read()
        self._counter.count_call(HOST_LIST, answered=hosts is not None)
        return hosts


def make_document_source(
    platform: Platform, counter: CallCounter
) -> DocumentSource:
    """Make the source of documents.

    :param platform: addresses of the platform's services.
    :param counter: counts the calls.
    :returns: the configuration service's documents.
    """
    client = ServiceClient(*split_address(platform.config_service))
    return DocumentSource(CountedDocuments(client, counter), is_well_formed)


def make_host_source(platform: Platform, counter: CallCounter) -> CountedHosts:
    """Make the source of hosts.

    :param platform: addresses of the platform's services.
    :param counter: counts the calls.
    :returns: the host list.
    """
    client = HostListClient(*split_address(platform.host_list))
    return CountedHosts(client, counter)
