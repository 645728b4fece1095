"""How the body of an answer was delimited, how it ended, and if it is whole."""

from __future__ import annotations

import enum
import re

_FIELD_START = re.compile(rb'(?:\A|(?<=[\r\n]))[^:\r\n]')
"""The first byte of a line that is neither empty nor a comment."""

_FIRST_NON_SUCCESS_STATUS = 300


class Framing(enum.Enum):
    """What tells the end of a body to its receiver."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'
    """Nothing but the end of the connection."""


class BodyEnd(enum.Enum):
    """How a body ended."""

    OPEN = 'open'
    """It has not ended."""

    FRAMING = 'framing'
    """By its own length or last chunk."""

    FIN = 'fin'
    """With an orderly end of the connection."""

    RESET = 'reset'
    """With the loss of the connection."""

    LOCAL = 'local'
    """This process closed the connection."""


class Completeness(enum.Enum):
    """Whether the body of an answer that has ended is whole."""

    COMPLETE = 'complete'
    """Its framing says so."""

    ASSUMED = 'assumed'
    """Only its connection has ended, and nothing shows that a part is missing.

    A process that crashes ends its connections in the same way."""

    TRUNCATED = 'truncated'


def answer_completeness(
    end: BodyEnd, *, status: int, size: int
) -> Completeness:
    """Return whether an answer that is no stream is whole.

    Parameters
    ----------
    end
        How its body ended.
    status
        Its status. A success promises content; others say enough themselves.
    size
        Bytes of its body.
    """
    is_empty = status < _FIRST_NON_SUCCESS_STATUS and not size
    return _completeness(end, is_empty=is_empty)


def stream_completeness(
    end: BodyEnd, *, rest: bytes, has_events: bool
) -> Completeness:
    """Return whether a stream of events is whole.

    Parameters
    ----------
    end
        How its body ended.
    rest
        What followed its last complete event.
    has_events
        Whether it had a complete event.
    """
    if _ends_within_event(rest):
        return Completeness.TRUNCATED
    return _completeness(end, is_empty=not has_events)


def _completeness(end: BodyEnd, *, is_empty: bool) -> Completeness:
    """Return whether a body is whole, as far as its end tells.

    An upstream that means to send nothing says so by a length of 0 or a last
    chunk; one that crashes after the head does not.
    """
    match end:
        case BodyEnd.FRAMING:
            return Completeness.COMPLETE
        case BodyEnd.FIN if not is_empty:
            return Completeness.ASSUMED
        case _:
            return Completeness.TRUNCATED


def has_field(lines: bytes) -> bool:
    """Return whether lines of a stream have a field, not only comments."""
    return _FIELD_START.search(lines) is not None


def _ends_within_event(rest: bytes) -> bool:
    """Return whether bytes end within an event or a line.

    A comment may follow the last event: it belongs to none.
    """
    if rest and not rest.endswith((b'\n', b'\r')):
        return True
    return has_field(rest)
