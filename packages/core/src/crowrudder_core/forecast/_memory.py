"""Estimate of the memory that the requests of an engine take."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from crowrudder_core.forecast._upstream_forecast import UpstreamForecast
    from crowrudder_model.fleet import EngineFigures
    from crowrudder_model.messages import EngineLoad


@frozen(kw_only=True)
class MemoryEstimate:
    """What an engine's requests take of its memory, in tokens times layers.

    ``reported`` is what its last load report says; ``own_since`` and
    ``others_since`` are what this entry and others have sent since.
    """

    capacity: int
    reported: int
    own_since: int = 0
    others_since: int = 0

    @property
    def used(self) -> int:
        """All that is taken."""
        return self.reported + self.own_since + self.others_since

    def has_room(self, memory: int) -> bool:
        """Return whether a further request fits."""
        return self.used + memory <= self.capacity


def request_memory(
    figures: EngineFigures, *, prompt: int, answer: int, layers: int = 0
) -> int:
    """Return what a request takes of an engine's memory.

    What its caller doesn't state counts as usual.

    Parameters
    ----------
    prompt, answer
        Tokens of its prompt and of its answer, 0 if not stated.
    layers
        The layers that the engine runs, 0 for all.

    Example
    -------
    >>> from crowrudder_model.fleet import EngineFigures
    >>> figures = EngineFigures(slots=2, step_s=0.01, usual_answer=6, layers=4)
    >>> request_memory(figures, prompt=100, answer=0)
    424
    """
    tokens = (prompt or figures.usual_prompt) + (answer or figures.usual_answer)
    return tokens * (layers or figures.layers or 1)


def estimate_memory(
    figures: EngineFigures,
    load: EngineLoad | None,
    *,
    own_since: Sequence[int],
    own_in_load: int,
    has_other_entries: bool,
) -> MemoryEstimate | None:
    """Estimate what an engine's requests take; None where figures are missing.

    Other entries are assumed to have sent since the report as they did before:
    this entry's share of the requests in the report, with its later ones, is
    also its share of what was sent since. They don't send more than fills the
    slots, as what waits for a slot takes no memory.

    Parameters
    ----------
    load
        The last load report, None if it has expired.
    own_since
        The memory of each request that this entry has sent since the report.
    own_in_load
        This entry's requests that the report counts.
    """
    if not figures.memory_tokens or load is None:
        return None
    if load.running and not load.memory_used:
        # The engine doesn't report its memory.
        return None
    sent = len(own_since)
    others = 0.0
    if sent and has_other_entries:
        others_in_load = max(load.running + load.queued - own_in_load, 0)
        others = min(
            sent * others_in_load / (own_in_load + sent),
            max(figures.slots - load.running - sent, 0),
        )
    own = sum(own_since)
    return MemoryEstimate(
        capacity=figures.memory_tokens * max(figures.layers, 1),
        reported=load.memory_used,
        own_since=own,
        others_since=int(others * own / sent) if sent else 0,
    )


def memory_of(
    forecast: UpstreamForecast, prompt: int, answer: int, *, layers: int = 0
) -> int:
    """Return what a request takes of an upstream's memory; 0 if unknown."""
    if forecast.model is None:
        return 0
    figures = forecast.model.figures
    return request_memory(figures, prompt=prompt, answer=answer, layers=layers)


def memory_in_use(
    forecast: UpstreamForecast, now: float
) -> MemoryEstimate | None:
    """Estimate an upstream's memory in use; None where figures are missing."""
    if forecast.model is None or not forecast.model.figures.memory_tokens:
        return None
    return estimate_memory(
        forecast.model.figures,
        forecast.fresh_load(now),
        own_since=[
            request.memory
            for request in forecast.in_flight.values()
            if not request.is_reported
        ],
        own_in_load=forecast.own_in_load,
        has_other_entries=forecast.other_entries > 0,
    )


def has_memory_for(forecast: UpstreamForecast, memory: int, now: float) -> bool:
    """Return whether a request fits an upstream's memory, as far as known."""
    estimate = memory_in_use(forecast, now)
    return estimate is None or estimate.has_room(memory)
