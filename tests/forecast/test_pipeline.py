"""Pipelines of engines that each hold some layers of a version."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from crowrudder_core.forecast import (
    LayerHolder,
    UpstreamForecast,
    build_pipeline,
)
from crowrudder_model.fleet import EngineFigures, LayerRange, Upstream
from crowrudder_model.messages import EngineLoad

LAYERS = 16


def make_holder(number, first, end, region='r'):
    upstream = Upstream(id=f'i{number}', service='s', address=f'a{number}:1')
    return LayerHolder(
        forecast=UpstreamForecast(upstream),
        layers=LayerRange(first, end),
        region=region,
    )


def build_pipeline_of(*holders, layers=LAYERS):
    return build_pipeline(
        holders[0], holders, layers=layers, random=random.Random(1)
    )


def load_report(**more):
    return EngineLoad(
        address='a:1',
        reachable=True,
        **{'partial_version': 2, 'first_layer': 0, 'end_layer': 5, **more},
    )


class TestPipeline:
    def test_thirds_form_a_pipeline_in_layer_order(self):
        pipeline = build_pipeline_of(
            make_holder(0, 0, 5), make_holder(1, 10, 16), make_holder(2, 5, 10)
        )
        assert pipeline is not None
        assert [str(part.address) for part in pipeline.parts] == [
            'a0:1',
            'a2:1',
            'a1:1',
        ]
        assert pipeline.crossings == 0

    def test_missing_layer_gives_no_pipeline(self):
        assert (
            build_pipeline_of(make_holder(0, 0, 5), make_holder(1, 6, 16))
            is None
        )
        assert (
            build_pipeline_of(make_holder(0, 1, 5), make_holder(1, 5, 16))
            is None
        )
        assert build_pipeline_of(make_holder(0, 0, 5)) is None
        assert build_pipeline_of(make_holder(0, 0, 5), layers=0) is None

    def test_stages_in_the_first_engines_region_are_preferred(self):
        pipeline = build_pipeline_of(
            make_holder(0, 0, 8),
            make_holder(1, 8, 16, region='far'),
            make_holder(2, 8, 16),
        )
        assert pipeline is not None
        assert pipeline.parts[1].address == 'a2:1'

    @given(
        st.lists(st.tuples(st.integers(0, 15), st.integers(1, 16)), max_size=12)
    )
    def test_pipeline_has_each_layer_once_and_in_order(self, ranges):
        """A gap or an overlap would run only some layers, or run some twice.

        Engines may hold overlapping ranges, as some hosts computed theirs from
        another list, and only the sender checks a pipeline. The symptom would
        be answers of meaningless text.
        """
        holders = [
            make_holder(number, first, end)
            for number, (first, end) in enumerate([(0, 5), *ranges])
        ]
        pipeline = build_pipeline_of(*holders)
        if pipeline is None:
            return
        layer_order = [
            layer
            for part in pipeline.parts
            for layer in range(part.layers.first, part.layers.end)
        ]
        assert layer_order == list(range(LAYERS))
        assert len({part.address for part in pipeline.parts}) == len(
            pipeline.parts
        )
        for part, found in zip(pipeline.parts, pipeline.holders, strict=True):
            assert found.layers.covers(part.layers)
            assert part.layers


class TestPartialVersion:
    def make_outlook(self):
        figures = EngineFigures(slots=4, step_s=0.01, layers=LAYERS)
        result = UpstreamForecast(Upstream(id='i', service='s', address='a:1'))
        result.on_engine_figures(figures)
        return result

    def test_fresh_load_report_gives_a_partial_version_only(self):
        one = self.make_outlook()
        one.on_load(load_report(), now=1)
        assert one.part(1.2) == (2, LayerRange(0, 5))
        assert one.weights(1.2) == 0

    def test_older_or_changing_load_report_gives_no_partial_version(self):
        """A token must not be computed by two versions.

        An engine drops its layers of version 2 for version 3 while an entry
        uses an earlier load report, which gives an answer of mixed weights. A
        report on a partial version must expire sooner than one on load.
        """
        one = self.make_outlook()
        one.on_load(load_report(), now=1)
        assert one.part(1.6) is None
        one.on_load(load_report(is_changing=True), now=2)
        assert one.part(2) is None

    def test_record_of_some_layers_is_not_a_complete_version(self):
        upstream = Upstream(
            id='i',
            service='s',
            address='a:1',
            weights=2,
            layers=LayerRange(0, 5),
        )
        one = self.make_outlook()
        one.on_record(upstream, now=1)
        assert one.weights(1) == 0
