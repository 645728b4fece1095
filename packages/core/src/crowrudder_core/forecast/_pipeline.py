"""Pipelines of engines that each hold some layers of a version."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from attrs import frozen

from crowrudder_model.fleet import LayerRange, PipelineStage

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from crowrudder_core.forecast._upstream_forecast import UpstreamForecast

MAX_STAGES = 4
"""Most engines of a pipeline; each adds a point of failure and a hop per
token."""


@frozen(kw_only=True)
class LayerHolder:
    """An engine that holds a layer range of a version."""

    forecast: UpstreamForecast
    layers: LayerRange
    region: str = ''

    def stage_from(self, first: int, layers: int) -> PipelineStage:
        """Return its pipeline stage from layer ``first`` on."""
        end = min(self.layers.end, layers)
        return PipelineStage(
            self.forecast.upstream.address, LayerRange(first, end)
        )


@frozen(kw_only=True)
class Pipeline:
    """A pipeline: engines that run all layers, each once and in order."""

    holders: tuple[LayerHolder, ...]
    parts: tuple[PipelineStage, ...]

    @property
    def crossings(self) -> int:
        """Number of hops between regions."""
        regions = [holder.region for holder in self.holders]
        return sum(
            previous_region != next_region
            for previous_region, next_region in itertools.pairwise(regions)
        )


def build_pipeline(
    first: LayerHolder,
    holders: Sequence[LayerHolder],
    *,
    layers: int,
    random: Random,
) -> Pipeline | None:
    """Build a pipeline from its first engine; None where layers are missing.

    All holders must be of one version. Nothing else checks that a pipeline has
    each layer once and in order; it is built layer range by layer range, so it
    can't have a gap or an overlap.

    Parameters
    ----------
    layers
        Layers of the model.
    """
    if first.layers.first != 0 or not layers:
        return None
    chosen = [first]
    stages = [first.stage_from(0, layers)]
    while stages[-1].layers.end < layers:
        next_layer = stages[-1].layers.end
        eligible = [
            holder
            for holder in holders
            if holder.layers.first <= next_layer < holder.layers.end
            and holder not in chosen
        ]
        if not eligible or len(chosen) == MAX_STAGES:
            return None
        best = min(
            eligible,
            key=lambda each: (
                each.region != first.region,
                each.forecast.own + random.random(),
            ),
        )
        chosen.append(best)
        stages.append(best.stage_from(next_layer, layers))
    return Pipeline(holders=tuple(chosen), parts=tuple(stages))
