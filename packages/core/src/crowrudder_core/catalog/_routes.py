"""Find the route of a request: by host name, then by the longest prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crowrudder_model.fleet import Route


@define
class RouteTable:
    """Routes by host name and prefix.

    Example
    -------
    >>> RouteTable(()).find('example', '/a/') is None
    True
    """

    routes: Iterable[Route]
    _by_host: dict[str, dict[str, Route]] = field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        """Index the routes."""
        for route in self.routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that begins the path.

        Every prefix ends with a slash, so that only the path's own slashes
        have to be tried, and the cost is independent of the number of routes.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None
