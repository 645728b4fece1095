from __future__ import annotations

import hashlib
import random
from typing import Any

import msgspec
import pytest
from attrs import evolve

from crowrudder_model._member import Member, MembersError, decode_members
from crowrudder_model.declared import (
    MAX_BUNDLE_BYTES,
    Adapter,
    BundleError,
    Customer,
    Declaration,
    Model,
    Service,
    Version,
    bundle_of,
    decode_bundle,
    encode_bundle,
    faults_of,
    place,
)

DIGEST = 'a' * 64
SMALL = Declaration(
    3,
    parent=DIGEST,
    services=(
        Service('portal', kind='plain'),
        Service('listing', model='listing', version='listing-v1', replicas=4),
    ),
    models=(Model('listing'),),
    versions=(Version('listing-v1', 'listing', DIGEST, size=9, chunks=1),),
    adapters=(Adapter('formal', 'listing', 'listing-v1'),),
    customers=(Customer('desk', share=0.5, services=('listing', 'portal')),),
)


def engine(number: int, domain: str = 'd0', region: str = 'r') -> Member:
    return Member(
        f'host-{number}',
        'agent',
        '127.0.0.1',
        region=region,
        failure_domain=domain,
        upstream='engine',
    )


class TestBundle:
    def test_round_trip_keeps_the_bundle(self) -> None:
        assert decode_bundle(encode_bundle(SMALL)) == bundle_of(SMALL)

    def test_digest_ignores_the_order_of_parts(self) -> None:
        reordered = evolve(SMALL, services=SMALL.services[::-1])
        assert encode_bundle(reordered) == encode_bundle(SMALL)

    def test_every_truncated_value_is_refused(self) -> None:
        whole = encode_bundle(SMALL)
        for end, _ in enumerate(whole):
            with pytest.raises(BundleError):
                decode_bundle(whole[:end])

    @pytest.mark.parametrize(
        'garbage',
        [b'', b'null', b'[]', b'{}', b'\xff\xfe', b'[' * 5000, b'<html>'],
    )
    def test_garbage_is_refused(self, garbage: bytes) -> None:
        with pytest.raises(BundleError, match='not a bundle'):
            decode_bundle(garbage)

    def test_changed_content_fails_the_digest_check(self) -> None:
        changed = encode_bundle(SMALL).replace(
            b'"generation":3', b'"generation":9'
        )
        with pytest.raises(BundleError, match='wrong digest'):
            decode_bundle(changed)

    def test_key_of_another_release_is_refused(self) -> None:
        value = msgspec.json.decode(encode_bundle(SMALL))
        value['declaration']['models'][0]['quota'] = 3
        canonical = msgspec.json.encode(value['declaration'], order='sorted')
        value['digest'] = hashlib.sha256(canonical).hexdigest()
        with pytest.raises(BundleError, match='wrong digest'):
            decode_bundle(msgspec.json.encode(value))

    def test_over_a_megabyte_is_refused(self) -> None:
        with pytest.raises(BundleError, match='too large'):
            decode_bundle(b' ' * (MAX_BUNDLE_BYTES + 1))
        many = tuple(Model(f'{number:064}') for number in range(16000))
        with pytest.raises(BundleError, match='too large'):
            encode_bundle(evolve(SMALL, models=many))

    def test_faults_are_refused_with_section_and_key(self) -> None:
        encoded = encode_bundle(evolve(SMALL, versions=()))
        with pytest.raises(BundleError, match=r'\[service:listing\] version'):
            decode_bundle(encoded)


