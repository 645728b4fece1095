"""The number that an engine uses to refuse an older agent's order."""

from __future__ import annotations

from attrs import define

GENERATION_SHIFT = 20
"""Orders that one generation may give before the next generation's begin."""


@define
class FencingNumber:
    """Give fencing numbers above all that the engine has seen.

    Nothing is stored: the number is read back from the engine and raised, and
    is at least the generation's, so that an agent that was frozen through a
    newer generation is refused even if it reads no number before it acts.
    """

    seen: int = 0

    def on_read(self, fence: int) -> None:
        """Take the number that the engine told."""
        self.seen = max(self.seen, fence)

    def next_for(self, generation: int) -> int:
        """Give the number for the next order of a generation."""
        self.seen = max(self.seen + 1, generation << GENERATION_SHIFT)
        return self.seen
