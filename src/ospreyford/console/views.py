"""Answers of the admin port that need more than one package."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from ospreyford.documents.explanation import Explanation, explain
from ospreyford.observability.admin import Query, require_parameter

if TYPE_CHECKING:
    from ospreyford.documents.picture import Picture
    from ospreyford.ports.fleet import Host


class ExplainView:
    """Answers ``/explain?customer=C&service=S``.

    :param find_picture: the picture in force.
    :param find_hosts: the host list as last read.
    """

    def __init__(
        self,
        find_picture: Callable[[], Picture],
        find_hosts: Callable[[], Iterable[Host]],
    ) -> None:
        self._find_picture = find_picture
        self._find_hosts = find_hosts

    def __call__(self, query: Query) -> Explanation:
        """Explain a route.

        :param query: names customer and service.
        :returns: what decides over the customer's requests.
        :raises BadQuery: one of them is missing.
        """
        return explain(
            self._find_picture(),
            self._find_hosts(),
            require_parameter(query, 'customer', 'a customer'),
            require_parameter(query, 'service', 'a service'),
        )
