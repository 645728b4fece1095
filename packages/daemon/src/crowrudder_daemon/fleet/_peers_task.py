"""The task that owns the datagrams between processes of a fleet."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any, Protocol

from attrs import frozen

from crowrudder_core.membership import Roster
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._task import Task
from crowrudder_model import (
    MalformedMessageError,
    decode_datagram,
    encode_message,
)
from crowrudder_model.messages import (
    ChunkNews,
    EngineLoad,
    Heartbeat,
    MemberWord,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Node
    from crowrudder_model.messages import Datagram

BEAT_S = 0.4
"""Between two heartbeats; a word counts for four of them."""

LONG_BEATS = 5
"""Every so many beats the words of others are passed on, and the seeds are
asked as well: two halves of a fleet that a cut parted would else never meet
again."""

AGENT_LIVE_S = 3.0
"""How long an agent counts as there without a word."""


class PeerListener(Protocol):
    """Who is told what heartbeats say."""

    def peer_heard(self, ip: str, revision: int, confirmed_s: float) -> None:
        """Take how far a process is with the published records."""

    def load_heard(self, load: EngineLoad) -> None:
        """Take an agent's word on the engine beside it."""

    def chunks_heard(self, ip: str, news: ChunkNews) -> None:
        """Take an agent's word on the chunks that it holds."""


@frozen
class DatagramCame:
    """A datagram, and the IP number that sent it."""

    payload: bytes
    ip: str


@frozen
class BeatDue:
    """Time for a heartbeat."""


class _Port(asyncio.DatagramProtocol):
    def __init__(self, task: PeersTask) -> None:
        self._task = task

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        self._task.post(DatagramCame(data, addr[0]))

    def error_received(self, exc: Exception) -> None:
        self._task.on_send_failed(exc)


