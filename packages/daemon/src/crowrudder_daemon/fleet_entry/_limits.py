"""Enforce the rate limits that upstreams state, jointly with all entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_core.limits import StatedLimits, senders_of
from crowrudder_core.membership import split_by_region
from crowrudder_daemon._clock import clock_s
from crowrudder_model.messages import LimitUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.messages import LimitReport

SENDERS_CACHE_S = 0.25
"""How long the share of a limited upstream is cached: computing who sends to it
takes time proportional to the number of entries."""

MAX_REPORTS_PER_DATAGRAM = 16
"""Reports read from one datagram; further ones are ignored."""


class UpstreamLimits:
    """Rate limits by upstream, and the reports on them between entries.

    Parameters
    ----------
    region_of
        Returns the region of an upstream by its id.
    """

    def __init__(
        self,
        runtime: Runtime,
        peers: PeersTask,
        region_of: Callable[[str], str],
    ) -> None:
        self._runtime = runtime
        self._peers = peers
        self._region_of = region_of
        self._limits = StatedLimits(self._share_of)
        self._shares: dict[str, tuple[float, float, float]] = {}
        self._diverted = runtime.metrics.counter(
            'upstream_limits_kept',
            'Sends that went elsewhere as an upstream had named a limit.',
        )

    def on_answer(self, upstream_id: str, per_s: float | None) -> None:
        """Apply the limit that an upstream's answer states, if any."""
        report = self._limits.on_answer(upstream_id, per_s, now=clock_s())
        if report is not None:
            self._log(report, self._peers.roster.own.ip)
            self._peers.send_to_partners(LimitUpdate((report,)))

    def on_update(self, ip: str, update: LimitUpdate) -> None:
        """Apply the reports of another entry and forward the new ones."""
        if not self._peers.roster.knows(ip, now=clock_s()):
            self._runtime.log.debug(
                'limit update from an unknown host',
                extra={'step': 'limit', 'peer': ip},
            )
            return
        for report in update.reports[:MAX_REPORTS_PER_DATAGRAM]:
            if self._limits.on_report(report, now=clock_s()) is not None:
                self._log(report, ip)
                self._peers.send_to_partners(LimitUpdate((report,)))

    def has_capacity(self, upstream_id: str) -> bool:
        """Return whether a request may be sent to an upstream now."""
        return self._limits.has_capacity(upstream_id, now=clock_s())

    def take(self, upstream_id: str) -> bool:
        """Count a send; return whether the limit of the upstream allows it."""
        if self._limits.take(upstream_id, now=clock_s()):
            return True
        self._diverted.add()
        return False

    def wait_s(self, upstream_ids: Iterable[str]) -> float:
        """Return the seconds until a limit allows this entry a request."""
        return self._limits.wait_s(upstream_ids, now=clock_s())

    def on_gone(self, upstream_id: str) -> None:
        """Remove an upstream whose incarnation has ended."""
        self._limits.on_gone(upstream_id)
        self._shares.pop(upstream_id, None)

    def _share_of(self, upstream_id: str, per_s: float) -> float:
        now = clock_s()
        known = self._shares.get(upstream_id)
        if known is not None:
            share, for_per_s, at = known
            if for_per_s == per_s and now - at < SENDERS_CACHE_S:
                return share
        share = self._compute_share(upstream_id, per_s)
        self._shares[upstream_id] = (share, per_s, now)
        return share

    def _compute_share(self, upstream_id: str, per_s: float) -> float:
        near, far = split_by_region(
            self._peers.entries(), self._region_of(upstream_id)
        )
        senders = senders_of(upstream_id, per_s, near, far)
        is_sender = self._peers.roster.own.ip in senders
        return 1 / len(senders) if is_sender else 0

    def _log(self, report: LimitReport, source_ip: str) -> None:
        self._runtime.log.info(
            'limit of an upstream',
            extra={
                'step': 'limit',
                'upstream': report.upstream_id,
                'per_s': report.per_s,
                'teller': source_ip,
                'age_s': report.age_ms / 1000,
            },
        )
