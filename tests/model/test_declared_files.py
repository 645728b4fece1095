from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from crowrudder_model._member import Member
from crowrudder_model.declared import (
    Adapter,
    Bundle,
    BundleError,
    Customer,
    Declaration,
    Fault,
    Model,
    Service,
    Version,
    bundle_of,
    decode_bundle,
    difference,
    encode_bundle,
    ini_of,
    publishing_faults,
    read_files,
    reference_page,
)

ROOT = Path(__file__).parent.parent.parent
PAGE = ROOT / 'docs/reference/declared-files.md'
EXAMPLE = {
    path.name: path.read_text(encoding='utf-8')
    for path in (ROOT / 'examples/fleet').glob('*.ini')
}
names = st.from_regex('[A-Za-z0-9][A-Za-z0-9._-]{0,8}', fullmatch=True)
digests = st.text('0123456789abcdef', min_size=64, max_size=64)
name_lists = st.lists(names, unique=True, max_size=3).map(tuple)
shares = st.floats(0, 0.3, allow_subnormal=False)


@st.composite
def declarations(draw: st.DrawFn) -> Declaration:
    models = draw(st.lists(names, unique=True, max_size=3))
    services, versions, adapters = [], [], []
    for model in models:
        versions.append(
            Version(
                f'{model}-v',
                model,
                draw(digests),
                size=draw(st.integers(1, 1 << 40)),
                chunks=draw(st.integers(1, 999)),
            ),
        )
        adapters.append(Adapter(f'{model}-a', model, f'{model}-v'))
        services.append(
            Service(
                f'{model}-s',
                model=model,
                version=f'{model}-v',
                adapters=draw(st.sampled_from([(), (f'{model}-a',)])),
                regions=draw(name_lists),
                failure_domains=draw(name_lists),
                replicas=draw(st.integers(0, 1000)),
                rolling_share=draw(st.floats(0.001, 1)),
                origin_copies=draw(st.integers(1, 4)),
                fencing=draw(st.sampled_from(['checked', 'ignored'])),
            ),
        )
    services.append(Service('plain', kind='plain'))
    customers = [
        Customer(
            name,
            share=draw(shares),
            rate_per_s=draw(st.floats(0.001, 1000)),
            burst=draw(st.integers(1, 99)),
            priority_floor=draw(st.integers(0, 9)),
            services=tuple({draw(st.sampled_from(services)).name}),
        )
        for name in draw(st.lists(names, unique=True, max_size=3))
    ]
    return Declaration(
        draw(st.integers(1, 1 << 50)),
        draw(st.just('') | digests),
        services=tuple(services),
        models=tuple(Model(model) for model in models),
        versions=tuple(versions),
        adapters=tuple(adapters),
        customers=tuple(customers),
    )


def fault_locations(faults: tuple[Fault, ...]) -> set[tuple[str, str]]:
    return {(fault.section, fault.key) for fault in faults}


class TestRoundTrips:
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(declarations())
    def test_files_and_bundle_say_the_same(self, first: Declaration) -> None:
        reading = read_files({'all.ini': ini_of(first)})
        assert reading.faults == ()
        assert reading.declaration == bundle_of(first).declaration
        bundle = decode_bundle(encode_bundle(reading.declaration))
        assert bundle == bundle_of(first)
        assert difference(first, bundle.declaration) == ()

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(declarations(), st.data())
    def test_flipped_byte_is_never_another_bundle(
        self,
        first: Declaration,
        data: st.DataObject,
    ) -> None:
        encoded = bytearray(encode_bundle(first))
        place = data.draw(st.integers(0, len(encoded) - 1))
        encoded[place] ^= data.draw(st.integers(1, 255))
        try:
            read = decode_bundle(bytes(encoded))
        except BundleError:
            return
        # A digit of a float may flip without a change of its value.
        assert read == bundle_of(first)

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(st.text(max_size=200) | st.text('[]=:\nfletsrvicgn 1%;#'))
    def test_any_text_gives_a_reading(self, text: str) -> None:
        assert read_files({'a.ini': text}).faults or 'fleet' in text

    @settings(max_examples=50, derandomize=True, deadline=None)
    @given(declarations(), declarations())
    def test_difference_is_empty_only_between_equals(
        self,
        first: Declaration,
        second: Declaration,
    ) -> None:
        is_same = bundle_of(first) == bundle_of(second)
        assert is_same == (not difference(first, second))


