"""A link with a rate and a queue, in virtual time, that chunks and probes share."""

from __future__ import annotations

from attrs import define, field

from crowrudder_core.transfer import LinkShare
from crowrudder_core.transit import RoundTrips
from crowrudder_daemon.chunks._uploads import _piece_bytes

NOMINAL = 587_500.0
"""Nominal rate of the link, bytes per second."""

STEP_S = 0.005
MEASURE_S = 0.1
PROBE_S = 0.2
PEERS = ('one', 'other')


@define
class NarrowLink:
    """A first-in first-out queue that is emptied at the rate of the link.

    A host paces chunks over it by the delay that its probes measure.

    Attributes
    ----------
    delays_s
        Time and delay of what else is sent, one for each step.
    carried
        Bytes of chunks carried so far.
    """

    rate: float
    adapts: bool = True
    now: float = field(default=100.0, init=False)
    queue_bytes: float = field(default=0, init=False)
    carried: float = field(default=0, init=False)
    delays_s: list[tuple[float, float]] = field(factory=list, init=False)
    share: LinkShare = field(init=False)
    probes: RoundTrips = field(factory=RoundTrips, init=False)
    _sent: float = field(default=0, init=False)
    _under_way: dict[str, float] = field(factory=dict, init=False)
    _piece_at: float = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.share = LinkShare(rate=NOMINAL, burst=0)

    @property
    def delay_s(self):
        """Time until what is sent now has passed the queue."""
        return self.queue_bytes / self.rate

    def play(self, duration_s, *, rate=None):
        """Run for a time, with a new rate of the link if there is one."""
        self.rate = rate or self.rate
        until = self.now + duration_s
        while self.now < until:
            self._step()

    def _step(self):
        self.now += STEP_S
        carried = min(self.queue_bytes, self.rate * STEP_S)
        self.queue_bytes -= carried
        self.carried += carried
        self.share.adaptive.on_carried(round(carried), now=self.now)
        self._send_pieces()
        self._probe()
        if self.adapts and self._is_due(MEASURE_S):
            self.share.adaptive.on_delay(
                self.probes.delay_s(self.now),
                now=self.now,
                is_full=self.share.adaptive.is_fully_used(self.now),
            )
        self.delays_s.append((self.now, self.delay_s))

    def _is_due(self, interval_s):
        return self.now % interval_s < STEP_S

    def _send_pieces(self):
        if self.share.adaptive.is_draining:
            self._piece_at = self.now
            return
        rate = self.share.weights_rate
        while self._piece_at <= self.now:
            size = _piece_bytes(rate)
            self.queue_bytes += size
            self._sent += size
            self._piece_at = max(self._piece_at, self.now - STEP_S)
            self._piece_at += size / rate

    def _probe(self):
        for peer, place in list(self._under_way.items()):
            if self.carried >= place:
                self._under_way.pop(peer)
                self.probes.on_answered(peer, now=self.now)
        if not self._is_due(PROBE_S):
            return
        for peer in PEERS:
            if not self.probes.is_waiting(peer):
                self.probes.on_sent(peer, now=self.now)
                self._under_way[peer] = self._sent

    def worst_delay_s(self, *, after):
        """Return the longest delay since a time."""
        return max(delay_s for at, delay_s in self.delays_s if at >= after)
