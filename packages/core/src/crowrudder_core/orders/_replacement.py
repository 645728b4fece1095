"""Orders that replace all layers of a version that an engine holds."""

from __future__ import annotations

from crowrudder_model.fleet import LayerRange


def replacement_steps(layers: LayerRange) -> tuple[LayerRange, ...]:
    """Return the ranges to order so that no layer of a held version is kept.

    An engine keeps the layers that two orders of one version have in common. The
    first range gives up all others, the second has none in common with it.

    There are none for a single layer.

    Example
    -------
    >>> [(step.first, step.end) for step in replacement_steps(LayerRange(0, 16))]
    [(0, 1), (1, 16), (0, 16)]
    """
    if layers.count < 2:
        return ()
    first = LayerRange(layers.first, layers.first + 1)
    return (first, LayerRange(first.end, layers.end), layers)
