"""Which bundle is in force: one order, whatever arrives and when."""

from __future__ import annotations

import pytest

from crowrudder_core.config import (
    Accepted,
    ConfigBook,
    Held,
    Ignored,
    Lost,
    Offer,
    Refused,
)
from support.bundles import digest_in, payload


def offer(value: bytes, revision: int = 1, teller: str = 'platform') -> Offer:
    return Offer(payload=value, revision=revision, teller=teller)


def opened(*values: bytes) -> ConfigBook:
    book = ConfigBook(is_open=True)
    for value in values:
        book.offer(offer(value), now=1)
    return book


def _by_digest(*values: bytes) -> list[bytes]:
    return sorted(values, key=digest_in)


class TestOrder:
    def test_newer_comes_into_force_and_older_never_again(self) -> None:
        book = opened(payload(1), payload(2), payload(1))
        assert book.order == (2, digest_in(payload(2)))

    def test_doubled_is_ignored(self) -> None:
        book = opened(payload(1))
        assert book.offer(offer(payload(1), 9), now=2) == Ignored()
        assert book.in_force_since == 1

    def test_rebuilt_platform_that_counts_anew_brings_nothing_back(
        self,
    ) -> None:
        """Symptom: a bundle that had lost comes back into force.

        Two bundles of one generation race and one wins at revision 900. The
        platform is rebuilt and has the winner as revision 1; hosts are
        replaced and take it. A process that was frozen since revision 500
        wakes up with the loser: by revisions it would win.
        """
        low, high = _by_digest(payload(5, rate=1), payload(5, rate=2))
        replaced = ConfigBook(is_open=True)
        replaced.offer(offer(high, 1), now=1)
        replaced.offer(offer(low, 500, 'woken'), now=2)
        assert replaced.order.digest == digest_in(high)


class TestBadValues:
    @pytest.mark.parametrize(
        'value',
        [
            b'',
            b'\xff\x80',
            b'{}',
            payload(7)[: len(payload(7)) // 2],
            payload(7).replace(b'portal', b'portel'),
            b' ' * 1_000_001,
        ],
        ids=['empty', 'garbage', 'foreign', 'half', 'changed', 'large'],
    )
    def test_refused_whole_and_told_once(self, value: bytes) -> None:
        book = opened(payload(6))
        before = book.order
        verdict = book.offer(offer(value), now=2)
        assert isinstance(verdict, Refused)
        assert book.offer(offer(value, 2), now=3) == Ignored()
        assert book.order == before
        book.offer(offer(payload(7)), now=4)
        assert book.refused is None


class TestRaces:
    def test_of_one_generation_the_loser_is_named_on_every_host(self) -> None:
        low, high = _by_digest(payload(2, rate=1), payload(2, rate=2))
        one, other = opened(low, high), opened(high, low)
        assert one.order == other.order
        assert one.lost == other.lost
        assert one.lost is not None
        assert one.lost.digest == digest_in(low)
        assert one.lost.winner == digest_in(high)

    def test_loser_is_told_once_though_the_platform_keeps_it(self) -> None:
        """The audit trail filled with one line for each read."""
        low, high = _by_digest(payload(2, rate=1), payload(2, rate=2))
        book = opened(high)
        assert isinstance(book.offer(offer(low), now=2), Lost)
        assert book.offer(offer(low, 2), now=3) == Ignored()

    def test_next_generation_made_from_an_older_state_names_the_loser(
        self,
    ) -> None:
        """Both read generation 1; one publishes 2, the other skips to 3."""
        first = payload(1)
        second = payload(2, parent=digest_in(first))
        third = payload(3, parent=digest_in(first), rate=2)
        book = opened(first, second, third)
        assert book.lost is not None
        assert book.lost.digest == digest_in(second)

    def test_lawful_successor_names_none(self) -> None:
        first = payload(1)
        second = payload(2, parent=digest_in(first))
        assert opened(first, second).lost is None

    def test_missed_generation_is_no_race(self) -> None:
        first = payload(1)
        third = payload(3, parent='a' * 64)
        assert opened(first, third).lost is None


class TestStart:
    def test_fresh_process_beside_a_stale_platform(self) -> None:
        """Symptom: a replaced host serves by withdrawn rules for a while.

        The platform is stale and shows generation 1; the peers have 2. The
        new process read the platform first and put 1 in force at once.
        """
        book = ConfigBook()
        assert book.offer(offer(payload(1)), now=1) == Held()
        assert book.offer(offer(payload(2), 2, 'peer'), now=2) == Held()
        assert book.bundle is None
        verdicts = book.open(now=3)
        assert isinstance(verdicts[0], Accepted)
        assert verdicts[0].before == (0, '')
        assert book.order.generation == 2

    def test_garbage_is_refused_before_it_is_held(self) -> None:
        book = ConfigBook()
        assert isinstance(book.offer(offer(b'?'), now=1), Refused)
        assert not book.open(now=2)

    def test_opens_with_nothing_and_takes_what_comes(self) -> None:
        book = ConfigBook()
        book.open(now=1)
        assert isinstance(book.offer(offer(payload(1)), now=2), Accepted)
