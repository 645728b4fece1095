"""The choice of an agent on old reports."""

from __future__ import annotations

import random
from collections import Counter

from attrs import evolve

from crowrudder_core.routing import Need, Router, covered
from crowrudder_model.messages import Report, RoomReply

NEED = Need(service='s')


def report(host: str, **more: object) -> Report:
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


def router_of(*reports: Report, affinity: bool = True) -> Router:
    router = Router(random.Random(1), affinity=affinity)
    for each in reports:
        router.on_report(each, now=0.0)
    router.on_started()
    return router


def chosen(router: Router, need: Need = NEED, *, now: float = 0.0) -> str:
    choice = router.choose(need, now=now)
    assert choice is not None
    return choice.host


class TestKnowledge:
    """Counting on late reports."""

    def test_own_attempts_are_counted_as_of_now(self):
        """Symptom: an entry sends a burst to the agent that was empty.

        Sequence: a report of a second ago says 0; the entry sends 8 there;
        another old report arrives and says 0 again.
        Cause: the report was taken for newer than the entry's own sends.
        """
        router = router_of(report('a'), report('b', running=4))
        for _ in range(8):
            router.on_sent('a', 'a-1')
        router.on_report(report('a'), now=1.0)
        assert router.agents['a'].load == 8
        assert chosen(router, now=1.0) == 'b'

    def test_the_readers_part_of_a_report_is_not_counted_twice(self):
        router = router_of(report('a', running=5, yours=3))
        for _ in range(3):
            router.on_sent('a', 'a-1')
        assert router.agents['a'].load == 5

    def test_an_end_of_an_earlier_life_counts_nothing(self):
        router = router_of(report('a'))
        router.on_sent('a', 'a-1')
        router.on_report(report('a', incarnation='a-2'), now=1.0)
        router.on_sent('a', 'a-2')
        router.on_ended('a', 'a-1')
        assert router.agents['a'].outstanding == 1

    def test_a_broken_stream_of_reports_keeps_what_is_outstanding(self):
        router = router_of(report('a'))
        router.on_sent('a', 'a-1')
        router.on_gone('a')
        assert router.choose(NEED, now=0.0) is None
        router.on_report(report('a'), now=1.0)
        assert router.agents['a'].outstanding == 1


