"""A process's own word against what is said of it."""

from __future__ import annotations

from crowrudder_core.membership import MembershipView, OwnWord
from crowrudder_model.messages import ProcessNews
from support.bundles import fleet

HOST = 'host-0000'
HERE = '127.0.0.1:1'


def own(*, life: str, beat: int, address: str = HERE) -> OwnWord:
    return OwnWord(host=HOST, incarnation=life, address=address, beat=beat)


def view(word: OwnWord) -> MembershipView:
    found = MembershipView(word)
    found.published.on_platform(fleet(3), 1, 0)
    found.on_list()
    return found


def state_of(seen: MembershipView, host: str) -> str:
    (found,) = (each for each in seen.members() if each.host == host)
    return found.state


class TestRejoining:
    """A host that left comes back as a new incarnation.

    Symptom: a replaced host gets no work for ever. Sequence: it leaves and
    says so; the next life says `live`; a peer passes on the old `leaving`.
    Cause: any other incarnation's word was taken for newer, so that old and
    new word replaced each other in the order of arrival.
    """

    def test_leaving_of_an_earlier_life_does_not_stick(self) -> None:
        first = own(life='a', beat=100)
        first.leave()
        peer = view(OwnWord('host-0001', 'p', HERE, 1))
        peer.on_news(first.news)
        assert state_of(peer, HOST) == 'leaving'
        second = own(life='b', beat=200)
        peer.on_news(second.news)
        peer.on_news(first.news)
        assert state_of(peer, HOST) == 'live'

    def test_clock_behind_the_earlier_life(self) -> None:
        """The new host's clock is behind: it hears of itself and outbids."""
        first = own(life='a', beat=100)
        first.leave()
        peer = view(OwnWord('host-0001', 'p', HERE, 1))
        peer.on_news(first.news)
        second = view(own(life='b', beat=50))
        peer.on_news(second.own.news)
        assert state_of(peer, HOST) == 'leaving'
        (told,) = peer.to_tell(HOST)
        second.on_news(told)
        peer.on_news(second.own.news)
        assert state_of(peer, HOST) == 'live'


class TestFrozen:
    """A process is frozen, its host is given to a successor elsewhere.

    Symptom: after it woke up, peers sent work to either in turn. Cause: both
    said `live`, and the word of the old one was as good as the new one's.
    """

    def test_woken_process_gives_way_once_it_sees_the_new_list(self) -> None:
        old = view(own(life='a', beat=100))
        new = own(life='b', beat=200, address='127.0.0.9:1')
        # It believes the past: outbids, as its own list still names it.
        old.on_news(new.news)
        assert old.own.news.state == 'live'
        assert old.own.beat > new.beat
        new.on_listed(new.address)
        new.on_heard(old.own.news)
        assert new.state == 'live'
        # The next greeting brings the list, and the outbid word.
        old.own.on_listed(new.address)
        old.on_news(new.news)
        assert old.own.gives_way
        assert old.own.state == 'leaving'
        assert old.own.beat < new.beat

    def test_list_that_lags_puts_off_but_does_not_unseat(self) -> None:
        new = own(life='b', beat=200, address='127.0.0.9:1')
        new.on_listed(HERE)
        rival = ProcessNews(host=HOST, incarnation='a', beat=300)
        new.on_heard(rival)
        assert new.gives_way
        new.on_listed(new.address)
        assert new.state == 'live'
        assert new.beat > rival.beat


class TestSuspicion:
    def test_failed_calls_in_a_row_are_one(self) -> None:
        seen = view(OwnWord('host-0001', 'p', HERE, 1))
        seen.on_call_failed(HOST)
        seen.on_call_answered(HOST)
        seen.on_call_failed(HOST)
        assert not seen.suspects()
        seen.on_call_failed(HOST)
        assert seen.suspects() == {HOST}
        assert state_of(seen, HOST) == 'live'

    def test_host_that_lives_refutes_it(self) -> None:
        """The peer hears what is said of it, and its next word ends it."""
        word = own(life='a', beat=100)
        seen = view(OwnWord('host-0001', 'p', HERE, 1))
        seen.on_news(word.news)
        for _ in range(2):
            seen.on_call_failed(HOST)
        # Its word as it was changes nothing: it hasn't heard yet.
        seen.on_news(word.news)
        assert seen.suspects() == {HOST}
        (told,) = seen.to_tell(HOST)
        word.on_heard(told)
        seen.on_news(word.news)
        assert not seen.suspects()

    def test_leaving_goes_before_a_suspicion(self) -> None:
        word = own(life='a', beat=100)
        seen = view(OwnWord('host-0001', 'p', HERE, 1))
        seen.on_news(word.news)
        word.leave()
        for _ in range(2):
            seen.on_call_failed(HOST)
        seen.on_news(word.news)
        assert state_of(seen, HOST) == 'leaving'
        assert not seen.suspects()


class TestList:
    def test_list_and_word_lag_and_either_can_say_leaving(self) -> None:
        seen = view(OwnWord('host-0001', 'p', HERE, 1))
        word = own(life='a', beat=100)
        word.leave()
        seen.on_news(word.news)
        assert state_of(seen, HOST) == 'leaving'

    def test_host_that_is_not_listed_is_no_member(self) -> None:
        seen = view(OwnWord('host-0001', 'p', HERE, 1))
        seen.on_news(ProcessNews(host='stranger', incarnation='s', beat=9))
        assert len(seen.members()) == 3


class TestTelling:
    def test_bounded_whatever_happens(self) -> None:
        """A domain that leaves brings hundreds of words at once."""
        seen = view(OwnWord('host-0001', 'p', HERE, 1))
        for number in range(400):
            seen.on_news(
                ProcessNews(
                    host=f'other-{number}',
                    incarnation='x',
                    beat=1,
                    state='leaving',
                )
            )
        told = 0
        while news := seen.to_tell('host-0002'):
            assert len(news) <= 8
            told += len(news)
        assert told == 400 * 30
