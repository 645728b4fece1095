"""The HTTP endpoints for the list of entries and for readiness."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.web import Application, RequestHandler

from crowrudder_core.routing import entries_for_caller
from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.fleet.ports import CallerProtocol
    from crowrudder_model.fleet import FleetConfig
    from crowrudder_model.messages import MemberStatus

MAX_ADDRESSES = 64
"""Callers accept no more addresses than this."""


class EntriesHandler(RequestHandler):
    """Serves the addresses of the entries that callers should use."""

    def initialize(self, directory: Directory) -> None:
        """Store the directory that both handlers share."""
        self._directory = directory

    def get(self) -> None:
        """Return the addresses of the entries that are ready."""
        arguments = {
            name: self.get_query_argument(name, '')
            for name in self.request.query_arguments
        }
        self.set_header('Content-Type', 'application/json')
        self.finish(self._directory.answer(arguments))


class ReadyHandler(RequestHandler):
    """Serves the readiness of this entry."""

    def initialize(self, directory: Directory) -> None:
        """Store the directory that both handlers share."""
        self._directory = directory

    def get(self) -> None:
        """Return status 200 if this entry is ready, else 503."""
        self.set_status(200 if self._directory.is_ready() else 503)
        self.finish(b'')


class Directory:
    """Selects the entry addresses that callers receive."""

    def __init__(
        self,
        *,
        dialect: CallerProtocol,
        entries: Callable[[], list[MemberStatus]],
        own: str,
        is_ready: Callable[[], bool],
        ttl_s: float,
        config: Callable[[], FleetConfig | None],
    ) -> None:
        self._dialect = dialect
        self._entries = entries
        self._own = own
        self.is_ready = is_ready
        self._ttl_s = ttl_s
        self._config = config

    def application(self) -> Application:
        """Return the web application with both endpoints."""
        shared = {'directory': self}
        return Application(
            [
                (self._dialect.directory_path, EntriesHandler, shared),
                (self._dialect.ready_path, ReadyHandler, shared),
            ],
            log_function=lambda _handler: None,
        )

    def answer(self, arguments: dict[str, str]) -> bytes:
        """Return the encoded answer for a caller."""
        host = self._dialect.caller_host(arguments)
        _, region = self._dialect.caller_location(arguments)
        return self._dialect.encode_directory(
            self.addresses(host, region), self._ttl_s
        )

    def addresses(self, host: str = '', region: str = '') -> list[str]:
        """Return the ready entries, else those that are not leaving.

        Of a host name whose routes only some regions may serve, they are those
        of the caller's region, see `entries_for_caller`.

        Callers treat an answer without addresses as a failure. While a fleet
        starts, they should wait at an entry instead of retrying elsewhere.
        """
        listed = [entry for entry in self._entries() if entry.callers]
        staying = [entry for entry in listed if not entry.leaving]
        ready = [entry for entry in staying if entry.ready]
        config = self._config()
        chosen = entries_for_caller(
            ready or staying or listed,
            caller_region=region,
            serving_regions=config.regions_of_host(host) if config else None,
        )
        found = [entry.callers for entry in chosen] or [self._own]
        if len(found) > MAX_ADDRESSES:
            found = ranked(self._own, found)[:MAX_ADDRESSES]
        return found
