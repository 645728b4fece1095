"""What an entry knows of one upstream, and the forecast that follows."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.forecast._engine import EngineModel
from crowrudder_core.forecast._life import LifeMark
from crowrudder_model.fleet import LayerRange

if TYPE_CHECKING:
    from crowrudder_model.fleet import EngineFigures, Upstream
    from crowrudder_model.messages import EngineLoad

CROWDED = 0.6
"""From this part of its slots on, an engine is the less preferred."""

USUAL_SHARE = 0.75
"""Part of its slots that an engine without a word is taken to have in use."""

WORD_LIVE_S = 1.0
"""An agent's word on load counts for so long; it comes every 0.1 s."""

PART_WORD_S = 0.5
"""An engine is on a path only by a word as young as this. An agent that gives
a part up says so a second before, see `Loader`."""

ON_THE_WAY_S = 0.004
"""A request sent so shortly before a word may not be counted in it."""

FIRST_AVOID_S = 0.3
"""How long an upstream is avoided after the first failure in a row."""

LONGEST_AVOID_S = 4.0

OUTCOME_WEIGHT = 0.15
"""Weight of the newest outcome in the running means."""

FAILURE_COST_S = 0.6
"""What a sure failure costs in seconds: one more attempt elsewhere."""

SLOWNESS_FADES_S = 0.5
"""In so long, late first events count for a third as much when a request is
admitted: a queue that made them late is worked off in about that."""

MOST_SLOWNESS = 8.0
PLAIN_RUN_S = 0.05
"""Assumed time of a plain service's answer before any was measured."""


@define
class Work:
    """A request that is at an upstream."""

    prompt: int
    sent_at: float
    has_begun: bool = False


