"""Quarantine of requests under which upstreams end."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from crowrudder_core.quarantine._ledger import SuspectLedger
from crowrudder_core.quarantine._suspect import (
    COMPLETED_RUN_WINDOW_S,
    QUARANTINE_THRESHOLD,
    SHARING_THRESHOLD,
    Suspect,
)
from crowrudder_core.quarantine._unconfirmed import UnconfirmedEnds
from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from crowrudder_model.messages import SuspicionReport, SuspicionUpdate

OWNER_COUNT = 2
"""Entries that add up the reports on a request; one of them may fail."""

CONFIRMING_TRIALS = 2
"""Ends under trials that make a refusal final. One isn't enough where upstreams
end often for other reasons; with the three ends before, a cause ends five."""

UNPROVEN_TRIALS = 3
"""The same for what other quarantined digests may explain."""

NO_EVIDENCE = (0, 0)
"""Evidence of a suspect without ends, see `Suspect.evidence`."""

NEW_TRIAL_S = 2.0
"""How much later a trial must have begun to be another one than the last known:
reports tell its age, to which their delays add."""

MAX_REPORTS = 8
"""Maximum number of suspicion reports in one datagram."""


class Verdict(Enum):
    """What is known of a request by its digest and those of its parts."""

    ALLOWED = 'allowed'
    UNPROVEN = 'unproven'
    """Something of it is quarantined, but each end may have been caused by
    something else that is quarantined and that the request doesn't have."""

    UNCONFIRMED = 'unconfirmed'
    """Nothing else explains the ends, but trials have yet to confirm it."""

    QUARANTINED = 'quarantined'


_SEVERITY = (
    Verdict.ALLOWED,
    Verdict.UNPROVEN,
    Verdict.UNCONFIRMED,
    Verdict.QUARANTINED,
)


class Audience(Enum):
    """Recipients of a suspicion report."""

    OWNERS = 'owners'
    PARTNERS = 'partners'


@frozen
class SendSuspicion:
    """Send a suspicion report on a request to other entries."""

    report: SuspicionReport
    audience: Audience


@frozen
class Quarantined:
    """A request is quarantined: it is sent to no upstream any more."""

    digest: int
    lives: tuple[str, ...]


Effect = SendSuspicion | Quarantined


