"""Configuration and membership state, and its changes by received messages."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import attrs

from crowrudder_core.config import (
    Accepted,
    ActiveConfig,
    ConfigOrder,
    Lost,
    Offer,
    PlatformReadPolicy,
    Refused,
)
from crowrudder_core.membership import (
    MembershipView,
    OwnStatus,
    neighbours_of,
)
from crowrudder_daemon.knowledge._member_changes import compare_members
from crowrudder_daemon.knowledge._parts import (
    bundle_part,
    members_of,
    members_part,
    offer_of,
)
from crowrudder_daemon.knowledge._snapshot import Snapshot
from crowrudder_model import CrowrudderError, InvariantError
from crowrudder_model.messages import Hello, Knowledge, SnapshotRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from crowrudder_core.config import Verdict
    from crowrudder_daemon.process import Runtime
    from crowrudder_model import Member

MS = 1000

PROBE_EVERY = 4
"""Exchanges per probe. A probe goes to a random member, including suspects:
after a partition, all neighbours of a host are on its own side."""


class KnowledgeState:
    """The aggregates of configuration and membership.

    A method that applies an event returns whether the neighbours should be
    notified at once.
    """

    def __init__(
        self,
        runtime: Runtime,
        on_change: Callable[[Snapshot], None],
    ) -> None:
        process = runtime.cfg.process
        self.host = process.host
        self.snapshot = Snapshot()
        self.active_config = ActiveConfig()
        self.view = MembershipView(
            OwnStatus(
                host=process.host,
                incarnation=runtime.incarnation,
                address=f'{process.address}:{process.rpc_port}',
                beat=int(time.time() * MS),
            )
        )
        self.reading = PlatformReadPolicy(
            process.host,
            process.failure_domain,
            started_at=time.monotonic(),
        )
        self.neighbours: list[Member] = []
        self._runtime = runtime
        self._on_change = on_change
        self._exchange_count = 0

    @property
    def knows_members(self) -> bool:
        """Return whether any member list was received."""
        return bool(self.view.published.edition.digest)

    def next_partner(self, rng: random.Random) -> Member | None:
        """Choose the next exchange partner by round-robin over the neighbours.

        Every `PROBE_EVERY`-th partner is a random member instead.
        """
        self._exchange_count += 1
        probes, since_probe = divmod(self._exchange_count, PROBE_EVERY)
        if self.neighbours and since_probe:
            position = self._exchange_count - probes
            return self.neighbours[position % len(self.neighbours)]
        members = self.snapshot.members
        others = [member for member in members if member.host != self.host]
        return rng.choice(others) if others else None

    def open_config(self) -> bool:
        """Put the newest bundle that was received during startup in force."""
        return any(
            [
                self._record_verdict(verdict, 'start')
                for verdict in self.active_config.open(now=time.time())
            ]
        )

    def apply_offer(self, offer: Offer) -> bool:
        """Offer a bundle to the aggregate and record the verdict."""
        with self._counted('config_order'):
            verdict = self.active_config.offer(offer, now=time.time())
        return self._record_verdict(verdict, offer.teller)

    def apply_members(self, members: tuple[Member, ...], revision: int) -> bool:
        """Apply the platform's member list."""
        now = time.monotonic()
        with self._counted('member_order'):
            is_new = self.view.published.on_platform(members, revision, now)
        if is_new:
            self.publish_members('platform')
        return is_new

    def apply_unchanged_members(self) -> bool:
        """Apply the platform's answer that its list is unchanged."""
        is_new = self.view.published.on_unchanged(time.monotonic())
        if is_new:
            self.publish_members('platform')
        return is_new

    def apply_hello(self, hello: Hello) -> bool:
        """Apply a peer's status message and its updates on others."""
        host = hello.sender.host
        self.reading.on_peer_report(hello.read_age_s, time.monotonic())
        self.view.on_call_answered(host)
        results = [
            self.view.on_update(update)
            for update in (hello.sender, *hello.news)
        ]
        if any(each.has_changed for each in results):
            self.publish_members(host)
        return any(each.is_urgent for each in results)

    def apply_call_failure(self, host: str) -> None:
        """Apply a failed call to a peer."""
        if self.view.on_call_failed(host).has_changed:
            self.publish_members(self.host)

    def apply_knowledge(self, knowledge: Knowledge) -> bool:
        """Apply newer data from a peer; a damaged part changes nothing."""
        try:
            return self._apply_parts(knowledge)
        except CrowrudderError as exc:
            self._runtime.log.warning(
                'part not applied: %s',
                exc,
                extra={'step': 'take', 'peer': knowledge.host},
            )
        return False

    def missing_for(
        self,
        order: ConfigOrder,
        peer: Hello | SnapshotRequest,
        *,
        complete: bool = False,
    ) -> Knowledge | None:
        """Return what a peer is missing; None if it is up to date.

        Parameters
        ----------
        complete
            Send a complete bundle, no delta from the one that the peer reports.
        """
        bundle, members = None, None
        if order < self.active_config.order:
            known = (
                None if complete else self.active_config.recent(order.digest)
            )
            bundle = bundle_part(self.active_config, known=known)
        published = self.view.published
        if peer.edition < published.edition:
            members = members_part(published, peer.edition)
        if bundle is None and members is None:
            return None
        return Knowledge(host=self.host, bundle=bundle, members=members)

    def is_behind(self, hello: Hello) -> bool:
        """Return whether a peer has newer data."""
        order = ConfigOrder(hello.generation, hello.digest)
        edition = self.view.published.edition
        return self.active_config.order < order or edition < hello.edition

    def hello(self, peer: str) -> Hello:
        """Return the hello message to a peer."""
        return Hello(
            sender=self.view.own.news,
            generation=self.active_config.order.generation,
            digest=self.active_config.order.digest,
            edition=self.view.published.edition,
            read_age_s=self.reading.age_s(time.monotonic()),
            news=self.view.updates_for(peer),
        )

    def snapshot_request(self) -> SnapshotRequest:
        """Return the request for all data newer than this process's."""
        return SnapshotRequest(
            host=self.host,
            generation=self.active_config.order.generation,
            digest=self.active_config.order.digest,
            edition=self.view.published.edition,
        )

    def status(self) -> dict[str, Any]:
        """Return what is in force here, since when, and what was refused."""
        active_config, now = self.active_config, time.monotonic()
        edition = self.view.published.edition
        return {
            'generation': active_config.order.generation,
            'digest': active_config.order.digest,
            'in_force_since': active_config.in_force_since,
            'revision': active_config.revision,
            'refused': attrs.asdict(active_config.refused)
            if active_config.refused
            else None,
            'lost': attrs.asdict(active_config.lost)
            if active_config.lost
            else None,
            'reads_platform': self.reading.mode(now).value,
            'platform_read_age_s': round(self.reading.age_s(now), 3),
            'members_revision': edition.revision,
            'members_epoch': edition.epoch,
            'suspects': sorted(self.view.suspects()),
        }

    def publish_members(self, teller: str) -> None:
        """Publish the members if they changed, and write the audit log."""
        self.view.on_list()
        before = self.snapshot
        if not self.publish():
            return
        changes = compare_members(before, self.snapshot)
        if changes.before or changes.after:
            self._runtime.audit.note(
                kind='membership',
                teller=teller,
                subject=changes.subject,
                before=changes.before,
                after=changes.after,
            )

    def publish(self) -> bool:
        """Pass a new snapshot to the other tasks; return whether it changed."""
        snapshot = Snapshot(
            self.active_config.bundle,
            self.view.members(),
            self.view.suspects(),
        )
        if snapshot == self.snapshot:
            return False
        self.snapshot = snapshot
        self.reading.on_members(snapshot.members, snapshot.suspects)
        self._choose_neighbours()
        self._on_change(snapshot)
        return True

    @contextmanager
    def _counted(self, invariant: str) -> Iterator[None]:
        """Count a violated invariant."""
        try:
            yield
        except InvariantError:
            self._runtime.metrics.invariant_violated(invariant)
            raise

    def _apply_parts(self, knowledge: Knowledge) -> bool:
        bundle, listed = knowledge.bundle, knowledge.members
        published, teller = self.view.published, knowledge.host
        is_new = False
        if listed is not None:
            members = members_of(listed, published, teller)
            with self._counted('member_order'):
                is_new = published.offer(listed.edition, members)
        if is_new:
            self.publish_members(teller)
        if bundle is None:
            return is_new
        base = self.active_config.recent(bundle.base)
        return self.apply_offer(offer_of(bundle, base, teller)) or is_new

    def _record_verdict(self, verdict: Verdict, teller: str) -> bool:
        """Write the audit log; return whether a bundle came into force."""
        match verdict:
            case Accepted(bundle=bundle, before=before):
                self._audit(teller, 'bundle', before.digest, bundle.digest)
                self._audit_lost(teller)
                self.publish()
                return True
            case Refused(reason=reason):
                self._audit(teller, 'refused bundle', '', reason)
            case Lost():
                self._audit_lost(teller)
        return False

    def _audit_lost(self, teller: str) -> None:
        lost = self.active_config.lost
        if lost is not None and lost.winner == self.active_config.order.digest:
            self._audit(
                teller,
                f'bundle of generation {lost.generation} lost to another',
                lost.digest,
                lost.winner,
            )

    def _audit(
        self,
        teller: str,
        subject: str,
        before: str,
        after: str,
    ) -> None:
        self._runtime.audit.note(
            kind='configuration',
            teller=teller,
            subject=subject,
            before=before,
            after=after,
        )

    def _choose_neighbours(self) -> None:
        by_host = {member.host: member for member in self.snapshot.members}
        chosen = neighbours_of(
            self.host,
            by_host,
            suspects=self.snapshot.suspects,
        )
        self.neighbours = [by_host[host] for host in chosen]
