"""A process's own status against reports of others."""

from __future__ import annotations

from crowrudder_core.membership import MembershipView, OwnStatus
from crowrudder_model.messages import ProcessStatus
from support.bundles import fleet

HOST = 'host-0000'
HERE = '127.0.0.1:1'


def own_status(
    *, incarnation_id: str, beat: int, address: str = HERE
) -> OwnStatus:
    return OwnStatus(
        host=HOST, incarnation=incarnation_id, address=address, beat=beat
    )


def view_of(status: OwnStatus) -> MembershipView:
    view = MembershipView(status)
    view.published.on_platform(fleet(3), 1, 0)
    view.on_list()
    return view


def state_of(view: MembershipView, host: str) -> str:
    (member,) = (each for each in view.members() if each.host == host)
    return member.state


class TestRejoining:
    """A host that left rejoins as a new incarnation.

    Guards against a replaced host that never gets work. It leaves and reports
    `leaving`; the next incarnation reports `live`; a peer forwards the old
    `leaving`. The status of any other incarnation was considered newer, so
    that old and new status replaced each other in the order of arrival.
    """

    def test_leaving_of_an_earlier_incarnation_does_not_persist(self) -> None:
        first = own_status(incarnation_id='a', beat=100)
        first.leave()
        peer = view_of(OwnStatus('host-0001', 'p', HERE, 1))
        peer.on_update(first.news)
        assert state_of(peer, HOST) == 'leaving'
        second = own_status(incarnation_id='b', beat=200)
        peer.on_update(second.news)
        peer.on_update(first.news)
        assert state_of(peer, HOST) == 'live'

    def test_clock_behind_the_earlier_incarnation(self) -> None:
        """The new host's clock is behind: it exceeds the received number."""
        first = own_status(incarnation_id='a', beat=100)
        first.leave()
        peer = view_of(OwnStatus('host-0001', 'p', HERE, 1))
        peer.on_update(first.news)
        second = view_of(own_status(incarnation_id='b', beat=50))
        peer.on_update(second.own.news)
        assert state_of(peer, HOST) == 'leaving'
        (sent,) = peer.updates_for(HOST)
        second.on_update(sent)
        peer.on_update(second.own.news)
        assert state_of(peer, HOST) == 'live'


class TestPaused:
    """A process is paused, and its host is assigned to a successor elsewhere.

    Guards against peers that send work to both in turn after it resumes: both
    reported `live`, and the old status was as valid as the new one.
    """

    def test_resumed_process_yields_once_it_has_the_new_list(self) -> None:
        old = view_of(own_status(incarnation_id='a', beat=100))
        new = own_status(incarnation_id='b', beat=200, address='127.0.0.9:1')
        # Its own list still names it, so it exceeds the sequence number.
        old.on_update(new.news)
        assert old.own.news.state == 'live'
        assert old.own.beat > new.beat
        new.on_address_listed(new.address)
        new.on_status_received(old.own.news)
        assert new.state == 'live'
        # The next hello message carries the list and the higher number.
        old.own.on_address_listed(new.address)
        old.on_update(new.news)
        assert old.own.has_yielded
        assert old.own.state == 'leaving'
        assert old.own.beat < new.beat

    def test_outdated_list_delays_the_new_incarnation_only(self) -> None:
        new = own_status(incarnation_id='b', beat=200, address='127.0.0.9:1')
        new.on_address_listed(HERE)
        rival = ProcessStatus(host=HOST, incarnation='a', beat=300)
        new.on_status_received(rival)
        assert new.has_yielded
        new.on_address_listed(new.address)
        assert new.state == 'live'
        assert new.beat > rival.beat


class TestSuspicion:
    def test_consecutive_failed_calls_raise_a_suspicion(self) -> None:
        view = view_of(OwnStatus('host-0001', 'p', HERE, 1))
        view.on_call_failed(HOST)
        view.on_call_answered(HOST)
        view.on_call_failed(HOST)
        assert not view.suspects()
        view.on_call_failed(HOST)
        assert view.suspects() == {HOST}
        assert state_of(view, HOST) == 'live'

    def test_live_host_refutes_a_suspicion(self) -> None:
        """The peer receives the suspicion, and its next status ends it."""
        status = own_status(incarnation_id='a', beat=100)
        view = view_of(OwnStatus('host-0001', 'p', HERE, 1))
        view.on_update(status.news)
        for _ in range(2):
            view.on_call_failed(HOST)
        # Its previous status changes nothing: it hasn't got the suspicion yet.
        view.on_update(status.news)
        assert view.suspects() == {HOST}
        (sent,) = view.updates_for(HOST)
        status.on_status_received(sent)
        view.on_update(status.news)
        assert not view.suspects()

    def test_leaving_overrides_a_suspicion(self) -> None:
        status = own_status(incarnation_id='a', beat=100)
        view = view_of(OwnStatus('host-0001', 'p', HERE, 1))
        view.on_update(status.news)
        status.leave()
        for _ in range(2):
            view.on_call_failed(HOST)
        view.on_update(status.news)
        assert state_of(view, HOST) == 'leaving'
        assert not view.suspects()


class TestList:
    def test_leaving_status_applies_before_the_list_changes(self) -> None:
        view = view_of(OwnStatus('host-0001', 'p', HERE, 1))
        status = own_status(incarnation_id='a', beat=100)
        status.leave()
        view.on_update(status.news)
        assert state_of(view, HOST) == 'leaving'

    def test_unlisted_host_is_not_a_member(self) -> None:
        view = view_of(OwnStatus('host-0001', 'p', HERE, 1))
        view.on_update(ProcessStatus(host='stranger', incarnation='s', beat=9))
        assert len(view.members()) == 3


class TestForwarding:
    def test_sent_statuses_are_bounded(self) -> None:
        """A leaving domain causes hundreds of statuses at once."""
        view = view_of(OwnStatus('host-0001', 'p', HERE, 1))
        for number in range(400):
            view.on_update(
                ProcessStatus(
                    host=f'other-{number}',
                    incarnation='x',
                    beat=1,
                    state='leaving',
                )
            )
        sent = 0
        while news := view.updates_for('host-0002'):
            assert len(news) <= 8
            sent += len(news)
        assert sent == 400 * 30
