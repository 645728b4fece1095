"""Questions for what is held, beside the words that agents send unasked."""

from __future__ import annotations

from random import Random

import pytest
from attrs import evolve

from crowrudder_core.transfer import PeerBook, Place, Stock, pace_for
from crowrudder_daemon.fleet_agent._library import NEIGHBOURS, NEWS_S, PACE

SIZE_OF_A_VERSION = {
    'size': 2_000_000,
    'chunk_bytes': 32_768,
    'link_bytes_per_s': 475_000,
}
SECONDS = 10.0
TICK_S = 0.02
MOST_PER_S = 12.0
"""Questions of one agent that cost it a hundredth of a core at a
millisecond each, on both sides together."""


def places_of(size):
    return {
        f'10.{each // 250}.0.{each % 250}': Place(
            f'r{each % 2}', f'd{each % 6}'
        )
        for each in range(size)
    }


def questions_per_s(size, *, silent=0):
    """Run one agent beside others that tell `NEIGHBOURS` each `NEWS_S`.

    Of the hosts that it reads from, `silent` ones tell and answer nothing.
    """
    random = Random(size)
    places = places_of(size)
    own = next(iter(places))
    pace = evolve(pace_for(**SIZE_OF_A_VERSION), **PACE)
    book = PeerBook(own, places[own], pace)
    book.on_hosts(places)
    mute = set(book.neighbours()[:silent])
    others = [host for host in places if host != own and host not in mute]
    heard_each_tick = NEIGHBOURS * TICK_S / NEWS_S
    asked, now, heard = 0, 0.0, 0.0
    while now < SECONDS:
        now += TICK_S
        heard += heard_each_tick
        while heard >= 1:
            heard -= 1
            book.on_stock(Stock(host=random.choice(others)), now)
        for host in book.to_ask((), now):
            asked += 1
            if host in mute:
                book.on_silence(host, now)
            else:
                book.on_stock(Stock(host=host), now)
    return asked / SECONDS


class TestQuestionsForWhatIsHeld:
    """Agents spent more time on asking each other than on chunks.

    Guards against questions to hosts that tell the same unasked.
    """

    @pytest.mark.parametrize('size', [30, 300, 2140])
    def test_they_are_bounded_at_any_size(self, size):
        assert questions_per_s(size) <= MOST_PER_S

    def test_they_are_few_where_words_come(self):
        assert questions_per_s(52) <= MOST_PER_S / 2

    def test_silent_hosts_are_asked_on(self):
        assert questions_per_s(30, silent=3) > 0
