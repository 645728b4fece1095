"""Bounds of what an upstream may send in one answer."""

from __future__ import annotations

import enum

from attrs import define

KIB = 1024

MAX_HEAD_BYTES = 64 * KIB
"""Of a head, of the size line of a chunk, and of trailers."""

MAX_INFORMATIONAL_ANSWERS = 128
MAX_INFORMATIONAL_BYTES = 64 * KIB
"""Of the header fields of all informational answers to a request."""

MAX_STRAY_ANSWERS = 4
"""Number of answers to other requests that are discarded before an attempt
fails."""

MAX_DRAINED_BYTES = 512 * KIB
"""Received while a body is discarded, with what was read ahead of its end."""

MAX_BODY_BYTES = 4 * KIB * KIB
"""Of an answer that is buffered before it is forwarded."""

MAX_BUFFERED_ANSWER_BYTES = 2 * MAX_BODY_BYTES
"""Received for such an answer: a body may be small and its framing long."""

MAX_BYTES_WITHOUT_EVENT = 768 * KIB
"""Received for a stream before its first event or since its last one, with all
framing. A read from the socket adds up to 256 KiB before this is checked."""

MAX_COMMENT_BYTES = 256 * KIB
"""Of comments of a stream in a row, without an event among them."""


MAX_PARTS_WITHOUT_EVENT = 8192
"""Parts of a stream, or of a body that is discarded. A part may be a chunk of
one byte, which costs as much processor time as one of many."""

MAX_BUFFERED_PARTS = 65_536
"""Parts of an answer that is buffered before it is forwarded."""


class AnswerBound(enum.Enum):
    """What an answer had too much of."""

    HEAD = 'head'
    CHUNK_FRAMING = 'chunk framing'
    INFORMATIONAL = 'informational answers'
    STRAY = 'answers to other requests'
    DRAINED = 'body to discard'
    BODY = 'buffered body'
    FIRST_EVENT = 'bytes before the first event'
    EVENT = 'bytes of one event'
    COMMENTS = 'comments'


@define
class InformationalCount:
    """The informational answers to one request so far."""

    _number: int = 0
    _size: int = 0

    def add(self, size: int) -> None:
        """Add one whose header fields have a size."""
        self._number += 1
        self._size += size

    @property
    def is_exceeded(self) -> bool:
        """Return whether there are too many, or too long ones."""
        return (
            self._number > MAX_INFORMATIONAL_ANSWERS
            or self._size > MAX_INFORMATIONAL_BYTES
        )


@define
class StreamBounds:
    """How much of a run's stream has brought no event."""

    _parts: int = 0
    _comment_bytes: int = 0
    _received_at_event: int = 0
    _has_event: bool = False

    def on_event(self, received: int) -> None:
        """Record a part that ended an event, and the bytes until now."""
        self._parts = 0
        self._comment_bytes = 0
        self._received_at_event = received
        self._has_event = True

    def on_part(self, received: int, *, comments: int) -> AnswerBound | None:
        """Record any other part; return the bound that is exceeded, if any.

        Parameters
        ----------
        received
            Bytes received for the answer, with all framing.
        comments
            Bytes of comments that end with this part.
        """
        self._parts += 1
        self._comment_bytes += comments
        if self._comment_bytes > MAX_COMMENT_BYTES:
            return AnswerBound.COMMENTS
        if (
            received - self._received_at_event <= MAX_BYTES_WITHOUT_EVENT
            and self._parts <= MAX_PARTS_WITHOUT_EVENT
        ):
            return None
        return AnswerBound.EVENT if self._has_event else AnswerBound.FIRST_EVENT