@define
class Quarantine:
    """Suspicions and quarantine of requests at one entry.

    Retrying a request that crashes its upstream each time would end one
    upstream after the other. Requests that ran concurrently with it must not
    stay suspected for long. A completed run clears its request everywhere.
    """

    _ledger: SuspectLedger = field(factory=SuspectLedger)
    _unconfirmed: UnconfirmedEnds = field(factory=UnconfirmedEnds)

    def is_quarantined(self, digest: int, *, now: float) -> bool:
        """Return whether a request is to be refused."""
        suspect = self._ledger.get(digest, now=now)
        return suspect is not None and suspect.is_quarantined

    def verdict(self, digests: Collection[int], *, now: float) -> Verdict:
        """Return the verdict on a request with some digests.

        What always came with the cause of the ends can't be told from it by
        the ends alone. It is quarantined as well, and a request that has it
        without the cause is unproven. What many callers send runs on each
        upstream that ends for some reason, until a trial shows what it does.
        """
        if not any(self.is_quarantined(each, now=now) for each in digests):
            return Verdict.ALLOWED
        quarantined = self._ledger.quarantined(now=now)
        held = [
            quarantined.pop(each) for each in digests if each in quarantined
        ]
        return max(
            (_verdict(each, quarantined.values()) for each in held),
            key=_SEVERITY.index,
        )

    def trial_owner(
        self,
        digests: Collection[int],
        entry_ips: Iterable[str],
        *,
        now: float,
    ) -> str:
        """Return the entry that may let a request run in spite of quarantine.

        It is an owner of that under which most upstreams ended; empty if
        nothing of the request is quarantined.
        """
        quarantined = self._ledger.quarantined(now=now)
        held = [each for each in digests if each in quarantined]
        if not held:
            return ''
        first = min(held, key=lambda each: (-quarantined[each].weight, each))
        return next(iter(owners(first, entry_ips)), '')

    def is_trial_due(self, digests: Collection[int], *, now: float) -> bool:
        """Return whether everything quarantined of a request may be tried."""
        quarantined = self._ledger.quarantined(now=now)
        return all(
            quarantined[each].is_trial_due(now)
            for each in digests
            if each in quarantined
        )

    def may_confirm(
        self, digests: Collection[int], *, is_owner: bool, now: float
    ) -> bool:
        """Return whether what isn't confirmed of a request may be let run.

        It may not while a close of unknown cause may be an end of the last
        trial.

        Parameters
        ----------
        is_owner
            Whether this entry is the one of `trial_owner`. Others let it run
            later, as no caller may come to the owner.
        """
        quarantined = self._ledger.quarantined(now=now)
        return all(
            quarantined[each].may_be_confirmed(now, is_owner=is_owner)
            and not self._unconfirmed.has_closed(each, now=now)
            for each in digests
            if each in quarantined
        )

    def on_confirming_trial(
        self, digests: Collection[int], *, now: float
    ) -> list[Effect]:
        """Record that a request is let run that isn't confirmed yet."""
        effects: list[Effect] = []
        quarantined = self._ledger.quarantined(now=now)
        for digest in digests:
            suspect = quarantined.get(digest)
            if suspect is not None:
                suspect.on_confirming_trial(now)
                effects.append(_for_partners(digest, suspect, now))
        return effects

    def on_trial(self, digests: Collection[int], *, now: float) -> list[Effect]:
        """Record that a request is let run in spite of its quarantine."""
        effects: list[Effect] = []
        quarantined = self._ledger.quarantined(now=now)
        for digest in digests:
            suspect = quarantined.get(digest)
            if suspect is not None:
                suspect.on_trial(now)
                effects.append(_for_partners(digest, suspect, now))
        return effects

    def ended_incarnations(self, digest: int, *, now: float) -> tuple[str, ...]:
        """Return the upstream incarnations that ended under a request."""
        suspect = self._ledger.get(digest, now=now)
        return tuple(suspect.ends) if suspect else ()

    def may_retry(self, digest: int, *, now: float) -> bool:
        """Return whether the request may be retried at another upstream.

        Closed connections count as well before their cause is known, unless a
        run was completed so lately that their ends wouldn't count.
        """
        suspect = self._ledger.get(digest, now=now)
        known = suspect.ends if suspect else {}
        unconfirmed = self._unconfirmed.ended_incarnations(digest, now=now)
        weight = suspect.weight if suspect else 0
        if now <= self._ledger.completed_at(digest) + COMPLETED_RUN_WINDOW_S:
            return weight < QUARANTINE_THRESHOLD
        return weight + len(unconfirmed - known.keys()) < QUARANTINE_THRESHOLD

    def on_connection_closed(
        self,
        digest: int,
        incarnations: Iterable[str],
        *,
        ran_s: float,
        now: float,
        is_trial: bool = False,
    ) -> None:
        """Record a run whose connection was closed by its upstream."""
        for incarnation in incarnations:
            self._unconfirmed.on_connection_closed(
                digest, incarnation, ran_s=ran_s, now=now, is_trial=is_trial
            )

    def on_unproven_end(
        self,
        digest: int,
        incarnations: Iterable[str],
        *,
        ran_s: float,
        now: float,
        is_trial: bool = False,
    ) -> None:
        """Record an answer of which only its connection's end is known.

        It counts as a completed run once its upstream has outlived it.
        """
        for incarnation in incarnations:
            self._unconfirmed.on_connection_closed(
                digest,
                incarnation,
                ran_s=ran_s,
                now=now,
                is_answered=True,
                is_trial=is_trial,
            )

    def on_upstream_alive(
        self, incarnation: str, *, as_of: float
    ) -> list[Effect]:
        """Record that an upstream incarnation is alive."""
        completed = self._unconfirmed.on_upstream_alive(
            incarnation, as_of=as_of
        )
        return [
            effect
            for digest in completed
            for effect in self.on_run_completed(digest, now=as_of)
        ]

    def on_ended(self, incarnation: str, *, now: float) -> list[Effect]:
        """Record that an upstream incarnation ended."""
        effects: list[Effect] = []
        for digest, end in self._unconfirmed.on_ended(incarnation, now=now):
            suspect = self._ledger.get_or_create(digest, now=now)
            before = suspect.evidence
            suspect.on_end(incarnation, end)
            self._ledger.on_changed(digest, suspect)
            effects += _effects(digest, suspect, before, now)
        return effects

    def on_run_completed(self, digest: int, *, now: float) -> list[Effect]:
        """Record a completed run, which clears the request."""
        suspect = self._ledger.get(digest, now=now)
        before = suspect.evidence if suspect else NO_EVIDENCE
        cleared = self._ledger.on_run_completed(digest, now=now)
        if cleared is None or before == NO_EVIDENCE:
            return []
        self._ledger.on_changed(digest, cleared)
        return _effects(digest, cleared, before, now)

    def on_refused(self, digest: int, *, now: float) -> None:
        """Record that a quarantined request arrived again and was refused."""
        self._ledger.get_or_create(digest, now=now).refused_at = now

    def on_update(self, update: SuspicionUpdate, *, now: float) -> list[Effect]:
        """Apply another entry's reports; forward those that change a weight."""
        effects: list[Effect] = []
        for report in update.reports[:MAX_REPORTS]:
            suspect = self._ledger.get_or_create(report.digest, now=now)
            reported = Suspect()
            reported.on_report(report, now=now)
            before, tried_at = suspect.evidence, suspect.tried_at
            has_changed = suspect.on_report(report, now=now)
            self._ledger.remember_completed(report.digest, suspect.completed_at)
            self._ledger.on_changed(report.digest, suspect)
            if not has_changed and reported.weight > suspect.weight:
                # The sender lacks a completed run that is known here.
                before = reported.evidence
            changes = _effects(report.digest, suspect, before, now)
            is_tried_again = suspect.tried_at > tried_at + NEW_TRIAL_S
            if not changes and suspect.is_quarantined and is_tried_again:
                changes = [_for_partners(report.digest, suspect, now)]
            effects += changes
        return [each for each in effects if not _is_for_owners(each)]

    def sample_reports(
        self, random: Random, *, now: float
    ) -> list[SuspicionReport]:
        """Return a random sample of the reports that all entries need.

        It serves entries that start or that missed an update.
        """
        shared_suspects = [
            (digest, suspect)
            for digest, suspect in self._ledger.suspects(now=now).items()
            if suspect.weight >= SHARING_THRESHOLD
        ]
        sampled = random.sample(
            shared_suspects, min(len(shared_suspects), MAX_REPORTS)
        )
        return [suspect.report(digest, now=now) for digest, suspect in sampled]


