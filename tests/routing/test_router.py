"""The choice of an agent from lagging reports."""

from __future__ import annotations

import random
from collections import Counter

from attrs import evolve

from crowrudder_core.routing import Need, Router, covered
from crowrudder_model.messages import CapacityReply, Report

NEED = Need(service='s')


def make_report(host: str, **more: object) -> Report:
    values = {
        'incarnation': f'{host}-1',
        'service': 's',
        'version': 'v1',
        'adapters': (),
        'running': 0,
        'queued': 0,
        'slots': 8,
        'service_s': 1.0,
        'leaving': False,
        'generation': 1,
        'digest': 'd',
        'pace_s': 0.02,
        **more,
    }
    return Report(host=host, **values)  # type: ignore[arg-type]


def make_router(*reports: Report, affinity: bool = True) -> Router:
    router = Router(random.Random(1), affinity=affinity)
    for each in reports:
        router.on_report(each, now=0.0)
    router.on_started()
    return router


def choose_host(router: Router, need: Need = NEED, *, now: float = 0.0) -> str:
    choice = router.choose(need, now=now)
    assert choice is not None
    return choice.host


class TestKnowledge:
    """State from lagging reports and from the entry's own sends."""

    def test_own_attempts_count_immediately(self):
        """Own sends must count although a later-arriving report omits them.

        A report of a second ago says 0, the entry sends 8 attempts, and
        another old report arrives and says 0 again. If that report counted as
        newer than the entry's own sends, the entry would send a burst to the
        agent that used to be empty.
        """
        router = make_router(make_report('a'), make_report('b', running=4))
        for _ in range(8):
            router.on_sent('a', 'a-1')
        router.on_report(make_report('a'), now=1.0)
        assert router.agents['a'].load == 8
        assert choose_host(router, now=1.0) == 'b'

    def test_own_attempts_in_a_report_are_counted_once(self):
        router = make_router(make_report('a', running=5, yours=3))
        for _ in range(3):
            router.on_sent('a', 'a-1')
        assert router.agents['a'].load == 5

    def test_end_in_an_earlier_incarnation_is_ignored(self):
        router = make_router(make_report('a'))
        router.on_sent('a', 'a-1')
        router.on_report(make_report('a', incarnation='a-2'), now=1.0)
        router.on_sent('a', 'a-2')
        router.on_ended('a', 'a-1')
        assert router.agents['a'].outstanding == 1

    def test_disconnected_report_stream_keeps_outstanding_attempts(self):
        router = make_router(make_report('a'))
        router.on_sent('a', 'a-1')
        router.on_agent_gone('a')
        assert router.choose(NEED, now=0.0) is None
        router.on_report(make_report('a'), now=1.0)
        assert router.agents['a'].outstanding == 1


class TestHealth:
    """Agents that are slow, silent, new or leaving."""

    def test_slow_agent_is_chosen_only_when_others_are_full(self):
        slow = make_report('slow', pace_s=0.06)
        router = make_router(
            slow, make_report('a'), make_report('b'), affinity=False
        )
        choice_counts = Counter(choose_host(router) for _ in range(300))
        assert not choice_counts['slow']

    def test_stalled_upstream_is_not_chosen(self):
        """An engine that accepts work and writes nothing must be avoided.

        As nothing ends there, its agent would look less loaded than the
        others, and a third of the requests would end at their deadline.
        """
        stalled = make_report('dead', silent_s=9.0)
        router = make_router(stalled, make_report('a'), make_report('b'))
        choice_counts = Counter(
            choose_host(router, Need(service='s', prefix=f'p{number}'))
            for number in range(300)
        )
        assert not choice_counts['dead']

    def test_upstream_that_fails_immediately_is_not_chosen(self):
        """An engine whose runs fail immediately must be avoided.

        It returns crossed answers, so each run there fails immediately and it
        always has free slots. The entry would send there until the retry
        budget is spent, and a tenth of the idempotent requests would fail.
        """
        router = make_router(
            make_report('bad'), make_report('a'), make_report('b')
        )
        for _ in range(3):
            router.on_outcome('bad', failed=True, now=0.0)
        needs = [Need(service='s', prefix=f'p{n}') for n in range(300)]
        choice_counts = Counter(
            choose_host(router, need, now=0.5) for need in needs
        )
        assert not choice_counts['bad']
        later = Counter(choose_host(router, need, now=60.0) for need in needs)
        assert later['bad']

    def test_capacity_reply_of_a_failing_agent_counts_less(self):
        router = make_router(make_report('bad'), make_report('a', running=7))
        router.on_outcome('bad', failed=True, now=0.0)
        replies = {
            'bad': CapacityReply(wait_s=0.0, filled=0.0),
            'a': CapacityReply(wait_s=0.5, filled=0.9),
        }
        choice = router.choose_by_capacity(NEED, replies, first='', now=0.1)
        assert choice is not None
        assert choice.host == 'a'

    def test_new_agent_gets_slow_start(self):
        router = make_router(make_report('a'), make_report('b'), affinity=False)
        router.on_report(make_report('new'), now=10.0)
        early = Counter(choose_host(router, now=10.0) for _ in range(300))
        later = Counter(choose_host(router, now=30.0) for _ in range(300))
        assert early['new'] < later['new'] / 3

    def test_leaving_failed_and_other_version_agents_are_no_candidates(self):
        router = make_router(
            make_report('leaving', leaving=True),
            make_report('failed'),
            make_report('old', version='v0'),
            make_report('empty', version=''),
            make_report('good'),
        )
        router.on_failed('failed', until=5.0)
        need = evolve(NEED, version='v1')
        assert router.candidates(need, now=1.0) == ['good']
        assert router.obstacles(need, now=1.0) == {
            'empty': 'has nothing loaded',
            'failed': 'failed a call just now',
            'good': '',
            'leaving': 'is leaving',
            'old': 'has another version',
        }
        assert 'failed' in router.candidates(need, now=6.0)


