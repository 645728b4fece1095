"""Simulated engine that prefills and decodes in passes."""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.forecast import EngineModel

if TYPE_CHECKING:
    from crowrudder_model.fleet import EngineFigures


@define
class Clock:
    """Virtual time in seconds, and the scheduled actions."""

    now: float = 0
    _events: list[tuple[float, int, Callable[[], object]]] = field(factory=list)
    _numbers: itertools.count[int] = field(factory=itertools.count)

    def after(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedule an action after a delay."""
        event = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        """Run all actions that are due up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now, _, action = heapq.heappop(self._events)
            action()


@define(eq=False)
class Job:
    """A request at an engine; ``answer`` counts the remaining tokens."""

    prompt: int
    answer: int
    on_first: Callable[[], object]
    on_end: Callable[[], object]
    has_begun: bool = False
    urgency: int = 0


@define(eq=False)
class Engine:
    """Admits requests by urgency at the start of a pass, prefills, then decodes.

    Parameters
    ----------
    pace
        Slowdown factor: multiplies the times of the figures.
    full_pace, full_from
        A further slowdown factor while at least ``full_from`` requests run.
    """

    clock: Clock
    figures: EngineFigures
    pace: float = 1
    full_pace: float = 1
    full_from: int = 0
    queue: deque[Job] = field(factory=deque)
    running: list[Job] = field(factory=list)
    _is_in_pass: bool = False

    def send(self, job: Job) -> None:
        """Queue a request; start a pass if the engine is idle."""
        self.queue.append(job)
        if not self._is_in_pass:
            self._begin_pass()

    def pace_at(self, running: int) -> float:
        """Return the slowdown factor while ``running`` requests run."""
        is_full = running >= self.full_from
        return self.pace * (self.full_pace if is_full else 1)

    def _begin_pass(self) -> None:
        while self.queue and len(self.running) < self.figures.slots:
            job = min(self.queue, key=lambda each: each.urgency)
            self.queue.remove(job)
            self.running.append(job)
        self._is_in_pass = bool(self.running)
        if not self._is_in_pass:
            return
        model = EngineModel(self.figures)
        decoding = sum(job.has_begun for job in self.running)
        prefilling = [job for job in self.running if not job.has_begun]
        took_s = model.pass_s(decoding)
        took_s += sum(model.prefill_s(job.prompt) for job in prefilling)
        pace = self.pace_at(len(self.running))
        self.clock.after(pace * took_s, self._end_pass)

    def _end_pass(self) -> None:
        for job in self.running:
            if job.has_begun:
                job.answer -= self.figures.steps_per_pass
            else:
                job.has_begun = True
                job.answer -= 1
                job.on_first()
        ended = [each for each in self.running if each.answer <= 0]
        self.running = [each for each in self.running if each.answer > 0]
        for job in ended:
            job.on_end()
        self._begin_pass()
