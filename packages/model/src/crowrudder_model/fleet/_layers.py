"""Ranges of a model's layers."""

from __future__ import annotations

from attrs import frozen


@frozen
class LayerRange:
    """Layers from ``first`` up to but not including ``end``.

    Example
    -------
    >>> LayerRange(5, 10).covers(LayerRange(5, 7))
    True
    >>> bool(LayerRange())
    False
    """

    first: int = 0
    end: int = 0

    def __bool__(self) -> bool:
        """Return whether the range has any layer."""
        return self.end > self.first

    @property
    def count(self) -> int:
        """The number of layers."""
        return max(self.end - self.first, 0)

    def covers(self, other: LayerRange) -> bool:
        """Return whether this range has all layers of another."""
        return self.first <= other.first and other.end <= self.end

    def overlaps(self, other: LayerRange) -> bool:
        """Return whether the ranges have a layer in common.

        >>> LayerRange(0, 1).overlaps(LayerRange(1, 16))
        False
        """
        return max(self.first, other.first) < min(self.end, other.end)

    def is_complete(self, layers: int) -> bool:
        """Return whether the range has all layers of a model.

        ``layers`` is the number of layers of the model; 0 if it is unknown.
        Any non-empty range counts as complete then.
        """
        if not layers:
            return bool(self)
        return bool(self) and self.covers(LayerRange(0, layers))


NO_LAYERS = LayerRange()


@frozen
class PipelineStage:
    """A stage of a request's pipeline: an upstream and the layers it runs."""

    address: str
    layers: LayerRange