class TestFaults:
    def test_example_has_none(self) -> None:
        reading = read_files(EXAMPLE)
        assert reading.faults == ()
        assert publishing_faults(reading.declaration) == ()

    def test_all_faults_of_all_files_are_collected(self) -> None:
        faults = read_files(
            {
                'a.ini': '[fleet]\ngeneration = x\nfoo = 1',
                'b.ini': '[service:s]\nmodel = gone\nreplicas = -1\n'
                'version = gone\nrolling_share = nan\nfencing = maybe',
                'c.ini': '[fleet]\n[servic:b]\n[version:v]\nmodel = gone\n'
                'size = 1.5\nchunks = 99999999999999999999\nmanifest = AB',
            },
        ).faults
        assert {(item.file, item.section, item.key) for item in faults} == {
            ('a.ini', 'fleet', 'generation'),
            ('a.ini', 'fleet', 'foo'),
            ('b.ini', 'service:s', 'model'),
            ('b.ini', 'service:s', 'replicas'),
            ('b.ini', 'service:s', 'version'),
            ('b.ini', 'service:s', 'rolling_share'),
            ('b.ini', 'service:s', 'fencing'),
            ('c.ini', 'fleet', ''),
            ('c.ini', 'servic:b', ''),
            ('c.ini', 'version:v', 'model'),
            ('c.ini', 'version:v', 'size'),
            ('c.ini', 'version:v', 'chunks'),
            ('c.ini', 'version:v', 'manifest'),
        }

    def test_fault_text_has_location_value_and_rule(self) -> None:
        faults = read_files({'a.ini': '[fleet]\ngeneration = 0'}).faults
        assert [str(fault) for fault in faults] == [
            "a.ini: [fleet] generation: found '0', "
            'allowed: a whole number from 1 to 9007199254740991',
        ]

    @pytest.mark.parametrize(
        ('text', 'said'),
        [
            ('generation = 1', 'a section first'),
            ('[fleet', 'a section first'),
            ('[fleet]\ngeneration', '`key = value`'),
            ('[fleet]\ngeneration=1\ngeneration=2', 'each key once'),
            ('[model:x]\n[model:x]', 'each section once'),
            ('[DEFAULT]\nreplicas = 3', '[service:NAME]'),
            ('[model:]', '[model:NAME]'),
            ('[model:a b]', '1 to 64 letters'),
            ('', 'a section [fleet]'),
        ],
    )
    def test_broken_text_is_a_fault(self, text: str, said: str) -> None:
        faults = read_files({'a.ini': text}).faults
        assert any(said in str(fault) for fault in faults)

    def test_unreadable_file_reports_one_fault(self) -> None:
        faults = read_files({**EXAMPLE, 'versions.ini': '[version:'}).faults
        assert [fault.file for fault in faults] == ['versions.ini']

    def test_reference_page_matches_the_rules(self) -> None:
        assert PAGE.read_text(encoding='utf-8') == reference_page()


BEFORE = read_files(EXAMPLE).declaration
IN_FORCE: Bundle = bundle_of(BEFORE)
NEXT = evolve(BEFORE, generation=2, parent=IN_FORCE.digest)
LISTING = BEFORE.services[0]


def hosts(count: int) -> tuple[Member, ...]:
    return tuple(
        Member(f'h{number}', 'agent', '127.0.0.1', upstream='engine')
        for number in range(count)
    )


class TestPublishing:
    def test_next_generation_has_no_fault(self) -> None:
        assert publishing_faults(NEXT, previous=IN_FORCE) == ()
        later = evolve(NEXT, generation=7)
        assert publishing_faults(later, previous=IN_FORCE) == ()

    @pytest.mark.parametrize(
        ('change', 'place'),
        [
            ({'parent': 'f' * 64}, ('fleet', 'parent')),
            ({'generation': 1}, ('fleet', 'generation')),
            ({'versions': ()}, ('version:listing-v1', '')),
            ({'services': BEFORE.services[:1]}, ('service:portal', '')),
            (
                {'versions': (evolve(BEFORE.versions[0], manifest='0' * 64),)},
                ('version:listing-v1', 'manifest'),
            ),
        ],
    )
    def test_invalid_successor_is_reported(
        self,
        change: dict[str, Any],
        place: tuple[str, str],
    ) -> None:
        faults = publishing_faults(evolve(NEXT, **change), previous=IN_FORCE)
        assert fault_locations(faults) == {place}

    def test_unused_section_may_be_deleted(self) -> None:
        spare = evolve(BEFORE.versions[0], name='listing-v0')
        more = evolve(BEFORE, versions=(*BEFORE.versions, spare))
        in_force = bundle_of(more)
        after = evolve(NEXT, parent=in_force.digest)
        assert publishing_faults(after, previous=in_force) == ()

    def test_service_without_eligible_hosts_is_reported(self) -> None:
        greedy = evolve(LISTING, name='a', replicas=0)
        confined = evolve(LISTING, name='b', regions=('north',))
        both = evolve(NEXT, services=(greedy, confined), customers=())
        assert fault_locations(publishing_faults(both)) == {
            ('service:b', 'replicas')
        }
        elsewhere = evolve(greedy, regions=('south',))
        both = evolve(NEXT, services=(elsewhere, confined), customers=())
        assert publishing_faults(both) == ()

    def test_more_replicas_than_hosts(self) -> None:
        assert publishing_faults(NEXT, members=hosts(4)) == ()
        faults = publishing_faults(NEXT, members=hosts(3))
        assert fault_locations(faults) == {('service:listing', 'replicas')}

    def test_rate_above_the_capacity_of_the_slots(self) -> None:
        customer = Customer('c', rate_per_s=641, services=('listing',))
        faults = publishing_faults(evolve(NEXT, customers=(customer,)))
        assert fault_locations(faults) == {('customer:c', 'rate_per_s')}
        assert '640 at most' in str(faults[0])

    def test_over_a_megabyte(self) -> None:
        many = tuple(Model(f'{number:064}') for number in range(16000))
        faults = publishing_faults(evolve(NEXT, models=many))
        assert fault_locations(faults) == {('fleet', '')}
