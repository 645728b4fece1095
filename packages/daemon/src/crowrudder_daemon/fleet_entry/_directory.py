"""Where callers learn which entry to use, and whether this one is ready."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.web import Application, RequestHandler

from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.fleet.ports import CallersDialect
    from crowrudder_model.messages import MemberWord

MOST_ADDRESSES = 64
"""More aren't taken by callers."""


class EntriesHandler(RequestHandler):
    """Tells callers which entries to use."""

    def initialize(self, directory: Directory) -> None:
        """Take what is shared."""
        self._directory = directory

    def get(self) -> None:
        """Give the addresses of entries that are ready."""
        arguments = {
            name: self.get_query_argument(name, '')
            for name in self.request.query_arguments
        }
        self.set_header('Content-Type', 'application/json')
        self.finish(self._directory.answer(arguments))


class ReadyHandler(RequestHandler):
    """Says whether callers may be sent here."""

    def initialize(self, directory: Directory) -> None:
        """Take what is shared."""
        self._directory = directory

    def get(self) -> None:
        """Answer 200 when ready, else 503."""
        self.set_status(200 if self._directory.is_ready() else 503)
        self.finish(b'')


class Directory:
    """Chooses the addresses that callers are given."""

    def __init__(
        self,
        *,
        dialect: CallersDialect,
        entries: Callable[[], list[MemberWord]],
        own: str,
        is_ready: Callable[[], bool],
        ttl_s: float,
    ) -> None:
        self._dialect = dialect
        self._entries = entries
        self._own = own
        self.is_ready = is_ready
        self._ttl_s = ttl_s

    def application(self) -> Application:
        """Give the two pages."""
        shared = {'directory': self}
        return Application(
            [
                (self._dialect.directory_path, EntriesHandler, shared),
                (self._dialect.ready_path, ReadyHandler, shared),
            ],
            log_function=lambda _handler: None,
        )

    def answer(self, arguments: dict[str, str]) -> bytes:
        """Write the answer for a caller."""
        return self._dialect.directory_answer(self.addresses(), self._ttl_s)

    def addresses(self) -> list[str]:
        """Give the entries that are ready, else those that aren't leaving.

        An answer without addresses counts as none at all: while a fleet
        starts, callers had better wait at an entry than ask around.
        """
        words = [word for word in self._entries() if word.callers]
        staying = [word for word in words if not word.leaving]
        ready = [word for word in staying if word.ready]
        chosen = ready or staying or words
        found = [word.callers for word in chosen] or [self._own]
        if len(found) > MOST_ADDRESSES:
            found = ranked(self._own, found)[:MOST_ADDRESSES]
        return found
