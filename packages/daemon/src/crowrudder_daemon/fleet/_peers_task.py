"""The task that owns the datagrams between processes of a fleet."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any, Protocol

from attrs import frozen
from msgspec.structs import replace

from crowrudder_core.membership import (
    NEWS_PARTNERS,
    Roster,
    contacts,
    drawn,
    partners,
    split_by_region,
)
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
    LimitNews,
    LoadBatch,
    MemberWord,
    SuspectNews,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Node
    from crowrudder_model.messages import Datagram

BEAT_S = 0.4
"""Between two heartbeats; a word counts for four of them."""

LONG_BEATS = 5
"""Every so many beats the seeds are asked as well: two halves of a fleet that
a cut parted would else never meet again."""

MOST_INTRODUCTIONS = 16
"""Entries heard of through others that are asked for their word between two
beats: a whole fleet that starts at once must not fill its links with it."""

AGENT_LIVE_S = 3.0
"""How long an agent counts as there without a word."""


class PeerListener(Protocol):
    """Who is told what heartbeats say."""

    def peer_heard(self, ip: str, revision: int, confirmed_s: float) -> None:
        """Take how far a process is with the published records."""

    def load_heard(self, load: EngineLoad) -> None:
        """Take an agent's word on the engine beside it."""

    def loads_heard(self, batch: LoadBatch) -> None:
        """Take what an entry passes on of agents' words."""

    def chunks_heard(self, ip: str, news: ChunkNews) -> None:
        """Take an agent's word on the chunks that it holds."""

    def suspects_heard(self, ip: str, news: SuspectNews) -> None:
        """Take an entry's word on requests under which upstreams ended."""

    def limits_heard(self, ip: str, news: LimitNews) -> None:
        """Take an entry's word on limits that upstreams named."""


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
        self._task.handle_now(DatagramCame(data, addr[0]))

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
        self._introductions = MOST_INTRODUCTIONS
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

    @property
    def _is_entry(self) -> bool:
        return self._node.role == 'entry'

    def entries(self) -> list[MemberWord]:
        """List the live entries."""
        return self.roster.entries(now=clock_s())

    def set_state(self, *, ready: bool, leaving: bool) -> None:
        """Change what is told of this process; a change is told at once."""
        if self.roster.set_own(ready=ready, leaving=leaving):
            self.tell_all()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the hosts to ask where nobody else is known."""
        self._seeds = seeds

    def set_knowledge(self, revision: int, confirmed_at: float) -> None:
        """Take how far this process is; a higher revision is passed on."""
        self._confirmed_at = confirmed_at
        if revision > self._revision:
            self._revision = revision
            self.tell_some()

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
            case LoadBatch():
                self._listener.loads_heard(datagram)
            case ChunkNews():
                self._listener.chunks_heard(message.ip, datagram)
            case SuspectNews():
                self._listener.suspects_heard(message.ip, datagram)
            case LimitNews():
                self._listener.limits_heard(message.ip, datagram)

    def on_beat_due(self, _message: BeatDue) -> None:
        """Send a heartbeat to those who are to have one."""
        self._beats += 1
        self._introductions = MOST_INTRODUCTIONS
        alone = not self.roster.known(now=clock_s())
        beat = self._heartbeat(alone=alone)
        if not self._is_entry:
            self._send(
                {*self._contacts(), *(self._seeds if alone else ())}, beat
            )
            return
        seeds = self._seeds if alone or self._beats % LONG_BEATS == 0 else ()
        near, far = partners(*self._others(), self._random)
        region = self._node.place.region
        self._send({*near, *self._heard_agents()}, self._with_sightings(beat))
        self._send({*far, *seeds}, self._with_sightings(beat, region))

    def on_send_failed(self, exc: Exception) -> None:
        """Count what the system refused; heartbeats come again anyway."""
        self._unsent.add()
        self._log.debug('datagram not sent: %s', exc)

    def tell_all(self) -> None:
        """Send a heartbeat to everyone known, now."""
        near, far = self._others()
        self._send({*near, *far, *self._heard_agents()}, self._heartbeat())

    def tell_some(self) -> None:
        """Send a heartbeat to some, who pass on what is new to them."""
        if not self._is_entry:
            self._send(set(self._contacts()), self._heartbeat())
            return
        near, far = self._others()
        targets = {
            *drawn(near, NEWS_PARTNERS, self._random),
            *drawn(far, 1, self._random),
            *self._heard_agents(),
        }
        self._send(targets, self._heartbeat())

    def tell(self, datagram: Datagram, ips: Iterable[str]) -> None:
        """Send something else to some hosts, now."""
        self._send_bytes(encode_message(datagram), ips)

    def tell_partners(self, datagram: Datagram) -> None:
        """Send something to a bounded number of entries, who pass it on."""
        near, far = partners(*self._others(), self._random)
        self.tell(datagram, [*near, *far])

    def entry_ips(self) -> tuple[list[str], list[str]]:
        """List the hosts of live entries: of the own region, and of others.

        While none is known the seeds stand for those of the own region.
        """
        near, far = split_by_region(self.entries(), self._node.place.region)
        return (near, far) if near or far else (list(self._seeds), far)

    def add_contacts(self, ips: Iterable[str]) -> None:
        """Ask hosts that may know entries, where nobody else is known."""
        if not self.roster.known(now=clock_s()):
            self._send(set(ips), self._heartbeat(alone=True))

    def _take(self, beat: Heartbeat, ip: str) -> None:
        now = clock_s()
        is_new = self._learn(beat, now)
        if beat.word.role == 'agent':
            self._on_agent(beat, ip, now)
        if beat.asks_for_reply or is_new:
            self._send({ip}, self._reply(to_one_alone=beat.is_alone))
        self._listener.peer_heard(ip, beat.revision, beat.confirmed_s)

    def _on_agent(self, beat: Heartbeat, ip: str, now: float) -> None:
        """Note an agent that has chosen this entry, or that leaves.

        One that asks has not chosen. What goes wrong when it counts all the
        same: all agents ask the seeds, and these send heartbeats to a whole
        fleet, seen as links between regions that are full at rest.
        """
        if beat.word.leaving:
            self._agents.pop(ip, None)
        elif not beat.asks_for_reply:
            self._agents[ip] = now

    def _learn(self, beat: Heartbeat, now: float) -> bool:
        is_new = self.roster.on_word(beat.word, 0, now=now)
        for heard in beat.others:
            self.roster.on_word(heard.word, heard.age_s, now=now)
        unmet = [
            sighting.ip
            for sighting in beat.sightings
            if self.roster.on_sighting(sighting, now=now)
        ]
        self._introduce(unmet)
        if is_new:
            self._log.info(
                'entry met',
                extra={'step': 'membership', 'peer': beat.word.ip},
            )
        return is_new

    def _introduce(self, unmet: list[str]) -> None:
        """Ask entries for their words that others have heard of."""
        if not unmet:
            return
        asked = unmet[: self._introductions]
        self._introductions -= len(asked)
        self._send(set(asked), self._heartbeat(asks=True))

    def _others(self) -> tuple[list[str], list[str]]:
        """List the other entries: of the own region, and of others."""
        known = self.roster.known(now=clock_s())
        return split_by_region(known, self._node.place.region)

    def _contacts(self) -> list[str]:
        """List the entries that hear this agent."""
        return contacts(self._node.ip, self.entries(), self._node.place.region)

    def _heard_agents(self) -> list[str]:
        now = clock_s()
        self._agents = {
            ip: at
            for ip, at in self._agents.items()
            if now - at <= AGENT_LIVE_S
        }
        return list(self._agents)

    def _send(self, targets: set[str], beat: Heartbeat) -> None:
        targets.discard(self._node.ip if self._is_entry else '')
        if targets:
            self._send_bytes(encode_message(beat), targets)

    def _send_bytes(self, payload: bytes, targets: Iterable[str]) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        for ip in targets:
            transport.sendto(payload, (ip, self._node.gossip_port))

    def _heartbeat(
        self, *, alone: bool = False, asks: bool = False
    ) -> Heartbeat:
        return Heartbeat(
            word=self.roster.own,
            revision=self._revision,
            confirmed_s=min(clock_s() - self._confirmed_at, 1.0e9),
            asks_for_reply=asks or alone,
            is_alone=alone,
        )

    def _reply(self, *, to_one_alone: bool) -> Heartbeat:
        beat = self._heartbeat()
        if not to_one_alone:
            return beat
        others = self.roster.to_pass_on(self._random, now=clock_s())
        return replace(beat, others=others)

    def _with_sightings(
        self, beat: Heartbeat, region: str | None = None
    ) -> Heartbeat:
        """Add how lately others were heard of, all or those of a region."""
        sightings = self.roster.sightings(
            self._random, now=clock_s(), region=region
        )
        return replace(beat, sightings=sightings)

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
