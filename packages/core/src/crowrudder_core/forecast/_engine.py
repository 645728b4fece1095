"""Timing model of an engine that runs prefill and decoding in passes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from crowrudder_model.fleet import EngineFigures

_THOUSAND = 1000.0
_MILLION = 1.0e6


@frozen
class EngineModel:
    """Times computed from an engine's declared figures.

    In a method's parameters, ``writers`` is the number of requests that
    generate tokens at the same time.

    Example
    -------
    >>> from crowrudder_model.fleet import EngineFigures
    >>> model = EngineModel(EngineFigures(slots=2, step_s=0.01))
    >>> model.pass_s(writers=0)
    0.01
    """

    figures: EngineFigures

    def step_s(self, writers: int) -> float:
        """Return the time of one token with ``writers`` active requests."""
        figures = self.figures
        context = (figures.usual_prompt + figures.usual_answer / 2) / _THOUSAND
        each = figures.step_per_writer_s + context * figures.step_per_context_s
        return figures.step_s + writers * each

    def pass_s(self, writers: int) -> float:
        """Return the time between two queue polls, without prefill."""
        steps = self.figures.steps_per_pass if writers else 1
        return steps * self.step_s(writers)

    def prefill_s(self, tokens: int) -> float:
        """Return the time to prefill a prompt."""
        pairs = tokens * tokens / 2 / _MILLION
        figures = self.figures
        return (
            tokens / figures.read_tokens_per_s
            + pairs * figures.pairs_s_per_million
        )

    def run_s(self, writers: int) -> float:
        """Return how long a typical request holds its slot.

        Besides generating its own tokens, it waits for the prefill of the
        requests that follow one another in the other slots: one for each slot.
        """
        figures = self.figures
        decode_s = figures.usual_answer * self.step_s(writers)
        return decode_s + max(writers, 1) * self.prefill_s(figures.usual_prompt)

    def slot_interval_s(self, writers: int) -> float:
        """Return the time between two freed slots under full load."""
        return self.run_s(writers) / max(self.figures.slots, 1)
