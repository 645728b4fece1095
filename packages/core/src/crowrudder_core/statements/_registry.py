"""The statements of upstreams about themselves, kept per incarnation."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

from attrs import define, frozen

from crowrudder_core.limits import ColdLimits, StatedLimits
from crowrudder_core.statements._acceptance import (
    Absent,
    Acceptance,
    Accepting,
    Cold,
    Leaving,
    Limited,
    Pausing,
)
from crowrudder_core.statements._pause import MAX_PAUSE_S, Pause
from crowrudder_model.statements import LeavingReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from crowrudder_core.limits import EntryQuota, EntryShare
    from crowrudder_model.fleet import UpstreamStatements
    from crowrudder_model.statements import LimitReport

MAX_UNLISTED = 1024
"""Incarnations whose statements are kept although they have no record. Records
lapse during an outage of the platform and are written again after it."""

ABSENT_S = 2.0
"""How long an upstream gets no requests after another one answered at its address.
By then its record has lapsed, also after an outage of the platform."""

RESUME_SPREAD = 0.25
"""Greatest random part by which an entry prolongs a pause. Entries that were
asked for one at the same time would otherwise resume at the same time."""

MAX_RESUME_SPREAD_S = 1.0


@frozen
class IncarnationKey:
    """The incarnation of an upstream to which a request is sent.

    ``number`` counts the incarnations of an upstream, so that a late answer of
    an earlier one says nothing about the present one.
    """

    upstream_id: str
    number: int


@frozen
class LeavingStated:
    """An upstream stated for the first time that it leaves."""

    report: LeavingReport


@frozen
class PauseStated:
    """An upstream asked for a pause; ``left_s`` is the time until it ends."""

    left_s: float


@frozen
class LimitStated:
    """An upstream's limit that other entries should know."""

    report: LimitReport


StatementChange = LeavingStated | PauseStated | LimitStated


@define
class _Incarnation:
    """The statements of one incarnation of an upstream."""

    number: int
    started_ms: int = 0
    is_listed: bool = False
    is_leaving: bool = False
    leaving_until: float = -math.inf
    """Until when a load report holds that states that it leaves."""

    absent_until: float = -math.inf
    pause: Pause | None = None

    def pause_left_s(self, now: float) -> float:
        """Return the seconds until the pause allows the next request."""
        if self.pause is None:
            return 0
        if self.pause.is_over(now):
            self.pause = None
            return 0
        return self.pause.wait_s(now)

    def on_sent(self) -> None:
        """Count a request in the return after a pause."""
        if self.pause is not None:
            self.pause.on_sent()


