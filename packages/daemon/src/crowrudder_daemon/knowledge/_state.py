"""What a process knows, and what follows from each word that it hears."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import attrs

from crowrudder_core.config import (
    Accepted,
    ConfigBook,
    ConfigOrder,
    Lost,
    Offer,
    PlatformReading,
    Refused,
)
from crowrudder_core.membership import (
    MembershipView,
    OwnWord,
    neighbours_of,
)
from crowrudder_daemon.knowledge._member_notes import changes_of
from crowrudder_daemon.knowledge._parts import (
    bundle_part,
    members_of,
    members_part,
    offer_of,
)
from crowrudder_daemon.knowledge._snapshot import Snapshot
from crowrudder_model import CrowrudderError, InvariantError
from crowrudder_model.messages import Hello, Knowledge, TakeAsk

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from crowrudder_core.config import Verdict
    from crowrudder_daemon.process import Runtime
    from crowrudder_model import Member

MS = 1000

PROBE_EVERY = 4
"""Every so many exchanges go to any member, also to a suspect: after a
partition, the neighbours of both sides are all on their own side."""


class KnowledgeState:
    """The aggregates of configuration and membership, side by side.

    Each method takes one event and says whether the neighbours should hear
    of it at once.
    """

    def __init__(
        self,
        runtime: Runtime,
        on_change: Callable[[Snapshot], None],
    ) -> None:
        process = runtime.cfg.process
        self.host = process.host
        self.snapshot = Snapshot()
        self.book = ConfigBook()
        self.view = MembershipView(
            OwnWord(
                host=process.host,
                incarnation=runtime.incarnation,
                address=f'{process.address}:{process.rpc_port}',
                beat=int(time.time() * MS),
            )
        )
        self.reading = PlatformReading(
            process.host,
            process.failure_domain,
            started_at=time.monotonic(),
        )
        self.neighbours: list[Member] = []
        self._runtime = runtime
        self._on_change = on_change
        self._turn = 0

    @property
    def knows_members(self) -> bool:
        """Whether any member list was taken."""
        return bool(self.view.published.edition.digest)

    def next_partner(self, rng: random.Random) -> Member | None:
        """Choose whom to exchange with: one neighbour after the other."""
        self._turn += 1
        probes, is_no_probe = divmod(self._turn, PROBE_EVERY)
        if self.neighbours and is_no_probe:
            turn = self._turn - probes
            return self.neighbours[turn % len(self.neighbours)]
        members = self.snapshot.members
        others = [member for member in members if member.host != self.host]
        return rng.choice(others) if others else None

    def open_book(self) -> bool:
        """Put the newest of what the start brought in force."""
        return any(
            [
                self._tell(verdict, 'start')
                for verdict in self.book.open(now=time.time())
            ]
        )

    def take_offer(self, offer: Offer) -> bool:
        """Offer a bundle to the aggregate and tell what became of it."""
        with self._counted('config_order'):
            verdict = self.book.offer(offer, now=time.time())
        return self._tell(verdict, offer.teller)

    def take_members(self, members: tuple[Member, ...], revision: int) -> bool:
        """Take the platform's member list."""
        now = time.monotonic()
        with self._counted('member_order'):
            is_new = self.view.published.on_platform(members, revision, now)
        if is_new:
            self.note_members('platform')
        return is_new

    def take_same_members(self) -> bool:
        """Take the platform's word that its list is the one last read."""
        is_new = self.view.published.on_same(time.monotonic())
        if is_new:
            self.note_members('platform')
        return is_new

    def take_hello(self, hello: Hello) -> bool:
        """Take what a peer says of itself and of others."""
        host = hello.sender.host
        self.reading.on_heard(hello.read_age_s, time.monotonic())
        self.view.on_call_answered(host)
        heard = [
            self.view.on_news(news) for news in (hello.sender, *hello.news)
        ]
        if any(each.is_new for each in heard):
            self.note_members(host)
        return any(each.urgent for each in heard)

    def take_silence(self, host: str) -> None:
        """Take note of a call that failed."""
        if self.view.on_call_failed(host).is_new:
            self.note_members(self.host)

    def take_knowledge(self, knowledge: Knowledge) -> bool:
        """Take what a peer had newer; a damaged part changes nothing."""
        try:
            return self._take_parts(knowledge)
        except CrowrudderError as exc:
            self._runtime.log.warning(
                'a part was no use: %s',
                exc,
                extra={'step': 'take', 'peer': knowledge.host},
            )
        return False

    def lacking(
        self,
        order: ConfigOrder,
        peer: Hello | TakeAsk,
        *,
        whole: bool = False,
    ) -> Knowledge | None:
        """Put together what a peer lacks; None if it lacks nothing.

        Parameters
        ----------
        whole
            Send no change of the bundle that the peer says it has.
        """
        bundle, members = None, None
        if order < self.book.order:
            known = None if whole else self.book.recent(order.digest)
            bundle = bundle_part(self.book, known=known)
        published = self.view.published
        if peer.edition < published.edition:
            members = members_part(published, peer.edition)
        if bundle is None and members is None:
            return None
        return Knowledge(host=self.host, bundle=bundle, members=members)

    def is_behind(self, hello: Hello) -> bool:
        """Tell whether a peer has something newer."""
        order = ConfigOrder(hello.generation, hello.digest)
        edition = self.view.published.edition
        return self.book.order < order or edition < hello.edition

    def hello(self, peer: str) -> Hello:
        """Write the greeting to a peer."""
        return Hello(
            sender=self.view.own.news,
            generation=self.book.order.generation,
            digest=self.book.order.digest,
            edition=self.view.published.edition,
            read_age_s=self.reading.age_s(time.monotonic()),
            news=self.view.to_tell(peer),
        )

    def ask(self) -> TakeAsk:
        """Ask a peer for all that is newer than what is known here."""
        return TakeAsk(
            host=self.host,
            generation=self.book.order.generation,
            digest=self.book.order.digest,
            edition=self.view.published.edition,
        )

    def status(self) -> dict[str, Any]:
        """Tell what is in force here, since when, and what was refused."""
        book, now = self.book, time.monotonic()
        edition = self.view.published.edition
        return {
            'generation': book.order.generation,
            'digest': book.order.digest,
            'in_force_since': book.in_force_since,
            'revision': book.revision,
            'refused': attrs.asdict(book.refused) if book.refused else None,
            'lost': attrs.asdict(book.lost) if book.lost else None,
            'reads_platform': self.reading.mode(now).value,
            'platform_read_age_s': round(self.reading.age_s(now), 3),
            'members_revision': edition.revision,
            'members_epoch': edition.epoch,
            'suspects': sorted(self.view.suspects()),
        }

    def note_members(self, teller: str) -> None:
        """Publish the members if they changed, and write the trail."""
        self.view.on_list()
        before = self.snapshot
        if not self.publish():
            return
        told = changes_of(before, self.snapshot)
        if told.before or told.after:
            self._runtime.audit.note(
                kind='membership',
                teller=teller,
                subject=told.subject,
                before=told.before,
                after=told.after,
            )

    def publish(self) -> bool:
        """Hand a new picture to the other tasks; false if nothing changed."""
        snapshot = Snapshot(
            self.book.bundle,
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
        """Count an act that an invariant refuses."""
        try:
            yield
        except InvariantError:
            self._runtime.metrics.invariant_violated(invariant)
            raise

    def _take_parts(self, knowledge: Knowledge) -> bool:
        bundle, listed = knowledge.bundle, knowledge.members
        published, teller = self.view.published, knowledge.host
        is_new = False
        if listed is not None:
            members = members_of(listed, published, teller)
            with self._counted('member_order'):
                is_new = published.offer(listed.edition, members)
        if is_new:
            self.note_members(teller)
        if bundle is None:
            return is_new
        base = self.book.recent(bundle.base)
        return self.take_offer(offer_of(bundle, base, teller)) or is_new

    def _tell(self, verdict: Verdict, teller: str) -> bool:
        """Write the trail; true when a bundle came into force."""
        match verdict:
            case Accepted(bundle=bundle, before=before):
                self._audit(teller, 'bundle', before.digest, bundle.digest)
                self._tell_lost(teller)
                self.publish()
                return True
            case Refused(reason=reason):
                self._audit(teller, 'refused bundle', '', reason)
            case Lost():
                self._tell_lost(teller)
        return False

    def _tell_lost(self, teller: str) -> None:
        lost = self.book.lost
        if lost is not None and lost.winner == self.book.order.digest:
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
