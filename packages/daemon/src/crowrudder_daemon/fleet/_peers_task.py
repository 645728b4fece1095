"""The task that sends and receives datagrams between a fleet's processes."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any, Protocol

from attrs import frozen
from msgspec.structs import replace

from crowrudder_core.membership import (
    UPDATE_PARTNERS,
    Roster,
    contacts,
    partners,
    sample_ips,
    split_by_region,
)
from crowrudder_core.proofs import Echo, Exchanges
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._task import Task
from crowrudder_model import (
    NO_POSITION,
    MalformedMessageError,
    decode_datagram,
    encode_message,
)
from crowrudder_model.messages import (
    ChunkInventory,
    EngineLoad,
    Heartbeat,
    LoadBatch,
    MemberStatus,
    SuspicionUpdate,
)
from crowrudder_model.statements import LeavingUpdate, LimitUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from crowrudder_daemon.process import Runtime
    from crowrudder_model import StorePosition
    from crowrudder_model.fleet import Node
    from crowrudder_model.messages import Datagram

HEARTBEAT_INTERVAL_S = 0.4
"""Mean seconds between two heartbeats; a status is valid for four of them."""

SEED_CONTACT_HEARTBEATS = 5
"""Every so many heartbeats, one goes to the seeds as well. Otherwise two halves
of a fleet would never find each other again after a network partition."""

MAX_STATUS_REQUESTS = 16
"""Maximum number of entries, known only through others, that are asked for
their status between two heartbeats. It limits the traffic on the links when a
whole fleet starts at once."""

AGENT_TTL_S = 3.0
"""Seconds after its last heartbeat for which an agent counts as live."""


class PeerListener(Protocol):
    """Receives the contents of other processes' datagrams."""

    def peer_report_received(
        self, ip: str, position: StorePosition, confirmed_at: float | None
    ) -> None:
        """Receive the position of a process's records and their confirmation.

        ``confirmed_at`` is a time on the own clock at which the platform had
        nothing newer; None if it can't be told.
        """

    def load_received(self, load: EngineLoad) -> None:
        """Receive an agent's load report on its engine."""

    def loads_received(self, batch: LoadBatch) -> None:
        """Receive load reports of agents that an entry forwards."""

    def chunks_received(self, ip: str, inventory: ChunkInventory) -> None:
        """Receive an agent's inventory of chunks."""

    def suspects_received(self, ip: str, update: SuspicionUpdate) -> None:
        """Receive an entry's reports on requests under which upstreams ended."""

    def limits_received(self, ip: str, update: LimitUpdate) -> None:
        """Receive an entry's reports on limits that upstreams stated."""

    def leaving_received(self, ip: str, update: LeavingUpdate) -> None:
        """Receive an entry's reports on upstreams that leave."""


@frozen
class DatagramReceived:
    """A datagram was received from an IP address."""

    payload: bytes
    ip: str


@frozen
class HeartbeatDue:
    """A heartbeat is due."""


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, task: PeersTask) -> None:
        self._task = task

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        self._task.handle_immediately(DatagramReceived(data, addr[0]))

    def error_received(self, exc: Exception) -> None:
        self._task.on_send_failed(exc)