def owners(digest: int, entry_ips: Iterable[str]) -> list[str]:
    """Return the entries that add up the reports on a request."""
    return ranked(f'suspect|{digest}', entry_ips)[:OWNER_COUNT]


def _effects(
    digest: int, suspect: Suspect, before: tuple[float, int], now: float
) -> list[Effect]:
    """Return the effects of a change from earlier evidence."""
    if suspect.evidence == before:
        return []
    weight, (weight_before, _) = suspect.weight, before
    is_for_partners = max(weight, weight_before) >= SHARING_THRESHOLD
    audience = Audience.PARTNERS if is_for_partners else Audience.OWNERS
    effects: list[Effect] = [
        SendSuspicion(suspect.report(digest, now=now), audience)
    ]
    if weight_before < QUARANTINE_THRESHOLD <= weight:
        effects.append(Quarantined(digest, tuple(suspect.ends)))
    return effects


def _for_partners(digest: int, suspect: Suspect, now: float) -> SendSuspicion:
    report = suspect.report(digest, now=now)
    return SendSuspicion(report, Audience.PARTNERS)


def _verdict(suspect: Suspect, others: Collection[Suspect]) -> Verdict:
    """Return the verdict on a quarantined digest, beside other such digests.

    Any other one may explain an end, but only one that a trial has confirmed
    explains the end of a trial: harmless requests that many callers send run
    on that upstream as well.
    """
    explained: set[str] = set()
    caused: set[str] = set()
    for other in others:
        explained |= other.counted_incarnations
        if other.trial_incarnations:
            caused |= other.counted_incarnations
    confirming = len(suspect.trial_incarnations - caused)
    if suspect.weight_without(explained) < QUARANTINE_THRESHOLD:
        is_proven = confirming >= UNPROVEN_TRIALS
        return Verdict.QUARANTINED if is_proven else Verdict.UNPROVEN
    is_confirmed = confirming >= CONFIRMING_TRIALS
    return Verdict.QUARANTINED if is_confirmed else Verdict.UNCONFIRMED


def _is_for_owners(effect: Effect) -> bool:
    return (
        isinstance(effect, SendSuspicion) and effect.audience is Audience.OWNERS
    )
