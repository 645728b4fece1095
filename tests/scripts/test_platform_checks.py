"""Each promise that the platform's soak checks can be found broken."""

from __future__ import annotations

import time
from typing import Any

import pytest
from _platform_chaos import PlatformChaos, Trouble
from _platform_checks import judge
from _platform_fleet import DRAIN_S, STAND_INS, VERSION_S, Life
from _platform_load import KINDS, Asked

from crowrudder_standins.fleet_origin import FleetOrigin
from crowrudder_standins.fleet_replica import (
    FleetReplica,
    Run,
    body_of,
    stream_of,
)

READ, NOTICE, DRAFT, ONCE = KINDS


class Books:
    """What a fleet's stand-ins have written down."""

    def __init__(self):
        self.origin = FleetOrigin({'--model': 'm'})
        self.named_at: dict[int, float] = {}
        self.replica = FleetReplica({'--id': 'r.1', '--model': 'm'})
        self.life = Life(self.replica, 'llm', '127.0.0.1:1', 'z', None)

    def all_lives(self):
        return [self.life]

    def agent_of(self, life):
        assert life is self.life
        return 'agent-0'

    def ran(self, request_id, *, weights=1, began_at=0.0):
        self.replica.runs.append(
            Run(request_id, 'POST', '/', b'', '', 0, weights, '', began_at)
        )


class Calm:
    """Faults that met nobody but those named."""

    def __init__(self, *troubles):
        self.troubles = list(troubles)

    met = PlatformChaos.met

    def died(self, name, began_at, ended_at):
        return any(
            trouble.name == name and trouble.is_fatal
            for trouble in self.troubles
        )


def asked(kind=NOTICE, **changes):
    values: dict[str, Any] = {
        'request_id': 'q',
        'kind': kind,
        'entry': 'entry-0',
        'began_at': 10.0,
        'ended_at': 10.2,
        'status': 200,
        'is_whole': True,
        'has_seal': True,
        'echoed': 'q',
        'body': stream_of('q') if kind.is_stream else body_of('q'),
    }
    return Asked(**(values | changes))


NAMED_AT = 100.0


def ended(*requests, late_s, books=None, chaos=None):
    """Judge a run that began on an old version near the version's end."""
    books = books or Books()
    books.named_at[2] = NAMED_AT
    books.ran('q', began_at=NAMED_AT + VERSION_S + late_s)
    return broken(*requests, books=books, runs=0, chaos=chaos)


def broken(*requests, books: Any = None, runs=1, chaos: Any = None):
    books = books or Books()
    for _ in range(runs):
        books.ran('q')
    calm: Any = Calm()
    verdict = judge(requests, books, chaos or calm)
    return set(verdict.broken)


class TestAnswers:
    @pytest.mark.parametrize('kind', KINDS)
    def test_a_whole_answer_breaks_nothing(self, kind):
        assert broken(asked(kind)) == set()

    @pytest.mark.parametrize(
        ('changes', 'promise'),
        [
            ({'body': b'another'}, 'not whole'),
            ({'has_seal': False}, 'nobody vouches'),
            ({'echoed': 'p'}, 'crossed'),
            ({'status': 404}, 'blamed'),
            ({'ended_at': 15.0}, 'late'),
        ],
    )
    def test_what_is_wrong_with_one_is_found(self, changes, promise):
        assert broken(asked(**changes)) == {promise}

    def test_a_refusal_without_a_time_is_found(self):
        found = broken(asked(status=503), runs=0)
        assert found == {'no time to come back'}

    def test_no_answer_is_found_but_where_the_entry_was_killed(self):
        cut = asked(is_whole=False, status=0)
        assert broken(cut) == {'unanswered'}
        killed = Trouble('entry-0', 10.1, 10.1, is_fatal=True)
        assert broken(cut, chaos=Calm(killed)) == set()

    def test_a_late_answer_is_excused_where_the_entry_was_disturbed(self):
        late = asked(ended_at=15.0)
        froze = Trouble('entry-0', 10.1, 10.9)
        assert broken(late, chaos=Calm(froze)) == set()


class TestRuns:
    @pytest.mark.parametrize('kind', [NOTICE, ONCE])
    def test_two_runs_are_found(self, kind):
        assert broken(asked(kind), runs=2) == {'doubled'}

    @pytest.mark.parametrize('kind', [READ, DRAFT])
    def test_two_runs_are_allowed_where_a_route_may_repeat(self, kind):
        assert broken(asked(kind), runs=2) == set()

    def test_a_false_not_run_is_found(self):
        refusal = asked(status=503, retry_after='1')
        assert broken(refusal) == {'not run but ran'}
        assert broken(refusal, runs=0) == set()

    def test_an_answer_that_nobody_made_is_found(self):
        assert broken(asked(), runs=0) == {'made up'}