class TestAffinity:
    """Prompts with the same prefix go to the same agent."""

    def test_prefix_keeps_its_agent_until_it_is_too_full(self):
        router = make_router(
            *(make_report(f'h{number}') for number in range(8))
        )
        need = Need(service='s', prefix='breed')
        first = choose_host(router, need)
        assert {choose_host(router, need) for _ in range(20)} == {first}
        for _ in range(8):
            router.on_sent(first, f'{first}-1')
        assert choose_host(router, need) != first

    def test_entries_agree_without_communication(self):
        hosts = [make_report(f'h{number}') for number in range(8)]
        one, other = make_router(*hosts), make_router(*reversed(hosts))
        for number in range(50):
            need = Need(service='s', prefix=f'p{number}')
            assert choose_host(one, need) == choose_host(other, need)


class TestCapacityReplies:
    """Choice from capacity replies requested at the time of the choice."""

    def test_free_slot_is_preferred_over_the_affinity_host(self):
        router = make_router(make_report('a'), make_report('b'))
        replies = {
            'a': CapacityReply(wait_s=0.7, filled=1.5),
            'b': CapacityReply(wait_s=0.0, filled=0.5),
        }
        choice = router.choose_by_capacity(NEED, replies, first='a', now=0.0)
        assert choice is not None
        assert choice.host == 'b'

    def test_affinity_host_is_kept_while_it_has_a_free_slot(self):
        router = make_router(make_report('a'), make_report('b'))
        replies = {
            'a': CapacityReply(wait_s=0.0, filled=0.6),
            'b': CapacityReply(wait_s=0.0, filled=0.5),
        }
        choice = router.choose_by_capacity(NEED, replies, first='a', now=0.0)
        assert choice is not None
        assert choice.host == 'a'

    def test_agent_that_accepts_no_work_is_not_chosen(self):
        router = make_router(make_report('a'))
        replies = {'a': CapacityReply(wait_s=-1.0)}
        assert (
            router.choose_by_capacity(NEED, replies, first='a', now=0.0) is None
        )


class TestSubset:
    """The agents that each entry links to."""

    ENTRIES = tuple(f'entry-{number}' for number in range(8))
    AGENTS = tuple(f'agent-{number}' for number in range(650))

    def known(self, entries: tuple[str, ...]) -> dict[str, frozenset[str]]:
        return {
            entry: covered(entry, entries, self.AGENTS) for entry in entries
        }

    def test_agents_are_spread_evenly_over_entries(self):
        known = self.known(self.ENTRIES)
        entries_per_agent = Counter(
            host for hosts in known.values() for host in hosts
        )
        assert set(entries_per_agent.values()) == {3}
        sizes = [len(hosts) for hosts in known.values()]
        mean = sum(sizes) / len(sizes)
        assert max(sizes) < 1.2 * mean
        assert min(sizes) > 0.8 * mean

    def test_every_entry_knows_each_failure_domain(self):
        for hosts in self.known(self.ENTRIES).values():
            domains = Counter(int(host[6:]) % 6 for host in hosts)
            assert len(domains) == 6
            assert min(domains.values()) > 20

    def test_leaving_entry_moves_only_its_own_links(self):
        before = self.known(self.ENTRIES)
        after = self.known(self.ENTRIES[:-1])
        for entry, hosts in after.items():
            assert before[entry] <= hosts

    def test_a_small_service_is_known_to_all(self):
        assert len(covered('e', self.ENTRIES, self.AGENTS[:20])) == 20