class TestHealth:
    """Agents that are slow, silent, new or leaving."""

    def test_a_slow_agent_gets_work_only_when_others_are_full(self):
        slow = report('slow', pace_s=0.06)
        router = router_of(slow, report('a'), report('b'), affinity=False)
        picks = Counter(chosen(router) for _ in range(300))
        assert not picks['slow']

    def test_an_upstream_that_accepts_and_never_answers_is_left_out(self):
        """Symptom: a third of the requests end at their deadline.

        Sequence: an engine goes on accepting and writes nothing.
        Cause: its agent looked emptier than the others, as nothing ended.
        """
        dead = report('dead', silent_s=9.0)
        router = router_of(dead, report('a'), report('b'))
        picks = Counter(
            chosen(router, Need(service='s', prefix=f'p{number}'))
            for number in range(300)
        )
        assert not picks['dead']

    def test_an_upstream_that_fails_at_once_is_left_out(self):
        """Symptom: a tenth of the idempotent requests fail.

        Sequence: an engine answers crossed; each run there fails at once;
        the entry goes on sending there until the retry budget is spent.
        Cause: what fails at once is always free.
        """
        router = router_of(report('bad'), report('a'), report('b'))
        for _ in range(3):
            router.on_outcome('bad', failed=True, now=0.0)
        needs = [Need(service='s', prefix=f'p{n}') for n in range(300)]
        picks = Counter(chosen(router, need, now=0.5) for need in needs)
        assert not picks['bad']
        later = Counter(chosen(router, need, now=60.0) for need in needs)
        assert later['bad']

    def test_own_word_of_a_failing_agent_counts_less(self):
        router = router_of(report('bad'), report('a', running=7))
        router.on_outcome('bad', failed=True, now=0.0)
        rooms = {
            'bad': RoomReply(wait_s=0.0, filled=0.0),
            'a': RoomReply(wait_s=0.5, filled=0.9),
        }
        choice = router.choose_by_word(NEED, rooms, first='', now=0.1)
        assert choice is not None
        assert choice.host == 'a'

    def test_a_fresh_agent_starts_slowly(self):
        router = router_of(report('a'), report('b'), affinity=False)
        router.on_report(report('new'), now=10.0)
        early = Counter(chosen(router, now=10.0) for _ in range(300))
        later = Counter(chosen(router, now=30.0) for _ in range(300))
        assert early['new'] < later['new'] / 3

    def test_leaving_failed_and_other_versions_are_no_candidates(self):
        router = router_of(
            report('leaving', leaving=True),
            report('failed'),
            report('old', version='v0'),
            report('empty', version=''),
            report('good'),
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
    """The same start of a prompt goes to the same agent."""

    def test_it_stays_while_the_agent_is_not_too_full(self):
        router = router_of(*(report(f'h{number}') for number in range(8)))
        need = Need(service='s', prefix='breed')
        first = chosen(router, need)
        assert {chosen(router, need) for _ in range(20)} == {first}
        for _ in range(8):
            router.on_sent(first, f'{first}-1')
        assert chosen(router, need) != first

    def test_entries_agree_without_a_word(self):
        hosts = [report(f'h{number}') for number in range(8)]
        one, other = router_of(*hosts), router_of(*reversed(hosts))
        for number in range(50):
            need = Need(service='s', prefix=f'p{number}')
            assert chosen(one, need) == chosen(other, need)


class TestFreshWord:
    """Agents that were asked at the moment of the choice."""

    def test_a_free_slot_goes_before_the_old_reports(self):
        router = router_of(report('a'), report('b'))
        rooms = {
            'a': RoomReply(wait_s=0.7, filled=1.5),
            'b': RoomReply(wait_s=0.0, filled=0.5),
        }
        choice = router.choose_by_word(NEED, rooms, first='a', now=0.0)
        assert choice is not None
        assert choice.host == 'b'

    def test_the_prompts_agent_is_kept_where_it_has_room(self):
        router = router_of(report('a'), report('b'))
        rooms = {
            'a': RoomReply(wait_s=0.0, filled=0.6),
            'b': RoomReply(wait_s=0.0, filled=0.5),
        }
        choice = router.choose_by_word(NEED, rooms, first='a', now=0.0)
        assert choice is not None
        assert choice.host == 'a'

    def test_who_takes_nothing_in_is_not_chosen(self):
        router = router_of(report('a'))
        rooms = {'a': RoomReply(wait_s=-1.0)}
        assert router.choose_by_word(NEED, rooms, first='a', now=0.0) is None


class TestSubset:
    """Which agents an entry talks to."""

    ENTRIES = tuple(f'entry-{number}' for number in range(8))
    AGENTS = tuple(f'agent-{number}' for number in range(650))

    def known(self, entries: tuple[str, ...]) -> dict[str, frozenset[str]]:
        return {
            entry: covered(entry, entries, self.AGENTS) for entry in entries
        }

    def test_every_agent_is_covered_evenly(self):
        known = self.known(self.ENTRIES)
        covers = Counter(host for hosts in known.values() for host in hosts)
        assert set(covers.values()) == {3}
        sizes = [len(hosts) for hosts in known.values()]
        mean = sum(sizes) / len(sizes)
        assert max(sizes) < 1.2 * mean
        assert min(sizes) > 0.8 * mean

    def test_every_entry_knows_each_failure_domain(self):
        for hosts in self.known(self.ENTRIES).values():
            domains = Counter(int(host[6:]) % 6 for host in hosts)
            assert len(domains) == 6
            assert min(domains.values()) > 20

    def test_an_entry_that_leaves_moves_only_its_own_links(self):
        before = self.known(self.ENTRIES)
        after = self.known(self.ENTRIES[:-1])
        for entry, hosts in after.items():
            assert before[entry] <= hosts

    def test_a_small_service_is_known_to_all(self):
        assert len(covered('e', self.ENTRIES, self.AGENTS[:20])) == 20
