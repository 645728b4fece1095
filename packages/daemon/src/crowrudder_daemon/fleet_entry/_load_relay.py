"""Forward the load reports of a region's engines to other regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field, frozen
from msgspec.structs import replace

from crowrudder_core.membership import relays
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon._ticks import sleep_to_tick
from crowrudder_model.messages import EngineLoad, LoadBatch

if TYPE_CHECKING:
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_model.fleet import Node

BATCH_INTERVAL_S = 0.6
"""Interval of the batches from one of the two relays to another region.

Entries send requests to another region when their own is full. Bandwidth
between regions is scarce and paid for. Agents send the changes that decide
whether an engine takes requests at all to all entries at once.
"""

MAX_RELAYED_AGE_S = 0.6
"""Age up to which a report is forwarded. Agents repeat theirs every 0.4 s; the
report of an agent that has died must expire."""

MAX_LOADS_PER_BATCH = 24
"""Load reports in one batch, which must fit into one datagram."""

MAX_REPORTS = 4096
"""Load reports that are kept; a region has a few thousand engines at most."""

_MS = 1000


@frozen
class _Report:
    load: EngineLoad
    received_at: float


@define(eq=False)
class LoadRelay:
    """Forwards load reports of the own region's agents to other regions.

    If each agent sent its reports to every entry of every region, their number
    would grow with the whole fleet and fill the links between regions. Instead
    two entries of a region, which all entries compute alike, send its reports
    in batches to two entries of each other region, and these forward them
    within their region.
    """

    _node: Node
    _peers: PeersTask
    _reports: dict[str, _Report] = field(factory=dict)

    def on_load(self, load: EngineLoad) -> None:
        """Record the load report of an agent of the own region."""
        if load.address not in self._reports and self._is_full():
            return
        load = replace(load, is_close=False)
        self._reports[load.address] = _Report(load, clock_s())

    def forward(self, batch: LoadBatch) -> None:
        """Forward a batch from another region to the entries of the own one."""
        near, _ = self._peers.entry_ips()
        self._peers.send(
            replace(batch, forward=False),
            [ip for ip in near if ip != self._node.ip],
        )

    async def send_forever(self) -> None:
        """Send batches to the other regions while this entry is a relay."""
        while True:
            await sleep_to_tick(BATCH_INTERVAL_S)
            self._send_batches()

    def _send_batches(self) -> None:
        now = clock_s()
        reports = self._recent_reports(now)
        targets = self._targets()
        if not targets:
            return
        for first in range(0, len(reports), MAX_LOADS_PER_BATCH):
            part = reports[first : first + MAX_LOADS_PER_BATCH]
            self._peers.send(_batch(part, now), targets)

    def _is_full(self) -> bool:
        """Return whether there is no room, also without expired reports."""
        return (
            len(self._reports) >= MAX_REPORTS
            and len(self._recent_reports(clock_s())) >= MAX_REPORTS
        )

    def _targets(self) -> list[str]:
        """Return the target relay of each other region; none if not a relay.

        The first relay of a region sends to the first of each other region,
        the second to the second. Each report crosses twice, so that one of the
        four relays may be down.
        """
        entries = self._peers.entries()
        region = self._node.place.region
        own = relays(entries, region)
        if self._node.ip not in own:
            return []
        rank = own.index(self._node.ip)
        others = {entry.region for entry in entries} - {region}
        found = (relays(entries, other) for other in sorted(others))
        return [ips[rank % len(ips)] for ips in found if ips]

    def _recent_reports(self, now: float) -> list[_Report]:
        self._reports = {
            address: report
            for address, report in self._reports.items()
            if now - report.received_at <= MAX_RELAYED_AGE_S
        }
        return list(self._reports.values())


def _batch(reports: list[_Report], now: float) -> LoadBatch:
    return LoadBatch(
        loads=tuple(report.load for report in reports),
        ages_ms=tuple(
            int((now - report.received_at) * _MS) for report in reports
        ),
        forward=True,
    )
