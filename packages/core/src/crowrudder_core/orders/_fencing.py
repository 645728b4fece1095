"""The number that an engine uses to refuse an older agent's order."""

from __future__ import annotations

from attrs import frozen

COUNT_BITS = 12
RANK_BITS = 16
_COUNT_LIMIT = 1 << COUNT_BITS
_RANK_DIGITS = RANK_BITS // 4


@frozen(order=True)
class FencingNumber:
    """A fencing number in its parts, ordered as the engine orders it.

    The upper bits follow the total order of configurations, (generation,
    digest), so that an order for an older configuration is the lower number
    whoever gives it and whenever. The whole stays below 2 ** 53 for 24 bits
    of generation, so that engines may keep it in a double.

    >>> number = FencingNumber(generation=3, rank=0xABCD, count=1)
    >>> FencingNumber.unpack(number.packed) == number
    True

    Parameters
    ----------
    generation
        Generation of the configuration that the order carries out.
    rank
        The leading bits of its digest; tells racing bundles apart.
    count
        Orders given for this configuration, by any agent.
    """

    generation: int = 0
    rank: int = 0
    count: int = 0

    @classmethod
    def unpack(cls, packed: int) -> FencingNumber:
        """Take the parts out of the number that an engine tells."""
        ranked, count = divmod(packed, _COUNT_LIMIT)
        generation, rank = divmod(ranked, 1 << RANK_BITS)
        return cls(generation, rank, count)

    @classmethod
    def first_of(cls, generation: int, digest: str) -> FencingNumber:
        """Give the number below all orders of a configuration."""
        return cls(generation, int(digest[:_RANK_DIGITS] or '0', 16))

    @property
    def packed(self) -> int:
        """The number as an engine takes it."""
        ranked = (self.generation << RANK_BITS) + self.rank
        return (ranked << COUNT_BITS) + self.count

    @property
    def configuration(self) -> tuple[int, int]:
        """The part that the configuration alone decides."""
        return (self.generation, self.rank)

    def raised(self) -> FencingNumber:
        """Give the next number of the same configuration.

        The last number is given again and again: engines refuse only lower
        ones, and running over into the rank would outbid a newer bundle.
        """
        count = min(self.count + 1, _COUNT_LIMIT - 1)
        return FencingNumber(self.generation, self.rank, count)
