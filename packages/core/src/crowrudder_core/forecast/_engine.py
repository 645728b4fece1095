"""The arithmetic of an engine that reads and writes in passes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from crowrudder_model.fleet import EngineFigures

_THOUSAND = 1000.0
_MILLION = 1.0e6


@frozen
class EngineModel:
    """Times that follow from an engine's stated figures.

    Example
    -------
    >>> from crowrudder_model.fleet import EngineFigures
    >>> model = EngineModel(EngineFigures(slots=2, step_s=0.01))
    >>> model.pass_s(writers=0)
    0.01
    """

    figures: EngineFigures

    def step_s(self, writers: int) -> float:
        """Give the time of one token for so many writers."""
        figures = self.figures
        context = (figures.usual_prompt + figures.usual_answer / 2) / _THOUSAND
        each = figures.step_per_writer_s + context * figures.step_per_context_s
        return figures.step_s + writers * each

    def pass_s(self, writers: int) -> float:
        """Give the time between two looks at the queue, without reading."""
        steps = self.figures.steps_per_pass if writers else 1
        return steps * self.step_s(writers)

    def read_s(self, tokens: int) -> float:
        """Give the time to read a prompt."""
        pairs = tokens * tokens / 2 / _MILLION
        figures = self.figures
        return (
            tokens / figures.read_tokens_per_s
            + pairs * figures.pairs_s_per_million
        )

    def run_s(self, writers: int) -> float:
        """Give the time that a usual request holds its slot among others.

        Beside its own tokens it waits while the prompts of those that follow
        each other in the other slots are read: one for each of them.
        """
        figures = self.figures
        writing = figures.usual_answer * self.step_s(writers)
        return writing + max(writers, 1) * self.read_s(figures.usual_prompt)

    def turn_s(self, writers: int) -> float:
        """Give the time between two slots that become free, when all run."""
        return self.run_s(writers) / max(self.figures.slots, 1)
