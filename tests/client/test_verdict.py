from __future__ import annotations

from attrs import evolve

from crowrudder_client._fleet_state import (
    Answer,
    MissingStatus,
    evaluate,
    newest_digest,
)
from crowrudder_client._status import LostBundle, RefusedBundle, Status
from crowrudder_client._status_text import render_text
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


def state_with(**changed: Answer):
    statuses = {**DONE, **changed}
    return evaluate(
        BUNDLE.digest,
        members=MEMBERS,
        statuses=statuses,
        bundle=BUNDLE,
    )


def row_of(host: str, fleet_state):
    return next(row for row in fleet_state.hosts if row.host == host)


class TestVerdict:
    def test_declared_state(self) -> None:
        fleet_state = state_with()
        assert fleet_state.is_declared
        assert 'in the declared state: yes, 4 of 4 hosts' in render_text(
            fleet_state
        )

    def test_host_with_an_older_bundle_is_behind(self) -> None:
        old = evolve(DONE['e'], generation=3, digest='0' * 64)
        fleet_state = state_with(e=old)
        assert not fleet_state.is_declared
        assert row_of('e', fleet_state).state == 'behind'
        assert 'bundle 000000000000 is in force' in render_text(fleet_state)

    def test_loading_host_reports_progress(self) -> None:
        loading = evolve(DONE['a'], loaded_version='v1', progress=0.5)
        fleet_state = state_with(a=loading)
        assert row_of('a', fleet_state).state == 'changing'
        assert row_of('a', fleet_state).hinders == ('v1 is loaded',)
        listing = fleet_state.services[0]
        assert (listing.declared, listing.hosts) == (1, 2)
        assert listing.progress == 0.75
        assert not fleet_state.is_declared

    def test_reported_blocking_reason_counts(self) -> None:
        fleet_state = state_with(a=evolve(DONE['a'], hinders=('origin 503',)))
        assert not fleet_state.is_declared
        assert 'origin 503' in render_text(fleet_state)

    def test_unreachable_host_is_not_in_the_declared_state(self) -> None:
        fleet_state = state_with(p=MissingStatus('no answer'))
        assert row_of('p', fleet_state).state == 'unreachable'
        assert not fleet_state.is_declared

    def test_too_few_replicas_are_not_the_declared_state(self) -> None:
        spare = evolve(DONE['b'], service='', loaded_version='')
        assert not state_with(b=spare).is_declared

    def test_leaving_host_is_not_counted(self) -> None:
        gone = evolve(DONE['e'], leaving=True, digest='')
        fleet_state = state_with(e=gone)
        assert row_of('e', fleet_state).state == 'leaving'
        assert fleet_state.is_declared

    def test_refused_value_is_shown_but_does_not_block(self) -> None:
        refused = RefusedBundle('not a bundle: half', 9)
        fleet_state = state_with(e=evolve(DONE['e'], refused=refused))
        assert fleet_state.is_declared
        assert 'refused by 1 hosts: not a bundle: half' in render_text(
            fleet_state
        )

    def test_no_host_has_a_bundle(self) -> None:
        empty = {host: Status(host, 'entry') for host in DONE}
        fleet_state = evaluate('', members=MEMBERS, statuses=empty, bundle=None)
        assert not fleet_state.is_declared

    def test_newest_is_by_generation_then_digest(self) -> None:
        statuses: list[Answer] = [
            Status('a', 'entry', generation=2, digest='a'),
            Status('b', 'entry', generation=2, digest='b'),
            Status('c', 'entry', generation=1, digest='c'),
            MissingStatus('gone'),
        ]
        assert newest_digest(statuses) == 'b'


class TestRaces:
    """Two operators published at once; one of them must publish again.

    Guards against an accepted change that has no effect and is not
    reported, because `status` shows only the bundle in force.
    """

    def test_lost_bundle_is_listed_once_with_the_remedy(self):
        lost = LostBundle('b' * 64, 4, 'a' * 64, BUNDLE.digest)
        statuses = {
            **DONE,
            'a': evolve(DONE['a'], lost=lost),
            'b': evolve(DONE['b'], lost=lost),
        }
        fleet_state = evaluate(
            BUNDLE.digest, members=MEMBERS, statuses=statuses, bundle=BUNDLE
        )
        text = render_text(fleet_state)
        assert fleet_state.is_declared
        assert text.count('b' * 64) == 1
        assert f'lost to {BUNDLE.digest}, as 2 hosts saw' in text
        assert 'publishes a higher generation' in text
