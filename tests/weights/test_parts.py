"""The layer range of a version that each host collects first."""

from __future__ import annotations

import itertools
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.transfer import (
    Place,
    assign_layer_ranges,
    chunks_of_layers,
    full,
    layer_range_count,
    layers_of_range,
)
from crowrudder_model.fleet import LayerRange

regions = st.lists(st.integers(0, 3), min_size=1, max_size=40)


def places_of(region_numbers):
    return {
        f'h{number}': Place(f'r{region}', f'r{region}')
        for number, region in enumerate(region_numbers)
    }


class TestParts:
    @given(regions)
    def test_each_region_has_every_part_that_it_can(self, found):
        places = places_of(found)
        parts = assign_layer_ranges('m@2', places)
        count = layer_range_count(len(places))
        for region in set(found):
            own = {
                parts[host]
                for host in places
                if places[host].region == f'r{region}'
            }
            assert len(own) == min(found.count(region), count)
        assert len(set(parts.values())) == count

    @given(st.integers(1, 60))
    def test_the_fleet_has_as_many_hosts_of_each_part(self, hosts):
        parts = Counter(
            assign_layer_ranges('v', places_of([0] * hosts)).values()
        )
        assert max(parts.values()) - min(parts.values()) <= 1

    @given(
        layers=st.integers(1, 100),
        chunks=st.integers(1, 200),
        count=st.integers(1, 3),
    )
    def test_parts_are_all_layers_and_all_chunks(self, layers, chunks, count):
        ranges = [layers_of_range(part, count, layers) for part in range(count)]
        assert ranges[0].first == 0
        assert ranges[-1].end == layers
        for near, far in itertools.pairwise(ranges):
            assert near.end == far.first
        bits = 0
        for held in ranges:
            bits |= chunks_of_layers(held, layers=layers, chunks=chunks)
        assert bits == full(chunks)

    @given(
        layer=st.integers(0, 15),
        chunks=st.integers(1, 100),
    )
    def test_a_layer_has_each_chunk_that_touches_it(self, layer, chunks):
        bits = chunks_of_layers(
            LayerRange(layer, layer + 1), layers=16, chunks=chunks
        )
        for index in range(chunks):
            begins, ends = index / chunks, (index + 1) / chunks
            touches = ends > layer / 16 and begins < (layer + 1) / 16
            assert bool(bits >> index & 1) == touches