class PeersTask(Task):
    """Owns the UDP port and the roster.

    Parameters
    ----------
    listener
        Is told what others say.
    """

    def __init__(self, runtime: Runtime, node: Node, listener: PeerListener):
        super().__init__(runtime.log)
        self._runtime = runtime
        self._node = node
        self._listener = listener
        self._random = random.Random(runtime.incarnation)
        self._transport: asyncio.DatagramTransport | None = None
        self._agents: dict[str, float] = {}
        self._beats = 0
        self._revision = 0
        self._confirmed_at = -1.0e9
        self._seeds = node.seeds
        self.roster = Roster(_own_word(runtime, node))
        self._bad = runtime.metrics.counter(
            'peer_datagrams_bad',
            'Datagrams that are no heartbeat.',
        )
        self._unsent = runtime.metrics.counter(
            'peer_datagrams_unsent',
            'Datagrams that the system refused to send.',
        )
        runtime.metrics.gauge(
            'entries_known',
            'Live entries that this process knows, itself included.',
            lambda: float(len(self.entries())),
        )

    async def open(self) -> None:
        """Listen, and begin to beat."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Port(self),
            local_addr=(self._node.ip, self._node.gossip_port),
        )
        self._transport = transport
        self.start()
        self.spawn(self._beat_for_ever())

    async def stop(self) -> None:
        """End the loop and close the port."""
        await super().stop()
        if self._transport is not None:
            self._transport.close()

    def entries(self) -> list[MemberWord]:
        """List the live entries."""
        return self.roster.entries(now=clock_s())

    def set_state(self, *, ready: bool, leaving: bool) -> None:
        """Change what is told of this process; a change is told at once."""
        if self.roster.set_own(ready=ready, leaving=leaving):
            self.tell_all()

    def set_knowledge(self, revision: int, confirmed_at: float) -> None:
        """Take how far this process is; a higher revision is told at once."""
        self._confirmed_at = confirmed_at
        if revision > self._revision:
            self._revision = revision
            self.tell_all()

    def on_datagram_came(self, message: DatagramCame) -> None:
        """Take a heartbeat."""
        try:
            datagram = decode_datagram(message.payload, peer=message.ip)
        except MalformedMessageError as exc:
            self._bad.add()
            self._log.debug('datagram left: %s', exc)
            return
        match datagram:
            case Heartbeat():
                self._take(datagram, message.ip)
            case EngineLoad():
                self._listener.load_heard(datagram)
            case ChunkNews():
                self._listener.chunks_heard(message.ip, datagram)

    def on_beat_due(self, _message: BeatDue) -> None:
        """Send a heartbeat to those who are to have one."""
        self._beats += 1
        targets = set(self._usual_targets())
        alone = not self.roster.known(now=clock_s())
        is_long = self._beats % LONG_BEATS == 0
        if alone or is_long:
            targets.update(self._seeds)
        self._send(targets, asks=alone, with_others=is_long)

    def on_send_failed(self, exc: Exception) -> None:
        """Count what the system refused; heartbeats come again anyway."""
        self._unsent.add()
        self._log.debug('datagram not sent: %s', exc)

    def tell_all(self) -> None:
        """Send a heartbeat to everyone known, now."""
        self._send(set(self._usual_targets()))

    def tell(self, datagram: Datagram, ips: Iterable[str]) -> None:
        """Send something else to some hosts, now."""
        self._send_bytes(encode_message(datagram), ips)

    def entry_ips(self) -> tuple[list[str], list[str]]:
        """List the hosts of live entries: of the own region, and of others.

        While none is known the seeds stand for those of the own region.
        """
        near: list[str] = []
        far: list[str] = []
        for word in self.entries():
            is_near = word.region == self._node.place.region
            (near if is_near else far).append(word.ip)
        return (near, far) if near or far else (list(self._seeds), far)

    def add_contacts(self, ips: Iterable[str]) -> None:
        """Ask hosts that may know entries, where nobody else is known."""
        if not self.roster.known(now=clock_s()):
            self._send(set(ips), asks=True)

    def _take(self, beat: Heartbeat, ip: str) -> None:
        now = clock_s()
        is_new = self._learn(beat, now)
        if beat.word.role == 'agent':
            self._agents[ip] = now
        if beat.asks_for_reply or is_new:
            self._send({ip}, with_others=True)
        self._listener.peer_heard(ip, beat.revision, beat.confirmed_s)

    def _learn(self, beat: Heartbeat, now: float) -> bool:
        is_new = self.roster.on_word(beat.word, 0, now=now)
        for heard in beat.others:
            self.roster.on_word(heard.word, heard.age_s, now=now)
        if is_new:
            self._log.info(
                'entry met',
                extra={'step': 'membership', 'peer': beat.word.ip},
            )
        return is_new

    def _usual_targets(self) -> list[str]:
        now = clock_s()
        targets = [word.ip for word in self.roster.known(now=now)]
        if self._node.role != 'entry':
            return targets
        self._agents = {
            ip: at
            for ip, at in self._agents.items()
            if now - at <= AGENT_LIVE_S
        }
        return [*targets, *self._agents]

    def _send(
        self,
        targets: set[str],
        *,
        asks: bool = False,
        with_others: bool = False,
    ) -> None:
        targets.discard(self._node.ip if self._node.role == 'entry' else '')
        if targets:
            beat = self._heartbeat(asks=asks, with_others=with_others)
            self._send_bytes(encode_message(beat), targets)

    def _send_bytes(self, payload: bytes, targets: Iterable[str]) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        for ip in targets:
            transport.sendto(payload, (ip, self._node.gossip_port))

    def _heartbeat(self, *, asks: bool, with_others: bool) -> Heartbeat:
        now = clock_s()
        others = (
            self.roster.to_pass_on(self._random, now=now) if with_others else ()
        )
        return Heartbeat(
            word=self.roster.own,
            revision=self._revision,
            confirmed_s=min(now - self._confirmed_at, 1.0e9),
            asks_for_reply=asks,
            others=others,
        )

    async def _beat_for_ever(self) -> None:
        while True:
            self.post(BeatDue())
            await asyncio.sleep(BEAT_S * self._random.uniform(0.9, 1.1))


def _own_word(runtime: Runtime, node: Node) -> MemberWord:
    return MemberWord(
        ip=node.ip,
        role='entry' if node.role == 'entry' else 'agent',
        incarnation=runtime.incarnation,
        started_at=time.time(),
        callers=node.callers,
        failure_domain=node.place.failure_domain,
        region=node.place.region,
    )
