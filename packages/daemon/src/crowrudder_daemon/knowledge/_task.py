"""Learn configuration and members from the platform and from peers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import attrs
from attrs import frozen

from crowrudder_core.config import Accepted, ConfigBook, Lost, Refused
from crowrudder_core.membership import MembershipView
from crowrudder_daemon._task import Task
from crowrudder_daemon.http import Fetcher
from crowrudder_daemon.knowledge._snapshot import Snapshot
from crowrudder_model import (
    Member,
    MembersError,
    PeerLostError,
    UpstreamError,
    decode_members,
)
from crowrudder_model.messages import (
    BundleAsk,
    BundleReply,
    Hello,
    ProcessNews,
)
from crowrudder_model.rpc import EXCHANGE, FETCH_BUNDLE

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.http import Answer
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient, PeerServer

WATCH_S = 20
MOST_NEWS = 64
HTTP_OK = 200


@frozen
class BundleRead:
    """Bytes of a bundle that the platform or a peer gave."""

    payload: bytes
    revision: int
    teller: str


@frozen
class MembersRead:
    """The platform's member list."""

    members: tuple[Member, ...]
    revision: int


@frozen
class NewsHeard:
    """What peers say of themselves and of others."""

    news: tuple[ProcessNews, ...]
    teller: str


