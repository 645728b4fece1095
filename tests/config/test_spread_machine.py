"""Hosts converge on one bundle despite reordering, loss, duplicates, delay."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle as StateBundle,
)
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from crowrudder_core.config import ActiveConfig, ConfigOrder, Offer
from crowrudder_model.declared import (
    apply_delta,
    delta_between,
)
from support.bundles import digest_in, payload

HOSTS = 5
hosts = st.integers(0, HOSTS - 1)


class Spread(RuleBasedStateMachine):
    """A fleet of `ActiveConfig`, a platform that may be stale, and messages."""

    published = StateBundle('published')

    def __init__(self) -> None:
        super().__init__()
        self.values: list[bytes] = []
        self.books = [ActiveConfig(is_open=True) for _ in range(HOSTS)]
        self.highest = [ConfigOrder() for _ in range(HOSTS)]
        self.in_flight: list[tuple[int, Offer]] = []
        self.best = ConfigOrder()

    @rule(
        target=published,
        generation=st.integers(1, 6),
        rate=st.integers(1, 3),
        follows=st.booleans(),
    )
    def publish(self, generation: int, rate: int, *, follows: bool) -> int:
        """Publish a bundle, possibly concurrent or of an older generation."""
        parent = digest_in(self.values[-1]) if self.values and follows else ''
        value = payload(generation, parent=parent, rate=rate)
        self.values.append(value)
        return len(self.values) - 1

    @rule(host=hosts, revision=published)
    def read_platform(self, host: int, revision: int) -> None:
        """Read any revision: fresh, stale, or after a rebuild."""
        self.offer_to(host, self.values[revision], revision)

    @rule(host=hosts, noise=st.binary(max_size=8), revision=published)
    def read_garbage(self, host: int, noise: bytes, revision: int) -> None:
        half = self.values[revision][:-1]
        self.offer_to(host, noise, revision)
        self.offer_to(host, half, revision)

    @rule(sender=hosts, receiver=hosts)
    def send(self, sender: int, receiver: int) -> None:
        """Send a host's bundle, as a delta if possible."""
        ours, theirs = self.books[sender], self.books[receiver]
        if ours.bundle is None:
            return
        value = ours.payload
        known = ours.recent(theirs.order.digest)
        if known is not None:
            delta = delta_between(known, ours.bundle)
            value = apply_delta(known, delta, digest=ours.bundle.digest)
        offer = Offer(payload=value, revision=ours.revision, teller=str(sender))
        self.in_flight.append((receiver, offer))

    @rule(position=st.integers(0, 99), duplicated=st.booleans())
    def deliver(self, position: int, *, duplicated: bool) -> None:
        """Deliver any message, not only the oldest; keep it if duplicated."""
        if not self.in_flight:
            return
        index = position % len(self.in_flight)
        receiver, offer = self.in_flight[index]
        if not duplicated:
            del self.in_flight[index]
        self.books[receiver].offer(offer, now=0)

    @rule(position=st.integers(0, 99))
    def lose_message(self, position: int) -> None:
        if self.in_flight:
            del self.in_flight[position % len(self.in_flight)]

    @rule(host=hosts, peer=hosts, revision=published)
    def replace(self, host: int, peer: int, revision: int) -> None:
        """Start a new process that reads a stale platform and asks one peer."""
        known = ConfigOrder() if peer == host else self.books[peer].order
        asked = self.books[peer].payload
        self.books[host] = ActiveConfig()
        self.highest[host] = ConfigOrder()
        self.offer_to(host, self.values[revision], revision)
        if peer != host and asked:
            self.offer_to(host, asked, revision)
        assert self.books[host].bundle is None
        self.books[host].open(now=0)
        assert self.books[host].order >= known

    @invariant()
    def never_goes_back(self) -> None:
        for host, active_config in enumerate(self.books):
            assert active_config.order >= self.highest[host]
            self.highest[host] = active_config.order
            self.best = max(self.best, active_config.order)

    def teardown(self) -> None:
        """Exchange between all hosts twice: all end on the newest bundle."""
        held = max(
            (active_config.order for active_config in self.books),
            default=ConfigOrder(),
        )
        for sender in (*range(HOSTS), *range(HOSTS)):
            for receiver in range(HOSTS):
                if self.books[sender].payload:
                    self.offer_to(receiver, self.books[sender].payload, 0)
        assert {active_config.order for active_config in self.books} == {held}

    def offer_to(self, host: int, value: bytes, revision: int) -> None:
        offer = Offer(payload=value, revision=revision, teller='platform')
        self.books[host].offer(offer, now=0)


TestSpread = Spread.TestCase
TestSpread.settings = settings(max_examples=60, stateful_step_count=40)
