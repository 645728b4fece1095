"""What upstreams state about themselves, as this entry and others know it."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from crowrudder_core.statements import (
    Absent,
    Accepting,
    Cold,
    Leaving,
    LeavingStated,
    Limited,
    LimitStated,
    PauseStated,
    Pausing,
    StatementRegistry,
)
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._limit_shares import LimitShares
from crowrudder_daemon.fleet_entry._statement_log import (
    ABSENT,
    COLD,
    LEAVING,
    LIMIT,
    PAUSE,
    StatementLog,
)
from crowrudder_model.statements import LeavingUpdate, LimitUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crowrudder_core.statements import Acceptance, IncarnationKey
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.fleet_entry._forecast_table import ForecastTable
    from crowrudder_daemon.fleet_entry._statement_log import AnswerSource
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import UpstreamStatements

MAX_REPORTS_PER_DATAGRAM = 16
"""Reports read from one datagram; further ones are ignored."""


class EntryStatements:
    """The one place that is asked whether an upstream accepts a request.

    Parameters
    ----------
    table
        The forecasts of the listed upstreams.
    """

    def __init__(
        self,
        runtime: Runtime,
        peers: PeersTask,
        table: ForecastTable,
    ) -> None:
        self._runtime = runtime
        self._peers = peers
        self._shares = LimitShares(peers, table)
        self._registry = StatementRegistry(
            self._shares.share_of,
            random.Random(runtime.incarnation),
            self._shares.quota_of,
            self._shares.is_occupied,
        )
        runtime.metrics.gauge(
            'cold_upstreams',
            'Upstreams that are cold and accept few requests.',
            lambda: float(self._registry.cold.count(now=clock_s())),
        )
        self._log = StatementLog(runtime)
        self._diverted = runtime.metrics.counter(
            'upstream_limits_kept',
            'Sends that went elsewhere as an upstream had named a limit.',
        )
        self._cold_diverted = runtime.metrics.counter(
            'cold_limits_kept',
            'Sends that went elsewhere as an upstream was cold.',
        )

    def key_of(self, upstream_id: str) -> IncarnationKey:
        """Return the key of the present incarnation of an upstream."""
        return self._registry.key_of(upstream_id)

    def on_listed(self, upstream_id: str, started_ms: int) -> None:
        """Record that an upstream has a record."""
        self._registry.on_listed(upstream_id, started_ms)

    def on_unlisted(self, upstream_id: str) -> None:
        """Record that an upstream has no record any more."""
        self._registry.on_unlisted(upstream_id)
        self._registry.cold.on_unlisted(upstream_id, now=clock_s())
        self._shares.remove(upstream_id)
        self._log.remove(upstream_id)

    def on_restarted(self, upstream_id: str, started_ms: int) -> None:
        """Record a new incarnation under the same id."""
        self._registry.on_restarted(upstream_id, started_ms)

    def on_answer(
        self,
        key: IncarnationKey | None,
        source: AnswerSource,
        statements: UpstreamStatements,
    ) -> None:
        """Apply the statements of an answer.

        They are counted and not kept if ``key`` is None: it isn't known which
        upstream gave the answer.
        """
        self._log.on_answer(source, statements)
        if key is None:
            self._log.on_unattributed(source)
            return
        for change in self._registry.on_answer(key, statements, now=clock_s()):
            match change:
                case LeavingStated(report=report):
                    self._log.on_stated(source, LEAVING, 1)
                    self._peers.send_to_partners(LeavingUpdate((report,)))
                case PauseStated(left_s=left_s):
                    self._log.on_stated(source, PAUSE, round(left_s, 3))
                case LimitStated(report=report):
                    self._log.on_limit(report, self._peers.roster.own.ip)
                    self._peers.send_to_partners(LimitUpdate((report,)))

    def on_misdirected(self, key: IncarnationKey, source: AnswerSource) -> None:
        """Record that another upstream answered at an upstream's address."""
        self._log.on_misdirected(source)
        self._registry.on_misdirected(key, now=clock_s())

    def on_leaving(self, ip: str, update: LeavingUpdate) -> None:
        """Apply another entry's reports on leaving and forward the new ones."""
        if not self._is_known(ip):
            return
        for report in update.reports[:MAX_REPORTS_PER_DATAGRAM]:
            if self._registry.on_leaving_report(report):
                self._log.on_leaving_report(report, ip)
                self._peers.send_to_partners(LeavingUpdate((report,)))

    def on_load_report(
        self, upstream_id: str, *, is_leaving: bool, until: float
    ) -> None:
        """Apply what an agent reports of its engine until the report expires."""
        self._registry.on_load_report(
            upstream_id, is_leaving=is_leaving, until=until
        )

    def on_limits(self, ip: str, update: LimitUpdate) -> None:
        """Apply another entry's reports on limits and forward the new ones."""
        if not self._is_known(ip):
            return
        for report in update.reports[:MAX_REPORTS_PER_DATAGRAM]:
            if self._registry.on_limit_report(report, now=clock_s()):
                self._log.on_limit(report, ip)
                self._peers.send_to_partners(LimitUpdate((report,)))

    def on_cold(self, upstream_id: str, *, left_s: float, per_s: float) -> None:
        """Record for how long an upstream is cold; 0 if it isn't any more."""
        until = clock_s() + left_s
        self._registry.cold.on_cold(upstream_id, until=until, per_s=per_s)

    def on_cold_rate(self, upstream_id: str, per_s: float) -> None:
        """Record the limit for a cold upstream by a new configuration."""
        self._registry.cold.on_rate(upstream_id, per_s)

    def cold_left_s(self, upstream_id: str) -> float:
        """Return how long an upstream is still cold; 0 if it isn't."""
        return self._registry.cold.left_s(upstream_id, now=clock_s())

    def cold_quota(self, upstream_id: str) -> int:
        """Return how many requests a second this entry may send to it."""
        return self._registry.cold.quota(upstream_id, now=clock_s())

    def cold_total_per_s(self, upstream_id: str) -> float:
        """Return how many requests a second all entries may send to it."""
        return self._registry.cold.total_per_s(upstream_id, now=clock_s())

    def fleet_acceptance(self, upstream_id: str) -> Acceptance:
        """Return whether an upstream accepts a request of any entry now.

        A refused caller may come back to another entry.
        """
        found = self.acceptance(upstream_id)
        if not isinstance(found, Cold):
            return found
        cold = self._registry.cold
        return Cold(cold.any_entry_wait_s(upstream_id, now=clock_s()))

    def acceptance(self, upstream_id: str) -> Acceptance:
        """Return whether an upstream accepts a request now, or when it will."""
        return self._registry.acceptance(upstream_id, now=clock_s())

    def accepts(self, upstream_id: str) -> bool:
        """Return whether an upstream accepts a request now."""
        return isinstance(self.acceptance(upstream_id), Accepting)

    def accepts_stage(self, upstream_id: str) -> bool:
        """Return whether an upstream accepts to be a stage of a pipeline."""
        found = self._registry.stage_acceptance(upstream_id, now=clock_s())
        return isinstance(found, Accepting)

    def take(
        self, upstream_id: str, *, later_stages: Iterable[str] = ()
    ) -> Acceptance:
        """Count a request right before it is sent, if it is accepted."""
        found = self._registry.take(
            upstream_id, now=clock_s(), later_stages=later_stages
        )
        match found:
            case Leaving():
                self._log.on_withheld(LEAVING)
            case Absent():
                self._log.on_withheld(ABSENT)
            case Pausing():
                self._log.on_withheld(PAUSE)
            case Cold():
                self._cold_diverted.add()
                self._log.on_withheld(COLD)
            case Limited():
                self._diverted.add()
                self._log.on_withheld(LIMIT)
        return found

    def _is_known(self, ip: str) -> bool:
        is_known = self._peers.roster.knows(ip, now=clock_s())
        if not is_known:
            self._runtime.log.debug(
                'report on upstreams from an unknown host',
                extra={'step': 'statement', 'peer': ip},
            )
        return is_known