class TestReplicas:
    def test_partial_weights_are_found(self):
        books = Books()
        pieces = {
            index: books.origin.piece(2, index)
            for index in range(books.origin.count)
        }
        books.replica.orders.append({'version': 2})
        books.replica.taken.append(pieces)
        assert broken(books=books) == set()
        books.replica.taken[0] = pieces | {3: b'spoilt'}
        assert broken(books=books) == {'partial weights'}

    def test_a_load_of_some_layers_takes_the_pieces_of_these(self):
        books = Books()
        count = books.origin.count
        half = {
            index: books.origin.piece(2, index) for index in range(count // 2)
        }
        books.replica.orders.append({'version': 2, 'from': 0, 'target': 8})
        books.replica.taken.append(half)
        assert broken(books=books) == set()
        books.replica.taken[0] = {**half, 0: b'spoilt'}
        assert broken(books=books) == {'partial weights'}
        books.replica.taken[0] = {0: half[0]}
        assert broken(books=books) == {'partial weights'}

    @pytest.mark.parametrize(
        'path', ['a:1=0-8,b:1=9-16', 'a:1=0-8', 'a:1=0-9,b:1=8-16']
    )
    def test_a_path_with_a_gap_or_an_overlap_is_found(self, path):
        books = Books()
        books.replica.paths.append('a:1=0-8,b:1=8-16')
        assert broken(books=books) == set()
        books.replica.paths.append(path)
        assert broken(books=books) == {'layers not once'}

    def test_a_run_at_one_that_left_is_found(self):
        books = Books()
        now = time.monotonic()
        books.life.left_at = now
        books.ran('p', began_at=now + DRAIN_S + 1)
        assert broken(books=books, runs=0) == {'sent to one that left'}
        met = Calm(Trouble('', now, now + 1))
        assert broken(books=books, runs=0, chaos=met) == set()

    def test_a_run_on_old_weights_is_found(self):
        books = Books()
        books.named_at[2] = 100.0
        books.ran('p', began_at=100 + VERSION_S + 1)
        assert broken(books=books, runs=0) == {'old weights'}
        books.replica.runs[0].weights = 2
        assert broken(books=books, runs=0) == set()


class TestEnds:
    def test_the_end_is_kept_to_the_instant(self):
        """A margin of half a second hid every run but the latest."""
        assert ended(late_s=0.001) == {'old weights'}
        assert ended(late_s=-0.001) == set()

    def test_the_beginning_counts_and_not_the_sending(self):
        sent = asked(DRAFT, began_at=NAMED_AT + VERSION_S - 1.4)
        assert ended(sent, late_s=0.1) == {'old weights'}

    def test_the_version_that_was_named_first_ends_it(self):
        books = Books()
        books.named_at[3] = NAMED_AT + 2
        assert ended(late_s=0.1, books=books) == {'old weights'}

    @pytest.mark.parametrize('name', ['entry-0', 'agent-0', ''])
    def test_it_is_excused_by_who_has_to_keep_it(self, name):
        chaos = Calm(Trouble(name, NAMED_AT, NAMED_AT + 1))
        assert ended(asked(DRAFT), late_s=0.1, chaos=chaos) == set()

    @pytest.mark.parametrize('name', ['entry-1', 'agent-1'])
    def test_it_is_not_excused_by_others(self, name):
        """Any fault anywhere excused all runs, and some fault there was."""
        chaos = Calm(Trouble(name, NAMED_AT, NAMED_AT + 1))
        found = ended(asked(DRAFT), late_s=0.1, chaos=chaos)
        assert found == {'old weights'}

    def test_it_is_not_excused_by_what_was_over_long_before(self):
        chaos = Calm(Trouble('agent-0', NAMED_AT - 9, NAMED_AT - 8))
        found = ended(asked(DRAFT), late_s=0.1, chaos=chaos)
        assert found == {'old weights'}

    @pytest.mark.parametrize(('before_s', 'is_excused'), [(0.5, 1), (2, 0)])
    def test_stand_ins_that_stood_still_excuse_it_near_the_end(
        self, before_s, is_excused
    ):
        until = NAMED_AT + VERSION_S - before_s
        chaos = Calm(Trouble(STAND_INS, until - 0.2, until))
        found = ended(asked(DRAFT), late_s=0.1, chaos=chaos)
        assert found == (set() if is_excused else {'old weights'})

    def test_what_was_looked_at_is_counted(self):
        books = Books()
        books.named_at[2] = NAMED_AT
        books.replica.places.seen['waited'] += 3
        books.ran('p', began_at=NAMED_AT + VERSION_S - 0.2)
        calm: Any = Calm()
        fleet: Any = books
        verdict = judge([], fleet, calm)
        assert verdict.ends == {'waited': 3, 'began in the last second': 1}
