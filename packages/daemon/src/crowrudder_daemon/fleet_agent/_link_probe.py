"""Measure the queueing delay of this host's link while weights use it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowrudder_core.transit import RoundTrips
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._ticks import sleep_to_tick
from crowrudder_model import PeerLostError
from crowrudder_model.messages import ProbeRequest
from crowrudder_model.rpc import PROBE

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_daemon.rpc import PeerClient
    from crowrudder_model.fleet import Node

PROBE_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 4.0
"""A longer delay isn't measured: after it, the next probe is sent."""

MAX_TARGETS = 2
"""Number of entries that are probed. With one, its own link would count as this
host's."""

MAX_LATE_S = 0.2
"""If this task wakes later, the process was suspended or busy, and what it
measured meanwhile doesn't count."""

LOGGED_DELAY_S = 0.3
"""Delay of which the start and the end are logged."""


class LinkProbe:
    """Probes the entries with which this agent is in contact.

    Chunks fill the link of a host, in either direction, if it carries less
    than its nominal rate. Datagrams don't show that: they may pass the queue
    of a link that delays the bytes of connections by seconds. So the probes are
    calls over connections, like requests.

    Parameters
    ----------
    is_active
        Returns whether the host receives or sends weights.
    """

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        *,
        peers: PeersTask,
        client: PeerClient,
        is_active: Callable[[], bool],
    ) -> None:
        self._runtime = runtime
        self._node = node
        self._peers = peers
        self._client = client
        self._is_active = is_active
        self._round_trips = RoundTrips()
        self._is_slow = False
        runtime.metrics.gauge(
            'link_delay_s',
            'Queueing delay of this host while weights use its link, seconds.',
            self.delay_s,
        )

    def delay_s(self) -> float:
        """Return the queueing delay of the link; 0 while nothing uses it."""
        return self._round_trips.delay_s(clock_s())

    async def run(self) -> None:
        """Probe periodically while weights use the link."""
        woke_at = clock_s()
        while True:
            await sleep_to_tick(PROBE_INTERVAL_S)
            before, woke_at = woke_at, clock_s()
            if woke_at - before > PROBE_INTERVAL_S + MAX_LATE_S:
                self._round_trips.forget()
            self._log_change()
            if not (self._is_active() or self._is_slow):
                continue
            for ip in self._peers.contacts()[:MAX_TARGETS]:
                if not self._round_trips.is_waiting(ip):
                    self._runtime.spawn(self._probe(ip), step='probe')

    async def _probe(self, ip: str) -> None:
        self._round_trips.on_sent(ip, now=clock_s())
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._client.call(
                    f'{ip}:{self._node.rpc_port}',
                    PROBE,
                    ProbeRequest(),
                    timeout_s=2 * PROBE_TIMEOUT_S,
                )
        except TimeoutError:
            self._round_trips.on_answered(ip, now=clock_s())
        except PeerLostError as exc:
            self._round_trips.on_failed(ip)
            self._runtime.log.debug('entry not probed: %s', exc)
        else:
            self._round_trips.on_answered(ip, now=clock_s())

    def _log_change(self) -> None:
        """Log when the link becomes slow, and when it no longer is."""
        delay_s = self.delay_s()
        if (delay_s >= LOGGED_DELAY_S) != self._is_slow:
            self._is_slow = not self._is_slow
            self._runtime.log.info(
                'link of this host is slow'
                if self._is_slow
                else 'link of this host is no longer slow',
                extra={'step': 'link', 'delay_s': round(delay_s, 3)},
            )
