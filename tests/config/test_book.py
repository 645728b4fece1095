"""Which bundle is in force: one total order for any order of arrival."""

from __future__ import annotations

import pytest

from crowrudder_core.config import (
    Accepted,
    ActiveConfig,
    Held,
    Ignored,
    Lost,
    Offer,
    Refused,
)
from support.bundles import digest_in, payload


def offer(value: bytes, revision: int = 1, teller: str = 'platform') -> Offer:
    return Offer(payload=value, revision=revision, teller=teller)


def open_config(*values: bytes) -> ActiveConfig:
    active_config = ActiveConfig(is_open=True)
    for value in values:
        active_config.offer(offer(value), now=1)
    return active_config


def sorted_by_digest(*values: bytes) -> list[bytes]:
    return sorted(values, key=digest_in)


class TestOrder:
    def test_newer_bundle_replaces_older_and_never_reverts(self) -> None:
        active_config = open_config(payload(1), payload(2), payload(1))
        assert active_config.order == (2, digest_in(payload(2)))

    def test_duplicate_is_ignored(self) -> None:
        active_config = open_config(payload(1))
        assert active_config.offer(offer(payload(1), 9), now=2) == Ignored()
        assert active_config.in_force_since == 1

    def test_rebuilt_platform_with_reset_revisions_causes_no_revert(
        self,
    ) -> None:
        """A losing bundle must not come back into force.

        Two bundles of one generation are published concurrently and one wins
        at revision 900. The platform is rebuilt and has the winner as revision
        1; hosts are replaced and accept it. A process that was paused since
        revision 500 resumes with the loser, which would win by revision.
        """
        low, high = sorted_by_digest(payload(5, rate=1), payload(5, rate=2))
        replaced = ActiveConfig(is_open=True)
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
    def test_invalid_bundle_is_refused_and_reported_once(
        self, value: bytes
    ) -> None:
        active_config = open_config(payload(6))
        before = active_config.order
        verdict = active_config.offer(offer(value), now=2)
        assert isinstance(verdict, Refused)
        assert active_config.offer(offer(value, 2), now=3) == Ignored()
        assert active_config.order == before
        active_config.offer(offer(payload(7)), now=4)
        assert active_config.refused is None


class TestRaces:
    def test_loser_of_one_generation_is_the_same_on_every_host(self) -> None:
        low, high = sorted_by_digest(payload(2, rate=1), payload(2, rate=2))
        first_host, other = open_config(low, high), open_config(high, low)
        assert first_host.order == other.order
        assert first_host.lost == other.lost
        assert first_host.lost is not None
        assert first_host.lost.digest == digest_in(low)
        assert first_host.lost.winner == digest_in(high)

    def test_loser_is_reported_once_though_the_platform_keeps_it(self) -> None:
        """Otherwise the audit log gets an entry for each read."""
        low, high = sorted_by_digest(payload(2, rate=1), payload(2, rate=2))
        active_config = open_config(high)
        assert isinstance(active_config.offer(offer(low), now=2), Lost)
        assert active_config.offer(offer(low, 2), now=3) == Ignored()

    def test_successor_of_an_older_state_reports_the_loser(
        self,
    ) -> None:
        """Both read generation 1; one publishes 2, the other skips to 3."""
        first = payload(1)
        second = payload(2, parent=digest_in(first))
        third = payload(3, parent=digest_in(first), rate=2)
        active_config = open_config(first, second, third)
        assert active_config.lost is not None
        assert active_config.lost.digest == digest_in(second)

    def test_direct_successor_reports_no_loser(self) -> None:
        first = payload(1)
        second = payload(2, parent=digest_in(first))
        assert open_config(first, second).lost is None

    def test_missed_generation_reports_no_loser(self) -> None:
        first = payload(1)
        third = payload(3, parent='a' * 64)
        assert open_config(first, third).lost is None


class TestStart:
    def test_new_process_with_a_stale_platform(self) -> None:
        """A replaced host must not serve by withdrawn rules.

        The platform is stale and returns generation 1; the peers have 2. A new
        process that reads the platform first must not put 1 in force.
        """
        active_config = ActiveConfig()
        assert active_config.offer(offer(payload(1)), now=1) == Held()
        assert (
            active_config.offer(offer(payload(2), 2, 'peer'), now=2) == Held()
        )
        assert active_config.bundle is None
        verdicts = active_config.open(now=3)
        assert isinstance(verdicts[0], Accepted)
        assert verdicts[0].before == (0, '')
        assert active_config.order.generation == 2

    def test_invalid_bundle_is_refused_before_it_is_held(self) -> None:
        active_config = ActiveConfig()
        assert isinstance(active_config.offer(offer(b'?'), now=1), Refused)
        assert not active_config.open(now=2)

    def test_accepts_offers_after_opening_without_any(self) -> None:
        active_config = ActiveConfig()
        active_config.open(now=1)
        assert isinstance(
            active_config.offer(offer(payload(1)), now=2), Accepted
        )
