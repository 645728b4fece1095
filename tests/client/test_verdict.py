from __future__ import annotations

from attrs import evolve

from crowrudder_client._status import LostBundle, RefusedBundle, Status
from crowrudder_client._status_text import text_of
from crowrudder_client._verdict import Answer, Unreached, judge, newest
from crowrudder_model._member import Member
from crowrudder_model.declared import (
    Declaration,
    Model,
    Service,
    Version,
    bundle_of,
)

BUNDLE = bundle_of(
    Declaration(
        4,
        services=(
            Service('listing', model='m', version='v2', replicas=2),
            Service('portal', kind='plain'),
        ),
        models=(Model('m'),),
        versions=(Version('v2', 'm', 'a' * 64, size=1, chunks=1),),
    ),
)
MEMBERS = (
    Member('e', 'entry', '127.0.0.1'),
    Member('a', 'agent', '127.0.0.1', upstream='engine'),
    Member('b', 'agent', '127.0.0.1', upstream='engine'),
    Member('p', 'agent', '127.0.0.1', upstream='plain:portal'),
)
DONE: dict[str, Status] = {
    'e': Status('e', 'entry', generation=4, digest=BUNDLE.digest),
    'a': Status(
        'a',
        'agent',
        generation=4,
        digest=BUNDLE.digest,
        service='listing',
        loaded_version='v2',
    ),
    'b': Status(
        'b',
        'agent',
        generation=4,
        digest=BUNDLE.digest,
        service='listing',
        loaded_version='v2',
    ),
    'p': Status(
        'p',
        'agent',
        generation=4,
        digest=BUNDLE.digest,
        service='portal',
    ),
}


def verdict_with(**changed: Answer):
    answers = {**DONE, **changed}
    return judge(
        BUNDLE.digest,
        members=MEMBERS,
        answers=answers,
        bundle=BUNDLE,
    )


def row_of(host: str, verdict):
    return next(row for row in verdict.hosts if row.host == host)


class TestVerdict:
    def test_declared_state(self) -> None:
        verdict = verdict_with()
        assert verdict.is_declared
        assert 'in the declared state: yes, 4 of 4 hosts' in text_of(verdict)

    def test_host_with_an_older_bundle_is_behind(self) -> None:
        old = evolve(DONE['e'], generation=3, digest='0' * 64)
        verdict = verdict_with(e=old)
        assert not verdict.is_declared
        assert row_of('e', verdict).state == 'behind'
        assert 'bundle 000000000000 is in force' in text_of(verdict)

    def test_host_that_loads_says_how_far_it_is(self) -> None:
        loading = evolve(DONE['a'], loaded_version='v1', progress=0.5)
        verdict = verdict_with(a=loading)
        assert row_of('a', verdict).state == 'changing'
        assert row_of('a', verdict).hinders == ('v1 is loaded',)
        listing = verdict.services[0]
        assert (listing.declared, listing.hosts) == (1, 2)
        assert listing.progress == 0.75
        assert not verdict.is_declared

    def test_own_word_of_a_hindrance_counts(self) -> None:
        verdict = verdict_with(a=evolve(DONE['a'], hinders=('origin 503',)))
        assert not verdict.is_declared
        assert 'origin 503' in text_of(verdict)

    def test_unreachable_host_is_not_in_the_declared_state(self) -> None:
        verdict = verdict_with(p=Unreached('no answer'))
        assert row_of('p', verdict).state == 'unreachable'
        assert not verdict.is_declared

    def test_too_few_replicas_are_not_the_declared_state(self) -> None:
        spare = evolve(DONE['b'], service='', loaded_version='')
        assert not verdict_with(b=spare).is_declared

    def test_leaving_host_is_not_waited_for(self) -> None:
        gone = evolve(DONE['e'], leaving=True, digest='')
        verdict = verdict_with(e=gone)
        assert row_of('e', verdict).state == 'leaving'
        assert verdict.is_declared

    def test_refused_value_is_told_but_hinders_nothing(self) -> None:
        refused = RefusedBundle('not a bundle: half', 9)
        verdict = verdict_with(e=evolve(DONE['e'], refused=refused))
        assert verdict.is_declared
        assert 'refused by 1 hosts: not a bundle: half' in text_of(verdict)

    def test_nobody_has_a_bundle(self) -> None:
        empty = {host: Status(host, 'entry') for host in DONE}
        verdict = judge('', members=MEMBERS, answers=empty, bundle=None)
        assert not verdict.is_declared

    def test_newest_is_by_generation_then_digest(self) -> None:
        answers: list[Answer] = [
            Status('a', 'entry', generation=2, digest='a'),
            Status('b', 'entry', generation=2, digest='b'),
            Status('c', 'entry', generation=1, digest='c'),
            Unreached('gone'),
        ]
        assert newest(answers) == 'b'


class TestRaces:
    """Two operators published at once; one of them must publish again.

    Symptom: a change was accepted and had no effect, and nobody was told.
    Cause: `status` showed the bundle in force only.
    """

    def test_names_the_bundle_that_lost_once_and_what_to_do(self):
        lost = LostBundle('b' * 64, 4, 'a' * 64, BUNDLE.digest)
        answers = {
            **DONE,
            'a': evolve(DONE['a'], lost=lost),
            'b': evolve(DONE['b'], lost=lost),
        }
        verdict = judge(
            BUNDLE.digest, members=MEMBERS, answers=answers, bundle=BUNDLE
        )
        text = text_of(verdict)
        assert verdict.is_declared
        assert text.count('b' * 64) == 1
        assert f'lost to {BUNDLE.digest}, as 2 hosts saw' in text
        assert 'publishes a higher generation' in text