class PeersTask(Task):
    """Owns the UDP port and the roster of entries.

    Parameters
    ----------
    listener
        Receives the contents of other processes' datagrams.
    """

    def __init__(self, runtime: Runtime, node: Node, listener: PeerListener):
        super().__init__(runtime.log)
        self._runtime = runtime
        self._node = node
        self._listener = listener
        self._random = random.Random(runtime.incarnation)
        self._transport: asyncio.DatagramTransport | None = None
        self._agents: dict[str, float] = {}
        self._heartbeats_sent = 0
        self._status_requests_left = MAX_STATUS_REQUESTS
        self._position = NO_POSITION
        self._confirmed_at = -1.0e9
        self._exchanges = Exchanges(self._random)
        self.seeds = node.seeds
        self.roster = Roster(_own_status(runtime, node))
        self._malformed = runtime.metrics.counter(
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
        """Open the UDP port and start to send heartbeats."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self),
            local_addr=(self._node.ip, self._node.gossip_port),
        )
        self._transport = transport
        self.start()
        self.spawn(self._schedule_heartbeats())

    async def stop(self) -> None:
        """Stop the task and close the port."""
        await super().stop()
        if self._transport is not None:
            self._transport.close()

    @property
    def _is_entry(self) -> bool:
        return self._node.role == 'entry'

    def entries(self) -> list[MemberStatus]:
        """List the live entries."""
        return self.roster.entries(now=clock_s())

    def set_state(self, *, ready: bool, leaving: bool) -> None:
        """Set the status of this process; a change is sent at once."""
        if self.roster.set_own(ready=ready, leaving=leaving):
            self.send_to_all()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the hosts to contact while no other entry is known."""
        self.seeds = seeds

    def set_knowledge(
        self, position: StorePosition, confirmed_at: float
    ) -> None:
        """Set the position of this process; a newer one is sent at once."""
        self._confirmed_at = confirmed_at
        if position > self._position:
            self._position = position
            self.send_to_some()

    def on_datagram_received(self, message: DatagramReceived) -> None:
        """Decode a datagram and dispatch its message."""
        try:
            datagram = decode_datagram(message.payload, peer=message.ip)
        except MalformedMessageError as exc:
            self._malformed.add()
            self._log.debug('datagram ignored: %s', exc)
            return
        match datagram:
            case Heartbeat():
                self._apply_heartbeat(datagram, message.ip)
            case EngineLoad():
                self._listener.load_received(datagram)
            case LoadBatch():
                self._listener.loads_received(datagram)
            case ChunkInventory():
                self._listener.chunks_received(message.ip, datagram)
            case SuspicionUpdate():
                self._listener.suspects_received(message.ip, datagram)
            case LimitUpdate():
                self._listener.limits_received(message.ip, datagram)
            case LeavingUpdate():
                self._listener.leaving_received(message.ip, datagram)

    def on_heartbeat_due(self, _message: HeartbeatDue) -> None:
        """Send a heartbeat to the partners of this process."""
        self._heartbeats_sent += 1
        self._status_requests_left = MAX_STATUS_REQUESTS
        isolated = not self.roster.known(now=clock_s())
        heartbeat = self._heartbeat(isolated=isolated)
        if not self._is_entry:
            self._send(
                {*self.contacts(), *(self.seeds if isolated else ())},
                heartbeat,
            )
            return
        seeds = (
            self.seeds
            if isolated or self._heartbeats_sent % SEED_CONTACT_HEARTBEATS == 0
            else ()
        )
        near, far = partners(*self._other_entries(), self._random)
        region = self._node.place.region
        self._send(
            {*near, *self._live_agents()}, self._with_last_seen(heartbeat)
        )
        self._send({*far, *seeds}, self._with_last_seen(heartbeat, region))

    def on_send_failed(self, exc: Exception) -> None:
        """Count a failed send; it isn't retried, as heartbeats are periodic."""
        self._unsent.add()
        self._log.debug('datagram not sent: %s', exc)

    def send_to_all(self) -> None:
        """Send a heartbeat to all known processes now."""
        near, far = self._other_entries()
        self._send({*near, *far, *self._live_agents()}, self._heartbeat())

    def send_to_some(self) -> None:
        """Send a heartbeat to some processes, which forward what is new to them."""
        if not self._is_entry:
            self._send(set(self.contacts()), self._heartbeat())
            return
        near, far = self._other_entries()
        targets = {
            *sample_ips(near, UPDATE_PARTNERS, self._random),
            *sample_ips(far, 1, self._random),
            *self._live_agents(),
        }
        self._send(targets, self._heartbeat())

    def send(self, datagram: Datagram, ips: Iterable[str]) -> None:
        """Send a message to some hosts now."""
        self._send_bytes(encode_message(datagram), ips)

    def send_to_partners(self, datagram: Datagram) -> None:
        """Send a message to a bounded number of entries, which forward it."""
        near, far = partners(*self._other_entries(), self._random)
        self.send(datagram, [*near, *far])

    def entry_ips(self) -> tuple[list[str], list[str]]:
        """List the IP addresses of live entries: own region, other regions.

        While no entry is known, the seeds take the place of the own region.
        """
        near, far = split_by_region(self.entries(), self._node.place.region)
        return (near, far) if near or far else (list(self.seeds), far)

    def contacts(self) -> list[str]:
        """List the entries to which this agent sends heartbeats."""
        return contacts(self._node.ip, self.entries(), self._node.place.region)

    def add_contacts(self, ips: Iterable[str]) -> None:
        """Contact hosts that may know entries, if no other entry is known."""
        if not self.roster.known(now=clock_s()):
            self._send(set(ips), self._heartbeat(isolated=True))

    def _apply_heartbeat(self, heartbeat: Heartbeat, ip: str) -> None:
        now = clock_s()
        self._exchanges.on_number(ip, heartbeat.number, now=now)
        as_of = self._exchanges.sent_since(
            Echo(heartbeat.echo, heartbeat.held_ms), now=now
        )
        is_new = self._update_roster(heartbeat, now, as_of)
        if heartbeat.status.role == 'agent':
            self._on_agent(heartbeat, ip, now)
        if heartbeat.asks_for_reply or is_new:
            reply = self._reply(to_isolated=heartbeat.is_alone)
            # Its answer echoes this one, and shows that it is live.
            asks = is_new and as_of is None and bool(heartbeat.number)
            self._send({ip}, replace(reply, asks_for_reply=asks))
        # A release that knows no eras can't say which history it has.
        if heartbeat.position is not None:
            confirmed_at = (
                None if as_of is None else as_of - max(heartbeat.confirmed_s, 0)
            )
            self._listener.peer_report_received(
                ip, heartbeat.position, confirmed_at
            )

    def _on_agent(self, heartbeat: Heartbeat, ip: str, now: float) -> None:
        """Record an agent that has chosen this entry, or remove a leaving one.

        An agent that asks for a reply hasn't chosen this entry. All agents ask
        the seeds; if that counted, the seeds would send heartbeats to the whole
        fleet, and links between regions would be full even without load.
        """
        if heartbeat.status.leaving:
            self._agents.pop(ip, None)
        elif not heartbeat.asks_for_reply:
            self._agents[ip] = now

    def _update_roster(
        self, heartbeat: Heartbeat, now: float, as_of: float | None
    ) -> bool:
        # A release without numbers can't prove when it sent its own status.
        seen_at = as_of if heartbeat.number else now
        is_new = self.roster.on_heard(heartbeat.status, as_of=seen_at, now=now)
        if as_of is not None:
            for forwarded in heartbeat.others:
                age_s = now - as_of + max(forwarded.age_s, 0)
                self.roster.on_status(forwarded.status, age_s, now=now)
        unknown_ips = [
            last_seen.ip
            for last_seen in heartbeat.last_seen_entries
            if self.roster.on_last_seen(last_seen, now=now, as_of=as_of)
        ]
        self._request_statuses(unknown_ips)
        if is_new:
            self._log.info(
                'entry met',
                extra={'step': 'membership', 'peer': heartbeat.status.ip},
            )
        return is_new

    def _request_statuses(self, unknown_ips: list[str]) -> None:
        """Request the status of entries that are known only through others."""
        if not unknown_ips:
            return
        asked = unknown_ips[: self._status_requests_left]
        self._status_requests_left -= len(asked)
        self._send(set(asked), self._heartbeat(asks_for_reply=True))

    def _other_entries(self) -> tuple[list[str], list[str]]:
        """List the other entries: own region, other regions."""
        known = self.roster.known(now=clock_s())
        return split_by_region(known, self._node.place.region)

    def _live_agents(self) -> list[str]:
        now = clock_s()
        self._agents = {
            ip: at for ip, at in self._agents.items() if now - at <= AGENT_TTL_S
        }
        return list(self._agents)

    def _send(self, targets: set[str], heartbeat: Heartbeat) -> None:
        targets.discard(self._node.ip if self._is_entry else '')
        if not targets:
            return
        now = clock_s()
        number = self._exchanges.next_number(now)
        for ip in targets:
            echo = self._exchanges.echo_for(ip, now=now)
            numbered = replace(
                heartbeat,
                number=number,
                echo=echo.number,
                held_ms=echo.held_ms,
            )
            self._send_bytes(encode_message(numbered), (ip,))

    def _send_bytes(self, payload: bytes, targets: Iterable[str]) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        for ip in targets:
            transport.sendto(payload, (ip, self._node.gossip_port))

    def _heartbeat(
        self, *, isolated: bool = False, asks_for_reply: bool = False
    ) -> Heartbeat:
        return Heartbeat(
            status=self.roster.own,
            revision=self._position.revision,
            era=self._position.era,
            confirmed_s=min(clock_s() - self._confirmed_at, 1.0e9),
            asks_for_reply=asks_for_reply or isolated,
            is_alone=isolated,
        )

    def _reply(self, *, to_isolated: bool) -> Heartbeat:
        heartbeat = self._heartbeat()
        if not to_isolated:
            return heartbeat
        others = self.roster.statuses_to_forward(self._random, now=clock_s())
        return replace(heartbeat, others=others)

    def _with_last_seen(
        self, heartbeat: Heartbeat, region: str | None = None
    ) -> Heartbeat:
        """Add last-seen entries, of all processes or of one region."""
        last_seen_entries = self.roster.last_seen_entries(
            self._random, now=clock_s(), region=region
        )
        return replace(heartbeat, last_seen_entries=last_seen_entries)

    async def _schedule_heartbeats(self) -> None:
        while True:
            self.post(HeartbeatDue())
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_S * self._random.uniform(0.9, 1.1)
            )


def _own_status(runtime: Runtime, node: Node) -> MemberStatus:
    return MemberStatus(
        ip=node.ip,
        role='entry' if node.role == 'entry' else 'agent',
        incarnation=runtime.incarnation,
        started_at=time.time(),
        callers=node.callers,
        failure_domain=node.place.failure_domain,
        region=node.place.region,
    )
