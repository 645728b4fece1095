"""Quarantine requests that crash upstreams, jointly with all other entries."""

from __future__ import annotations

import random
from collections import defaultdict
from typing import TYPE_CHECKING, Protocol

from crowrudder_core.quarantine import (
    Audience,
    Quarantine,
    Quarantined,
    SendSuspicion,
    Verdict,
    digest_text,
    owners,
)
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._ticks import sleep_to_tick
from crowrudder_model.messages import SuspicionUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crowrudder_core.quarantine import Effect
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.messages import SuspicionReport

REMINDER_INTERVAL_S = 1.0
"""Interval of the reminders, each of which goes to one random other entry."""

BLAMED = frozenset((Verdict.UNCONFIRMED, Verdict.QUARANTINED))
"""Verdicts on a request under which upstreams ended that nothing else explains."""

MAX_LOGGED_DIGESTS = 16
"""Limit of digests in one log line."""


class ActiveRequest(Protocol):
    """A request in progress, which may run on an upstream.

    ``digests`` are its own, first, and those of the parts of its prompt.
    """

    digests: tuple[int, ...]

    def on_quarantined(self) -> None:
        """Stop sending the request to upstreams."""


class RequestQuarantine:
    """Feeds local events to the quarantine state and applies its effects."""

    def __init__(self, runtime: Runtime, peers: PeersTask) -> None:
        self._runtime = runtime
        self._peers = peers
        self._random = random.Random(runtime.incarnation)
        self._core = Quarantine()
        self._active: defaultdict[int, set[ActiveRequest]] = defaultdict(set)
        self._trials: dict[int, ActiveRequest] = {}
        metrics = runtime.metrics
        self._ends = metrics.counter(
            'quarantine_upstream_ends',
            'Upstreams that ended while they had requests of this entry.',
        )
        self._quarantined = metrics.counter(
            'quarantine_verdicts',
            'Requests that are sent to no upstream any more.',
        )
        self._refused = metrics.counter(
            'quarantine_refusals',
            'Arrivals of such requests that were refused.',
        )

    def track(self, request: ActiveRequest) -> None:
        """Add a request that is in progress."""
        for digest in request.digests:
            self._active[digest].add(request)

    def untrack(self, request: ActiveRequest) -> None:
        """Remove a request that has its final answer."""
        for digest in request.digests:
            requests = self._active[digest]
            requests.discard(request)
            if not requests:
                del self._active[digest]
            if self._trials.get(digest) is request:
                del self._trials[digest]

    def verdict(self, digests: tuple[int, ...]) -> Verdict:
        """Return the verdict on a request."""
        return self._core.verdict(digests, now=clock_s())

    def is_quarantined(self, digests: tuple[int, ...]) -> bool:
        """Return whether a request is to be refused for good."""
        return self.verdict(digests) is Verdict.QUARANTINED

    def begin_trial(self, request: ActiveRequest) -> bool:
        """Return whether to let a request run in spite of its quarantine.

        An owner of what is quarantined lets one such request run at a time: as
        soon as the cause of the last close is known, or, if it is refused for
        good, after a time that grows with each trial. Other entries let one
        run later, unless it is refused for good. A completed run clears all
        that it has.
        """
        now = clock_s()
        held = self._held(request.digests)
        if any(each in self._trials for each in held):
            return False
        own = self._peers.roster.own.ip
        owner = self._core.trial_owner(held, self._entry_ips(), now=now)
        is_owner = owner == own
        if self.verdict(request.digests) is Verdict.QUARANTINED:
            if not (is_owner and self._core.is_trial_due(held, now=now)):
                return False
            self._apply(self._core.on_trial(held, now=now))
        else:
            if not self._core.may_confirm(held, is_owner=is_owner, now=now):
                return False
            self._apply(self._core.on_confirming_trial(held, now=now))
        self._trials.update(dict.fromkeys(held, request))
        self._runtime.log.warning(
            'quarantined request tried',
            extra={
                'step': 'quarantine',
                'digests': [digest_text(each) for each in held],
            },
        )
        return True

    def is_tried(self, request: ActiveRequest) -> bool:
        """Return whether a request runs in spite of its quarantine."""
        return any(
            self._trials.get(digest) is request for digest in request.digests
        )

    def refuse(self, digests: tuple[int, ...]) -> str:
        """Record a refusal and return its reason."""
        now = clock_s()
        self._refused.add()
        held = self._held(digests)
        ended: list[str] = []
        for digest in held:
            self._core.on_refused(digest, now=now)
            ended += self._core.ended_incarnations(digest, now=now)
        cause = 'this request' if digests[0] in held else 'a part of its prompt'
        named = ', '.join(dict.fromkeys(ended))
        return f'upstreams ended under {cause}: {named}'

    def may_retry(self, digests: tuple[int, ...]) -> bool:
        """Return whether a broken request may be sent to another upstream."""
        now = clock_s()
        return all(self._core.may_retry(digest, now=now) for digest in digests)

    def on_connection_closed(
        self,
        request: ActiveRequest,
        incarnation_ids: Iterable[str],
        *,
        ran_s: float,
    ) -> None:
        """Record an attempt whose connection was closed by the upstream."""
        incarnations, now = tuple(incarnation_ids), clock_s()
        for digest in request.digests:
            self._core.on_connection_closed(
                digest,
                incarnations,
                ran_s=ran_s,
                now=now,
                is_trial=self._trials.get(digest) is request,
            )

    def on_incarnation_alive(
        self, incarnation_id: str, *, age_s: float
    ) -> None:
        """Record that an incarnation was running ``age_s`` ago."""
        self._apply(
            self._core.on_upstream_alive(
                incarnation_id, as_of=clock_s() - age_s
            )
        )

    def on_unproven_end(
        self,
        request: ActiveRequest,
        incarnation_ids: Iterable[str],
        *,
        ran_s: float,
    ) -> None:
        """Record an answer that ended with its connection and looks whole."""
        incarnations, now = tuple(incarnation_ids), clock_s()
        for digest in request.digests:
            self._core.on_unproven_end(
                digest,
                incarnations,
                ran_s=ran_s,
                now=now,
                is_trial=self._trials.get(digest) is request,
            )

    def on_incarnation_ended(self, incarnation_id: str) -> None:
        """Record that an upstream's incarnation has ended."""
        effects = self._core.on_ended(incarnation_id, now=clock_s())
        if not effects:
            return
        self._ends.add()
        digests = [
            digest_text(effect.report.digest)
            for effect in effects
            if isinstance(effect, SendSuspicion)
        ]
        self._runtime.log.info(
            'upstream ended under requests',
            extra={
                'step': 'quarantine',
                'upstream': incarnation_id,
                'requests': len(digests),
                'digests': digests[:MAX_LOGGED_DIGESTS],
            },
        )
        self._apply(effects)

    def on_run_completed(self, digests: tuple[int, ...]) -> None:
        """Record that a request received a complete answer."""
        now = clock_s()
        for digest in digests:
            effects = self._core.on_run_completed(digest, now=now)
            if effects:
                self._runtime.log.info(
                    'request ran whole and is cleared',
                    extra={'step': 'quarantine', 'digest': digest_text(digest)},
                )
                self._apply(effects)

    def on_update(self, ip: str, update: SuspicionUpdate) -> None:
        """Apply the reports of another entry."""
        if not self._peers.roster.knows(ip, now=clock_s()):
            self._runtime.log.debug(
                'suspect update from an unknown host',
                extra={'step': 'quarantine', 'peer': ip},
            )
            return
        self._apply(self._core.on_update(update, now=clock_s()))

    async def send_reminders(self) -> None:
        """Repeat reports for entries that have started since or missed them."""
        while True:
            await sleep_to_tick(REMINDER_INTERVAL_S)
            reports = self._core.sample_reports(self._random, now=clock_s())
            others = self._others()
            if reports and others:
                self._send(reports, [self._random.choice(others)])

    def _apply(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case SendSuspicion(report=report, audience=Audience.PARTNERS):
                    self._peers.send_to_partners(SuspicionUpdate((report,)))
                case SendSuspicion(report=report):
                    ips = owners(report.digest, self._entry_ips())
                    self._send([report], self._without_own(ips))
                case Quarantined(digest=digest, lives=incarnation_ids):
                    self._on_quarantined(digest, incarnation_ids)

    def _on_quarantined(
        self, digest: int, incarnation_ids: tuple[str, ...]
    ) -> None:
        self._quarantined.add()
        requests = tuple(self._active.get(digest, ()))
        self._runtime.log.warning(
            'request quarantined',
            extra={
                'step': 'quarantine',
                'digest': digest_text(digest),
                'upstreams': list(incarnation_ids),
                'under_way': len(requests),
            },
        )
        for request in requests:
            is_blamed = self.verdict(request.digests) in BLAMED
            if is_blamed and not self.is_tried(request):
                request.on_quarantined()

    def _held(self, digests: tuple[int, ...]) -> list[int]:
        """Return those digests that are quarantined."""
        now = clock_s()
        return [
            each for each in digests if self._core.is_quarantined(each, now=now)
        ]

    def _send(self, reports: list[SuspicionReport], ips: list[str]) -> None:
        if ips:
            self._peers.send(SuspicionUpdate(tuple(reports)), ips)

    def _entry_ips(self) -> list[str]:
        return [entry.ip for entry in self._peers.entries()]

    def _others(self) -> list[str]:
        return self._without_own(self._entry_ips())

    def _without_own(self, ips: list[str]) -> list[str]:
        own = self._peers.roster.own.ip
        return [ip for ip in ips if ip != own]