class TestFaults:
    def test_small_declaration_has_none(self) -> None:
        assert faults_of(SMALL) == ()

    @pytest.mark.parametrize(
        ('change', 'section', 'key'),
        [
            ({'generation': 0}, 'fleet', 'generation'),
            ({'parent': 'x'}, 'fleet', 'parent'),
            ({'models': ()}, 'service:listing', 'model'),
            (
                {'models': (*SMALL.models, *SMALL.models)},
                'model:listing',
                'name',
            ),
            (
                {'services': (*SMALL.services, evolve(SMALL.services[1]))},
                'service:listing',
                'model',
            ),
            (
                {
                    'services': (
                        evolve(SMALL.services[1], origin_copies=5),
                        SMALL.services[0],
                    ),
                },
                'service:listing',
                'origin_copies',
            ),
            (
                {'services': (evolve(SMALL.services[0], replicas=2),)},
                'service:portal',
                'replicas',
            ),
            (
                {'customers': (Customer('a', services=('gone',)),)},
                'customer:a',
                'services',
            ),
            (
                {
                    'customers': (
                        Customer('a', share=0.6, services=('portal',)),
                        Customer('b', share=0.6, services=('portal',)),
                    ),
                },
                'service:portal',
                "customers' share",
            ),
            (
                {'customers': (Customer('a', share=float('nan')),)},
                'customer:a',
                'share',
            ),
        ],
    )
    def test_fault_names_section_and_key(
        self,
        change: dict[str, Any],
        section: str,
        key: str,
    ) -> None:
        faults = faults_of(evolve(SMALL, **change))
        assert (section, key) in {
            (fault.section, fault.key) for fault in faults
        }


class TestPlacement:
    def test_independent_of_member_order(self) -> None:
        members = [engine(number, f'd{number % 3}') for number in range(9)]
        first = place(SMALL, members)
        for seed in range(20):
            random.Random(seed).shuffle(members)
            assert place(SMALL, members) == first
        assert len(first) == 4

    def test_replicas_are_spread_over_failure_domains(self) -> None:
        members = [engine(number, f'd{number % 4}') for number in range(16)]
        placed = place(SMALL, members)
        domains = {
            member.failure_domain for member in members if member.host in placed
        }
        assert len(domains) == 4

    def test_only_live_engines_of_allowed_places(self) -> None:
        listing = evolve(
            SMALL.services[1],
            regions=('r',),
            failure_domains=('d0',),
            replicas=0,
        )
        declaration = evolve(SMALL, services=(listing,))
        members = [
            engine(0),
            engine(1, region='s'),
            engine(2, 'd1'),
            evolve(engine(3), state='leaving'),
            evolve(engine(4), upstream='plain:portal'),
            evolve(engine(5), role='entry'),
        ]
        assert place(declaration, members) == {'host-0': listing}

    def test_removed_host_moves_no_other(self) -> None:
        members = [engine(number) for number in range(12)]
        before = place(SMALL, members)
        gone = min(before)
        after = place(SMALL, [item for item in members if item.host != gone])
        assert set(before) - {gone} <= set(after)
        assert len(after) == 4

    def test_plain_service_runs_beside_its_agents(self) -> None:
        plain = evolve(engine(1), upstream='plain:portal')
        placed = place(SMALL, [plain, engine(2)])
        assert placed['host-1'].name == 'portal'
        assert placed['host-2'].name == 'listing'


class TestMembers:
    def test_list_is_read(self) -> None:
        encoded = msgspec.json.encode(
            {'revision': 4, 'members': [msgspec.to_builtins(engine(1))]},
        )
        assert decode_members(encoded) == (4, (engine(1),))

    @pytest.mark.parametrize(
        'garbage',
        [
            b'',
            b'{"revision": 1}',
            b'{"revision": 1, "members": [{"host": "a", "role": "x"}]}',
            b'{"revision": 1, "members": [{"host": "a"',
            b'{"revision": 1, "members": ['
            b'{"host":"a","role":"agent","address":"127.0.0.1"},'
            b'{"host":"a","role":"agent","address":"127.0.0.1"}]}',
        ],
    )
    def test_garbage_is_refused(self, garbage: bytes) -> None:
        with pytest.raises(MembersError):
            decode_members(garbage)
