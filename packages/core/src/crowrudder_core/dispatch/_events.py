"""Split a stream of server-sent events into complete events and count them."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.dispatch._answer_bounds import StreamBounds
from crowrudder_core.dispatch._body_end import (
    has_field,
    stream_completeness,
)

if TYPE_CHECKING:
    from crowrudder_core.dispatch._answer_bounds import AnswerBound
    from crowrudder_core.dispatch._body_end import BodyEnd, Completeness

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_MAX_END_BYTES = 4
_ID_LINE = re.compile(rb'(?:\A|(?<=[\r\n]))id:[ ]?([^\r\n]*)')
"""``^`` matches only after LF, and a line may end with CR alone."""


@define
class EventSplitter:
    r"""Splits a stream that arrives in arbitrary pieces into events.

    An upstream may break off in the middle of an event. If the partial event
    were forwarded, it would be joined with the next event of another upstream.

    Example
    -------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2')
    b'id: 1\ndata: a\n\n'
    >>> splitter.rest
    b'id: 2'
    """

    _held: bytearray = field(factory=bytearray, init=False)
    """What follows the last complete event; it contains no event's end."""

    @property
    def rest(self) -> bytes:
        """Return what follows the last complete event."""
        return bytes(self._held)

    def feed(self, piece: bytes) -> bytes:
        """Append bytes; return the events that they complete.

        Only the bytes in which a new end may lie are searched: an event that
        arrives in many pieces would else be searched once for each of them.
        """
        held = self._held
        start = max(len(held) - _MAX_END_BYTES + 1, 0)
        held += piece
        end = 0
        for found in _EVENT_END.finditer(held, start):
            end = found.end()
        if not end:
            return b''
        complete = bytes(held[:end])
        self._held = held[end:]
        return complete


@define(eq=False)
class RunEvents:
    """The events of one run, of which a stream may have two at a time.

    Both were sent to go on after the same event. The first of them that
    completes another event holds the stream from then on, and nothing of the
    other one is forwarded any more: it would repeat what the caller has.
    """

    _stream: EventStream
    _began_at: int
    """Position of the stream after which the run goes on."""

    events: int = 0
    exceeded: AnswerBound | None = None
    """The bound that the run's stream exceeds."""

    _has_event: bool = False
    _comments: bytearray = field(factory=bytearray)
    """Comments before the first event: forwarded with it, as they alone would
    begin an answer that may have no event."""

    _splitter: EventSplitter = field(factory=EventSplitter)
    _bounds: StreamBounds = field(factory=StreamBounds)

    def take(self, piece: bytes, received: int = 0) -> bytes:
        """Append the upstream's bytes; return what may be forwarded.

        Parameters
        ----------
        piece
            A part of the body.
        received
            Bytes received for the answer, with all framing.
        """
        complete = self._splitter.feed(piece)
        if complete and has_field(complete):
            self._bounds.on_event(received)
        else:
            self.exceeded = self._bounds.on_part(
                received, comments=len(complete)
            )
            if not self._has_event:
                self._comments += complete
                return b''
        if not complete or not self._stream.hold(self, self._began_at):
            return b''
        if not self._has_event:
            self._has_event = True
            complete = bytes(self._comments + complete)
            self._comments.clear()
        self.events += self._stream.on_complete(complete)
        return complete

    def rest(self) -> bytes:
        """Return what an ended run has sent and not had forwarded."""
        return bytes(self._comments) + self._splitter.rest

    def completeness(self, end: BodyEnd) -> Completeness:
        """Return whether the run's stream is whole at its end."""
        return stream_completeness(
            end,
            rest=self._splitter.rest,
            has_events=self._has_event,
        )

    def finish(self) -> bool:
        """End the stream with this run; return whether it was the run's."""
        return self._stream.finish(self, self._began_at)


@define
class EventStream:
    r"""The events that a caller has received over all runs.

    Example
    -------
    >>> stream = EventStream()
    >>> run = stream.begin_run()
    >>> run.take(b'id: 7\ndata: a\n\n')
    b'id: 7\ndata: a\n\n'
    >>> stream.last_id
    '7'
    """

    last_id: str = ''
    events: int = 0
    longest_pause_s: float = 0
    _forwarded_at: float | None = None
    _position: int = 0
    """How often events were forwarded."""

    _holder: RunEvents | None = None
    _is_finished: bool = False

    def begin_run(self) -> RunEvents:
        """Return the events of a run that goes on after the last event."""
        return RunEvents(self, self._position)

    def hold(self, run: RunEvents, began_at: int) -> bool:
        """Let a run continue the stream; return False if another one did."""
        if self._is_finished:
            return False
        if self._holder is not run and began_at != self._position:
            return False
        self._holder = run
        return True

    def on_complete(self, complete: bytes) -> int:
        """Record events that are forwarded; return how many have an id."""
        self._position += 1
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_id = ids[-1].decode('ascii', errors='replace')
            self.events += len(ids)
        return len(ids)

    def finish(self, run: RunEvents, began_at: int) -> bool:
        """Let a run end the stream; return False if another one holds it."""
        if not self.hold(run, began_at):
            return False
        self._is_finished = True
        return True

    def on_forwarded(self, now: float) -> float:
        """Record that events are forwarded; return the seconds since the last.

        The pause counts over all runs: a caller waits in the same way while
        its stream is resumed elsewhere. 0 before the first event.
        """
        previous_at, self._forwarded_at = self._forwarded_at, now
        pause_s = 0 if previous_at is None else now - previous_at
        self.longest_pause_s = max(self.longest_pause_s, pause_s)
        return pause_s
