"""The bound of what is read from a source of chunks."""

from __future__ import annotations

from attrs import define

from crowrudder_model import CrowrudderError

MAX_EMPTY_PIECES = 16
"""Messages without bytes of a chunk in one answer; a peer sends one."""


class LongChunkError(CrowrudderError):
    """The source sent more than the chunk."""


@define
class ReadBound:
    """Ends a read at the size of its chunk.

    A read counts as stalled only if nothing arrives, so that nothing else ends
    one from a source that sends without end.
    """

    source: str
    left_bytes: int
    left_empty: int = MAX_EMPTY_PIECES

    def on_piece(self, size: int) -> None:
        """Record the size of a piece.

        Raises
        ------
        LongChunkError
            If the source sends more than the chunk.
        """
        self.left_bytes -= size
        self.left_empty -= not size
        if self.left_bytes < 0:
            raise LongChunkError(
                'more bytes than the chunk has', step='chunk', peer=self.source
            )
        if self.left_empty < 0:
            raise LongChunkError(
                'too many pieces without bytes', step='chunk', peer=self.source
            )
