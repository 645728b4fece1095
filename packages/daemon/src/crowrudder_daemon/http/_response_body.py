"""What delimits the body of a response, and how its connection ended."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import h11
from attrs import define

from crowrudder_core.dispatch import BodyEnd, Framing

if TYPE_CHECKING:
    from collections.abc import Callable

_BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


def framing_of(method: str, response: h11.Response) -> Framing:
    """Return what delimits the body of a response to a request.

    A response that can't have a body counts as one of length 0.
    """
    if method == 'HEAD' or response.status_code in _BODILESS_STATUSES:
        return Framing.LENGTH
    names = {name for name, _ in response.headers}
    if b'transfer-encoding' in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b'content-length' in names else Framing.CONNECTION


@define
class ResponseBody:
    """The body of the current response.

    ``framing`` is None before the head; ``is_read`` is set at the end that the
    parser reports, which may be the end of the connection.
    """

    framing: Framing | None = None
    is_read: bool = False


@define
class ConnectionEnd:
    """The end of a connection; the event that came first tells how it ended.

    ``on_first`` is called at that event.
    """

    _on_first: Callable[[], None] | None = None
    how: BodyEnd = BodyEnd.OPEN
    reason: str = ''

    def record(self, how: BodyEnd, reason: str) -> None:
        """Record an event that ends the connection."""
        if self.how is BodyEnd.OPEN:
            self.how = how
            self.reason = reason
            if self._on_first is not None:
                self._on_first()

    @property
    def is_by_peer(self) -> bool:
        """Whether the peer has closed or reset the connection."""
        return self.how in {BodyEnd.FIN, BodyEnd.RESET}
