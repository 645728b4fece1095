from __future__ import annotations

import json

import pytest
from _books import Books, compare
from _caller import Answer, Flaw, Request, flaw_of_text
from attrs import evolve

from crowrudder_standins._batch import token_text

REQUEST = Request(
    request_id='r1', customer='c', model='m', prompt='hello', max_tokens=3
)
WHOLE = Answer(request=REQUEST, status=200, outcome='answered')
NOT_RUN = Answer(request=REQUEST, status=503, outcome='not_run')
BROKEN = Answer(request=REQUEST, broken=True, detail='HTTP 599')


def text_of(*tokens, prompt='hello'):
    return ''.join(token_text(version, n, prompt) for version, n in tokens)


def books_of(tmp_path, *records):
    journal = tmp_path / 'engine.journal'
    journal.write_text(''.join(json.dumps(each) + '\n' for each in records))
    return Books.read([journal])


def run_record(state='started', versions=('v1',), resume_from=0):
    return {
        'request_id': 'r1',
        'resume_from': resume_from,
        'state': state,
        'ranges': [[version, 0, 0] for version in versions],
    }


class TestText:
    @pytest.mark.parametrize(
        ('text', 'flaw'),
        [
            (text_of(('v1', 0), ('v1', 1), ('v1', 2)), Flaw.NONE),
            (text_of(('v1', 0), ('v1', 1)), Flaw.CUT),
            (text_of(('v1', 0), ('v1', 2)), Flaw.CUT),
            ('', Flaw.CUT),
            (text_of(('v1', 0), ('v2', 1), ('v2', 2)), Flaw.MIXED),
            (text_of(('v1', 0), prompt='other'), Flaw.CROSSED),
            ('garbage', Flaw.CROSSED),
        ],
    )
    def test_flaws(self, text, flaw):
        assert flaw_of_text(REQUEST, text) is flaw


class TestCompare:
    def test_clean(self, tmp_path):
        books = books_of(tmp_path, run_record(), run_record('finished'))
        verdict = compare(books, [WHOLE])
        assert (verdict.clean, verdict.requests, verdict.whole) == (True, 1, 1)

    def test_resumed_stream_is_no_second_start(self, tmp_path):
        books = books_of(tmp_path, run_record(), run_record(resume_from=2))
        assert compare(books, [WHOLE]).doubled == 0

    def test_second_start_of_non_idempotent_request(self, tmp_path):
        books = books_of(tmp_path, run_record(), run_record())
        repeatable = evolve(WHOLE, request=evolve(REQUEST, idempotent=True))
        assert compare(books, [WHOLE]).doubled == 1
        assert compare(books, [repeatable]).doubled == 0

    def test_answered_run_with_mixed_versions(self, tmp_path):
        mixed = run_record('finished', versions=('v1', 'v2'))
        books = books_of(tmp_path, run_record(), mixed)
        assert compare(books, [WHOLE]).mixed == 1

    def test_answer_without_a_run(self, tmp_path):
        assert compare(books_of(tmp_path), [WHOLE]).crossed == 1

    def test_not_run_but_ran(self, tmp_path):
        books = books_of(tmp_path, run_record())
        assert compare(books, [NOT_RUN]).not_run_but_ran == 1
        assert compare(books, [NOT_RUN, BROKEN]).not_run_but_ran == 0

    def test_broken_connection_is_unanswered_unless_excused(self, tmp_path):
        books = books_of(tmp_path)
        cut = evolve(BROKEN, status=200, flaw=Flaw.CUT)
        assert compare(books, [BROKEN]).unanswered == 1
        assert compare(books, [cut]).cut == 1
        excused = compare(books, [BROKEN, cut], excused=lambda _: True)
        assert (excused.clean, excused.whole) == (True, 0)
