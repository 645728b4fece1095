"""Convergence of the views under reordered, lost, duplicated and late statuses."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crowrudder_core.membership import MembershipView, OwnStatus
from crowrudder_model.messages import ProcessStatus
from support.bundles import fleet

HOSTS = 4
hosts = st.integers(0, HOSTS - 1)


class News(RuleBasedStateMachine):
    """Processes that leave, restart with a wrong clock and suspect others."""

    def __init__(self) -> None:
        super().__init__()
        self.listed = fleet(HOSTS)
        self.incarnations = 0
        self.views = [self.start(host, beat=0) for host in range(HOSTS)]
        self.in_flight: list[tuple[int, ProcessStatus]] = []
        self.last_beats = [0] * HOSTS

    def start(self, host: int, *, beat: int) -> MembershipView:
        self.incarnations += 1
        member = self.listed[host]
        own_status = OwnStatus(
            member.host, f'life-{self.incarnations}', member.rpc_address, beat
        )
        view = MembershipView(own_status)
        view.published.on_platform(self.listed, 1, 0)
        view.on_list()
        return view

    @rule(host=hosts, beat=st.integers(0, 30))
    def replace(self, host: int, beat: int) -> None:
        """Start a new incarnation whose clock may be behind the last one's."""
        self.views[host] = self.start(host, beat=beat)
        self.last_beats[host] = 0

    @rule(host=hosts)
    def leave(self, host: int) -> None:
        self.views[host].own.leave()

    @rule(host=hosts, peer=hosts)
    def fail_calls(self, host: int, peer: int) -> None:
        if host != peer:
            for _ in range(2):
                self.views[host].on_call_failed(self.listed[peer].host)

    @rule(sender=hosts, receiver=hosts)
    def send(self, sender: int, receiver: int) -> None:
        view = self.views[sender]
        sent = view.updates_for(self.listed[receiver].host)
        self.in_flight.extend((receiver, news) for news in sent)
        self.in_flight.append((receiver, view.own.news))

    @rule(position=st.integers(0, 99), duplicated=st.booleans())
    def deliver(self, position: int, *, duplicated: bool) -> None:
        if not self.in_flight:
            return
        index = position % len(self.in_flight)
        receiver, news = self.in_flight[index]
        if not duplicated:
            del self.in_flight[index]
        self.views[receiver].on_update(news)

    @invariant()
    def own_beat_never_decreases(self) -> None:
        for host, view in enumerate(self.views):
            assert view.own.beat >= self.last_beats[host]
            self.last_beats[host] = view.own.beat

    def teardown(self) -> None:
        """Exchange statuses between all hosts several times; all views agree."""
        for _ in range(4):
            for sender in range(HOSTS):
                for receiver in range(HOSTS):
                    self.exchange(sender, receiver)
        expected = {
            member.host: view.own.state
            for member, view in zip(self.listed, self.views, strict=True)
        }
        for view in self.views:
            assert not view.suspects()
            seen = {each.host: each.state for each in view.members()}
            assert seen == expected

    def exchange(self, sender: int, receiver: int) -> None:
        view, peer = self.views[sender], self.views[receiver]
        if view is peer:
            return
        for news in (
            *view.updates_for(self.listed[receiver].host),
            view.own.news,
        ):
            peer.on_update(news)


TestNews = News.TestCase
TestNews.settings = settings(max_examples=80, stateful_step_count=40)