@define(eq=False)
class Outlook:
    """One upstream as an entry sees it.

    Own requests are known as of now, those of other entries from the agent's
    word, as old as that is.
    """

    upstream: Upstream
    model: EngineModel | None = None
    load: EngineLoad | None = None
    avoid_until: float = 0
    failures: int = 0
    failure_share: float = 0
    slowness: float = 1
    run_s: float = PLAIN_RUN_S
    other_entries: int = 0
    _slow_at: float = 0
    _load_at: float = -1.0e9
    _own_then: int = 0
    _own_unread_then: int = 0
    _works: dict[int, Work] = field(factory=dict)
    _life: LifeMark = field(factory=LifeMark)

    def __attrs_post_init__(self) -> None:
        """Begin with the life that the first record tells of."""
        self._life.begins_by_record(self.upstream.started_ms, now=self._load_at)

    def on_record(self, upstream: Upstream, *, now: float) -> bool:
        """Take the published record; give whether a new life began by it."""
        self.upstream = upstream
        if not self._life.begins_by_record(upstream.started_ms, now=now):
            return False
        self._forget(now)
        return True

    def on_figures(self, figures: EngineFigures | None) -> None:
        """Take the figures of the upstream's service."""
        self.model = EngineModel(figures) if figures else None

    def on_load(self, load: EngineLoad, *, now: float) -> bool:
        """Take the word of the agent beside the engine, as of ``now``.

        Gives whether it is the first of a new life.

        Words that came over other entries are older than the agent's own:
        what goes wrong when such a one counts as the newest is that an engine
        which is being loaded gets requests.
        """
        if now < self._load_at:
            return False
        if not self._life.is_word_current(load.started_ms, as_of=now):
            return False
        is_new = self._life.begins_by_word(load.started_ms, as_of=now)
        if is_new:
            self._forget(now)
        self.load = load
        self._load_at = now
        counted = [
            work
            for work in self._works.values()
            if work.sent_at <= now - ON_THE_WAY_S
        ]
        self._own_then = len(counted)
        self._own_unread_then = sum(not work.has_begun for work in counted)
        return is_new

    def fresh_load(self, now: float) -> EngineLoad | None:
        """Give the agent's word unless it is too old to go by."""
        if now - self._load_at > WORD_LIVE_S:
            return None
        return self.load

    def word_age_s(self, now: float) -> float:
        """Give the age of the agent's last word; -1 where there was none."""
        return now - self._load_at if self.load else -1

    def on_sent(self, ticket: int, work: Work) -> None:
        """Count a request that goes out."""
        self._works[ticket] = work

    def on_begun(self, ticket: int, *, forecast_s: float, now: float) -> None:
        """Note the first event, and how it compares with the forecast."""
        work = self._works.get(ticket)
        if work is None or work.has_begun:
            return
        work.has_begun = True
        took_s = now - work.sent_at
        slowness = self._slowness_at(work.sent_at)
        ratio = took_s / max(forecast_s / slowness, 0.001)
        self.slowness = _mean(
            self.slowness,
            min(max(ratio, 1), MOST_SLOWNESS),
        )
        self._slow_at = now

    def _slowness_at(self, now: float) -> float:
        age_s = max(now - self._slow_at, 0)
        return 1 + (self.slowness - 1) * math.exp(-age_s / SLOWNESS_FADES_S)

    def on_ended(self, ticket: int) -> Work | None:
        """Count a request that is no longer there."""
        return self._works.pop(ticket, None)

    def on_good(self, took_s: float) -> None:
        """Note an answer that was whole."""
        self.failures = 0
        self.avoid_until = 0
        self.failure_share = _mean(self.failure_share, 0)
        self.run_s = _mean(self.run_s, took_s)

    def on_bad(self, *, now: float, avoid: bool) -> None:
        """Note a failure; ``avoid`` where the upstream may be gone."""
        self.failure_share = _mean(self.failure_share, 1)
        if not avoid:
            return
        self.failures += 1
        pause_s = FIRST_AVOID_S * 2 ** min(self.failures - 1, 6)
        self.avoid_until = now + min(pause_s, LONGEST_AVOID_S)

    def on_paused(self) -> None:
        """Note a stream that stood still for too long."""
        self.failure_share = _mean(self.failure_share, 1)

    def is_avoided(self, now: float) -> bool:
        """Whether it failed too lately."""
        load = self.fresh_load(now)
        if load is not None and not load.reachable:
            return True
        return now < self.avoid_until

    def is_changing(self, now: float) -> bool:
        """Whether its agent wants no requests because of a load."""
        load = self.fresh_load(now)
        return load is not None and load.is_changing

    def weights(self, now: float) -> int:
        """Give the loaded version, by the fresher of record and word."""
        load = self.fresh_load(now)
        if load is not None:
            return load.weights
        record = self.upstream
        if not self._life.is_recorded or not record.layers.is_whole(
            self._layers
        ):
            return 0
        return record.weights

    def part(self, now: float) -> tuple[int, LayerRange] | None:
        """Give the version and the layers that it holds in part.

        By a young word alone: what goes wrong with an older one is that the
        engine holds the same layers of another version by now.
        """
        load = self.load
        if load is None or now - self._load_at > PART_WORD_S:
            return None
        if load.is_changing or not load.reachable or not load.part_version:
            return None
        return load.part_version, LayerRange(load.part_first, load.part_end)

    @property
    def _layers(self) -> int:
        return self.model.figures.layers if self.model else 0

    @property
    def own(self) -> int:
        """Own requests that are there."""
        return len(self._works)

    def others(self, now: float) -> int:
        """Estimate the requests of other entries that are there.

        Without a word, the others are taken to send as much as this one, and
        an engine to be used as usual. One whose agent is frozen would else
        look the emptiest of all, and every entry would send everything there;
        of many entries, each has seldom anything of its own at it.
        """
        load = self.fresh_load(now)
        if load is None:
            return max(self.own * self.other_entries, self._usual_others())
        return max(load.running + load.queued - self._own_then, 0)

    def _usual_others(self) -> int:
        if self.model is None or not self.other_entries:
            return 0
        return max(int(USUAL_SHARE * self.upstream.slots) - self.own, 0)

    def total(self, now: float) -> int:
        """Estimate all requests that are there."""
        return self.own + self.others(now)

    def occupancy(self, now: float) -> float:
        """Give the requests there over the slots."""
        return self.total(now) / max(self.upstream.slots, 1)

    def is_crowded(self, now: float) -> bool:
        """Whether few of an engine's slots are free."""
        return self.model is not None and self.occupancy(now) > CROWDED

    def first_s(self, prompt: int, now: float) -> float:
        """Forecast the time to the first event, or to a plain answer."""
        if self.model is None:
            return self._plain_s(now)
        return self.slowness * self._engine_s(self.model, prompt, now)

    def admitted_first_s(self, prompt: int, now: float) -> float:
        """Forecast it for the question whether to admit a request at all.

        Here measured slowness fades. What goes wrong when it lasts: a burst
        makes first events late, the forecasts rise above what is admitted,
        and without requests nothing tells that the burst is over, seen as
        engines that refuse nine of ten requests though those that they take
        begin in a third of the forecast. In the choice of an engine it lasts.
        """
        lasting_s = self.first_s(prompt, now)
        if self.model is None:
            return lasting_s
        return lasting_s * self._slowness_at(now) / self.slowness

    def _forget(self, now: float) -> None:
        """Drop what was known of an earlier life."""
        self.load = None
        self._load_at = now
        self._own_then = self._own_unread_then = 0
        self.avoid_until = 0
        self.failures = 0
        self.failure_share = 0
        self.slowness = 1
        self.run_s = PLAIN_RUN_S

    def _plain_s(self, now: float) -> float:
        slots = max(self.upstream.slots, 1)
        ahead = max(self.total(now) + 1 - slots, 0)
        return self.run_s * (1 + ahead / slots)

    def _engine_s(self, model: EngineModel, prompt: int, now: float) -> float:
        load = self.fresh_load(now)
        pace = load.pace if load else 1.0
        total = self.total(now)
        slots = max(self.upstream.slots, 1)
        writers = min(total, slots)
        unread = self._unread(model, now)
        waits = max(total + 1 - slots, 0) * model.turn_s(writers)
        pass_s = model.pass_s(writers)
        own_s = model.read_s(prompt) + 1.5 * pass_s
        return pace * (waits + unread + own_s)

    def _unread(self, model: EngineModel, now: float) -> float:
        """Estimate the time for the prompts that are read before."""
        own = sum(
            model.read_s(work.prompt)
            for work in self._works.values()
            if not work.has_begun
        )
        load = self.fresh_load(now)
        if load is None:
            return own * (1 + self.other_entries)
        others = max(load.queued - self._own_unread_then, 0)
        return own + others * model.read_s(model.figures.usual_prompt)


def _mean(before: float, measured: float) -> float:
    return before + OUTCOME_WEIGHT * (measured - before)