class KnowledgeTask(Task):
    """Owns the configuration and membership aggregates of a process."""

    def __init__(
        self,
        runtime: Runtime,
        peers: PeerClient,
        on_change: Callable[[Snapshot], None],
    ) -> None:
        super().__init__(runtime.log)
        self.snapshot = Snapshot()
        self.book = ConfigBook()
        self._view = MembershipView()
        self._runtime = runtime
        self._peers = peers
        self._on_change = on_change
        self._platform = Fetcher(runtime.cfg.platform.address)
        self._beat = 0
        self._leaving = False
        self._random = random.Random(runtime.incarnation)

    def serve(self, server: PeerServer) -> None:
        """Answer the calls of peers."""
        server.add(EXCHANGE, self._on_exchange)
        server.add(FETCH_BUNDLE, self._on_fetch)

    def start(self) -> None:
        """Start the loop, the watches and the exchange with peers."""
        super().start()
        self.spawn(self._watch_bundle())
        self.spawn(self._watch_members())
        self.spawn(self._exchange_for_ever())

    async def leave(self) -> None:
        """Tell every member that this process takes no new work."""
        self._leaving = True
        await asyncio.gather(
            *(self._exchange(member) for member in self._others()),
        )

    def status(self) -> dict[str, Any]:
        """Tell what is in force here, since when, and what was refused."""
        generation, digest = self.book.order
        refused = self.book.refused
        lost = self.book.lost
        return {
            'generation': generation,
            'digest': digest,
            'in_force_since': self.book.in_force_since,
            'revision': self.book.revision,
            'refused': attrs.asdict(refused) if refused else None,
            'lost': attrs.asdict(lost) if lost else None,
        }

    def on_bundle_read(self, message: BundleRead) -> None:
        """Offer a bundle to the aggregate and tell what became of it."""
        verdict = self.book.offer(
            message.payload,
            revision=message.revision,
            teller=message.teller,
            now=asyncio.get_running_loop().time(),
        )
        match verdict:
            case Accepted(bundle=bundle, before=before):
                self._audit(message.teller, 'bundle', before, bundle.digest)
                self._publish()
            case Refused(reason=reason):
                self._audit(message.teller, 'refused', '', reason)
            case Lost(digest=digest):
                self._audit(message.teller, 'lost', digest, self.book.order[1])
            case _:
                return

    def on_members_read(self, message: MembersRead) -> None:
        """Take the platform's list."""
        before = self._view.members()
        self._view.on_published(message.members, message.revision)
        self._note_members(before, 'platform')

    def on_news_heard(self, message: NewsHeard) -> None:
        """Take what processes say of themselves."""
        before = self._view.members()
        for news in message.news:
            self._view.on_news(news)
        self._note_members(before, message.teller)

    def _note_members(self, before: tuple[Member, ...], teller: str) -> None:
        after = self._view.members()
        if before == after:
            return
        self._runtime.audit.note(
            kind='membership',
            teller=teller,
            subject='members',
            before=_names(before),
            after=_names(after),
        )
        self._publish()

    def _publish(self) -> None:
        self.snapshot = Snapshot(self.book.bundle, self._view.members())
        self._on_change(self.snapshot)

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

    async def _watch_bundle(self) -> None:
        revision = -1
        while True:
            answer = await self._read('/v1/config/bundle', revision)
            if answer is None or answer.status != HTTP_OK:
                await self._pause(answer)
                continue
            revision = int(answer.header('X-Revision') or 0)
            self.post(BundleRead(answer.body, revision, 'platform'))

    async def _watch_members(self) -> None:
        revision = -1
        while True:
            answer = await self._read('/v1/members', revision)
            if answer is None or answer.status != HTTP_OK:
                await self._pause(answer)
                continue
            try:
                revision, members = decode_members(answer.body)
            except MembersError as exc:
                self._log.warning('member list unreadable: %s', exc)
                await self._pause(None)
                continue
            self.post(MembersRead(members, revision))

    async def _read(self, path: str, revision: int) -> Answer | None:
        watch = f'?after={revision}&wait={WATCH_S}' if revision >= 0 else ''
        try:
            return await self._platform.fetch(
                path + watch,
                timeout_s=WATCH_S + 5.0,
            )
        except UpstreamError as exc:
            self._log.warning('platform unreachable: %s', exc)
            return None

    async def _pause(self, answer: Answer | None) -> None:
        """Wait with jitter after anything but news."""
        if answer is not None and answer.status == 204:
            return
        poll_s = self._runtime.cfg.platform.poll_s
        await asyncio.sleep(poll_s * self._random.uniform(0.1, 0.3))

    async def _exchange_for_ever(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.5, 1.5))
            others = self._others()
            if others:
                await self._exchange(self._random.choice(others))

    async def _exchange(self, member: Member) -> None:
        try:
            hello = await self._peers.call(
                member.rpc_address,
                EXCHANGE,
                self._hello(),
                timeout_s=1.0,
            )
        except PeerLostError as exc:
            self._log.debug('no exchange: %s', exc)
            return
        self._heard(hello, member)

    async def _on_exchange(self, hello: Hello, _context: object) -> Hello:
        member = self.snapshot.member(hello.sender.host)
        self._heard(hello, member)
        return self._hello()

    def _heard(self, hello: Hello, member: Member | None) -> None:
        self.post(NewsHeard((hello.sender, *hello.news), hello.sender.host))
        behind = self.book.order < (hello.generation, hello.digest)
        if behind and member is not None:
            self.spawn(self._fetch_bundle(member))

    async def _fetch_bundle(self, member: Member) -> None:
        ask = BundleAsk(host=self._runtime.cfg.process.host)
        try:
            reply = await self._peers.call(
                member.rpc_address,
                FETCH_BUNDLE,
                ask,
            )
        except PeerLostError as exc:
            self._log.info('no bundle from peer: %s', exc)
            return
        self.post(BundleRead(reply.payload, reply.revision, member.host))

    async def _on_fetch(self, _ask: BundleAsk, _context: object) -> BundleReply:
        return BundleReply(
            payload=self.book.payload,
            revision=self.book.revision,
        )

    def _hello(self) -> Hello:
        self._beat += 1
        generation, digest = self.book.order
        leaving = [news for news in self._view.news.values() if news.leaving]
        return Hello(
            sender=self._own_news(),
            generation=generation,
            digest=digest,
            news=tuple(leaving[:MOST_NEWS]),
        )

    def _own_news(self) -> ProcessNews:
        process = self._runtime.cfg.process
        return ProcessNews(
            host=process.host,
            role=process.role,
            incarnation=self._runtime.incarnation,
            beat=self._beat,
            leaving=self._leaving,
            rpc_address=f'{process.address}:{process.rpc_port}',
        )

    def _others(self) -> list[Member]:
        own = self._runtime.cfg.process.host
        return [
            member for member in self.snapshot.members if member.host != own
        ]


def _names(members: tuple[Member, ...]) -> str:
    return ' '.join(
        member.host if member.state == 'live' else f'{member.host}(leaving)'
        for member in members
    )
