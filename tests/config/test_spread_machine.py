"""Any order, loss, doubling and delay ends on one bundle everywhere."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle as Names,
)
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from crowrudder_core.config import ConfigBook, ConfigOrder, Offer
from crowrudder_model.declared import (
    apply_delta,
    delta_between,
)
from support.bundles import digest_in, payload

HOSTS = 5
hosts = st.integers(0, HOSTS - 1)


class Spread(RuleBasedStateMachine):
    """A fleet of books, a platform that may be stale, and messages."""

    published = Names('published')

    def __init__(self) -> None:
        super().__init__()
        self.values: list[bytes] = []
        self.books = [ConfigBook(is_open=True) for _ in range(HOSTS)]
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
        """Operators publish, also at once and also an older generation."""
        parent = digest_in(self.values[-1]) if self.values and follows else ''
        value = payload(generation, parent=parent, rate=rate)
        self.values.append(value)
        return len(self.values) - 1

    @rule(host=hosts, revision=published)
    def read_platform(self, host: int, revision: int) -> None:
        """Read any revision: fresh, stale, or after a rebuild."""
        self.give(host, self.values[revision], revision)

    @rule(host=hosts, noise=st.binary(max_size=8), revision=published)
    def read_garbage(self, host: int, noise: bytes, revision: int) -> None:
        half = self.values[revision][:-1]
        self.give(host, noise, revision)
        self.give(host, half, revision)

    @rule(sender=hosts, receiver=hosts)
    def send(self, sender: int, receiver: int) -> None:
        """Put what a host has on its way, as a change where it can."""
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

    @rule(place=st.integers(0, 99), doubled=st.booleans())
    def deliver(self, place: int, *, doubled: bool) -> None:
        """Deliver any message, not only the oldest; keep it if doubled."""
        if not self.in_flight:
            return
        index = place % len(self.in_flight)
        receiver, offer = self.in_flight[index]
        if not doubled:
            del self.in_flight[index]
        self.books[receiver].offer(offer, now=0)

    @rule(place=st.integers(0, 99))
    def lose(self, place: int) -> None:
        if self.in_flight:
            del self.in_flight[place % len(self.in_flight)]

    @rule(host=hosts, peer=hosts, revision=published)
    def replace(self, host: int, peer: int, revision: int) -> None:
        """Start a fresh process: it reads a stale platform, asks one peer."""
        known = ConfigOrder() if peer == host else self.books[peer].order
        asked = self.books[peer].payload
        self.books[host] = ConfigBook()
        self.highest[host] = ConfigOrder()
        self.give(host, self.values[revision], revision)
        if peer != host and asked:
            self.give(host, asked, revision)
        assert self.books[host].bundle is None
        self.books[host].open(now=0)
        assert self.books[host].order >= known

    @invariant()
    def never_goes_back(self) -> None:
        for host, book in enumerate(self.books):
            assert book.order >= self.highest[host]
            self.highest[host] = book.order
            self.best = max(self.best, book.order)

    def teardown(self) -> None:
        """Let everyone exchange once round, twice: all end on the newest."""
        held = max((book.order for book in self.books), default=ConfigOrder())
        for sender in (*range(HOSTS), *range(HOSTS)):
            for receiver in range(HOSTS):
                if self.books[sender].payload:
                    self.give(receiver, self.books[sender].payload, 0)
        assert {book.order for book in self.books} == {held}

    def give(self, host: int, value: bytes, revision: int) -> None:
        offer = Offer(payload=value, revision=revision, teller='platform')
        self.books[host].offer(offer, now=0)


TestSpread = Spread.TestCase
TestSpread.settings = settings(max_examples=60, stateful_step_count=40)