class StatementRegistry:
    """Keeps what upstreams have stated, and answers whether they accept.

    A statement ends with its incarnation. Neither a good answer, nor a record,
    nor a load report, nor a new configuration ends it before.

    Parameters
    ----------
    entry_share
        Returns this entry's share of an upstream's rate limit.
    random
        Spreads the ends of pauses.
    entry_quota
        Returns this entry's quota for a cold upstream.
    is_occupied
        Returns whether a request that runs at a cold upstream has to end
        before this entry sends the next one there; None if none has.
    """

    def __init__(
        self,
        entry_share: EntryShare,
        random: Random,
        entry_quota: EntryQuota,
        is_occupied: Callable[[str], bool] | None = None,
    ) -> None:
        self._limits = StatedLimits(entry_share)
        self.cold = ColdLimits(entry_quota, is_occupied)
        self._random = random
        self._numbers = itertools.count(1)
        self._incarnations: dict[str, _Incarnation] = {}

    def key_of(self, upstream_id: str) -> IncarnationKey:
        """Return the key of the present incarnation of an upstream."""
        return IncarnationKey(upstream_id, self._present(upstream_id).number)

    def on_listed(self, upstream_id: str, started_ms: int) -> None:
        """Record that an upstream has a record, with its start time if known.

        A record that lapsed and is written again is of the same incarnation,
        unless its start time differs.
        """
        present = self._present(upstream_id)
        if started_ms and present.started_ms not in {0, started_ms}:
            present = self._restart(upstream_id)
        present.started_ms = started_ms or present.started_ms
        present.is_listed = True

    def on_unlisted(self, upstream_id: str) -> None:
        """Record that an upstream has no record any more."""
        present = self._incarnations.pop(upstream_id, None)
        if present is not None:
            present.is_listed = False
            self._keep_unlisted(upstream_id, present)

    def on_restarted(self, upstream_id: str, started_ms: int) -> None:
        """Record a new incarnation under the same id, without statements."""
        self._restart(upstream_id).started_ms = started_ms

    def on_answer(
        self, key: IncarnationKey, statements: UpstreamStatements, *, now: float
    ) -> list[StatementChange]:
        """Apply the statements of an answer; return what is new in them."""
        present = self._present(key.upstream_id)
        if present.number != key.number:
            return []
        changes: list[StatementChange] = []
        if statements.is_leaving and not present.is_leaving:
            present.is_leaving = True
            report = LeavingReport(key.upstream_id, present.started_ms)
            changes.append(LeavingStated(report))
        if statements.pause_s:
            left_s = self._extend_pause(present, statements.pause_s, now)
            changes.append(PauseStated(left_s))
        limit = self._limits.on_answer(
            key.upstream_id, statements.limit_per_s, now=now
        )
        if limit is not None:
            changes.append(LimitStated(limit))
        return changes

    def on_misdirected(self, key: IncarnationKey, *, now: float) -> None:
        """Record that another upstream answered at an upstream's address.

        The upstream has ended, unless the record of the one that answered is
        late, so that it is tried again after a while.
        """
        present = self._present(key.upstream_id)
        if present.number == key.number:
            present.absent_until = now + ABSENT_S

    def on_leaving_report(self, report: LeavingReport) -> bool:
        """Apply another entry's report; return whether it is new."""
        present = self._present(report.upstream_id)
        starts_ms = {report.started_ms, present.started_ms} - {0}
        if present.is_leaving or len(starts_ms) > 1:
            return False
        present.is_leaving = True
        return True

    def on_load_report(
        self, upstream_id: str, *, is_leaving: bool, until: float
    ) -> None:
        """Apply an agent's report, which names its engine by address alone.

        It may be of the engine that had the address before, so that it holds
        only until it expires or another one follows.
        """
        present = self._present(upstream_id)
        present.leaving_until = until if is_leaving else -math.inf

    def on_limit_report(
        self, report: LimitReport, *, now: float
    ) -> LimitReport | None:
        """Apply another entry's report; return it if it is to be sent on."""
        return self._limits.on_report(report, now=now)

    def acceptance(
        self,
        upstream_id: str,
        *,
        now: float,
        later_stages: Iterable[str] = (),
    ) -> Acceptance:
        """Return whether an upstream accepts a request now.

        Parameters
        ----------
        later_stages
            The upstreams that the request passes after the first one.
        """
        for stage in (upstream_id, *later_stages):
            found = self.stage_acceptance(stage, now=now)
            if not isinstance(found, Accepting):
                return found
        if self._limits.has_capacity(upstream_id, now=now):
            return Accepting()
        return Limited(self._limits.wait_s([upstream_id], now=now))

    def stage_acceptance(self, upstream_id: str, *, now: float) -> Acceptance:
        """Return whether an upstream accepts to be a later stage of a pipeline.

        A rate limit counts only the requests that reach an upstream directly.
        The limit of a cold one counts all: each stage runs them.
        """
        stated = self._stated_acceptance(upstream_id, now)
        if not isinstance(stated, Accepting):
            return stated
        cold_wait_s = self.cold.wait_s(upstream_id, now=now)
        return Cold(cold_wait_s) if cold_wait_s > 0 else stated

    def take(
        self,
        upstream_id: str,
        *,
        now: float,
        later_stages: Iterable[str] = (),
    ) -> Acceptance:
        """Count a request that is sent now, if it is accepted."""
        stages = (upstream_id, *later_stages)
        found = self.acceptance(upstream_id, now=now, later_stages=stages[1:])
        if isinstance(found, Accepting):
            self._limits.take(upstream_id, now=now)
            for stage in stages:
                self.cold.take(stage, now=now)
            self._present(upstream_id).on_sent()
        return found

    def _stated_acceptance(self, upstream_id: str, now: float) -> Acceptance:
        present = self._incarnations.get(upstream_id)
        if present is None:
            return Accepting()
        if present.is_leaving or now < present.leaving_until:
            return Leaving()
        if now < present.absent_until:
            return Absent(present.absent_until - now)
        wait_s = present.pause_left_s(now)
        return Pausing(wait_s) if wait_s > 0 else Accepting()

    def _extend_pause(
        self, present: _Incarnation, pause_s: float, now: float
    ) -> float:
        spread_s = min(RESUME_SPREAD * pause_s, MAX_RESUME_SPREAD_S)
        left_s = min(pause_s, MAX_PAUSE_S) + self._random.uniform(0, spread_s)
        if present.pause is None:
            present.pause = Pause(now + left_s)
        else:
            present.pause.extend(now + left_s)
        return present.pause.until - now

    def _present(self, upstream_id: str) -> _Incarnation:
        present = self._incarnations.get(upstream_id)
        if present is None:
            present = _Incarnation(next(self._numbers))
            self._keep_unlisted(upstream_id, present)
        return present

    def _restart(self, upstream_id: str) -> _Incarnation:
        self._limits.on_gone(upstream_id)
        self.cold.on_gone(upstream_id)
        before = self._present(upstream_id)
        started = _Incarnation(next(self._numbers), is_listed=before.is_listed)
        self._incarnations[upstream_id] = started
        return started

    def _keep_unlisted(self, upstream_id: str, present: _Incarnation) -> None:
        """Keep an incarnation without a record; drop the oldest beyond a limit."""
        self._incarnations[upstream_id] = present
        unlisted = [
            other
            for other, each in self._incarnations.items()
            if not each.is_listed
        ]
        for other in unlisted[: max(len(unlisted) - MAX_UNLISTED, 0)]:
            del self._incarnations[other]
