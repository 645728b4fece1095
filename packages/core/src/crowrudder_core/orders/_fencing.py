"""The fencing number by which an engine refuses an outdated agent's order."""

from __future__ import annotations

from attrs import frozen

COUNT_BITS = 12
RANK_BITS = 16
_COUNT_LIMIT = 1 << COUNT_BITS
_RANK_HEX_DIGITS = RANK_BITS // 4


@frozen(order=True)
class FencingNumber:
    """A fencing number in its parts, ordered as the engine orders it.

    The upper bits follow the total order of configurations, (generation,
    digest), so that an order for an older configuration has the lower number
    whichever agent sends it and whenever. The whole number stays below 2 ** 53
    for generations of 24 bits, so engines may keep it in a double.

    >>> number = FencingNumber(generation=3, rank=0xABCD, count=1)
    >>> FencingNumber.unpack(number.packed) == number
    True

    Parameters
    ----------
    generation
        Generation of the configuration that the order applies.
    rank
        The leading bits of its digest; distinguishes racing bundles.
    count
        Orders sent for this configuration, by any agent.
    """

    generation: int = 0
    rank: int = 0
    count: int = 0

    @classmethod
    def unpack(cls, packed: int) -> FencingNumber:
        """Split the number that an engine reports into its parts."""
        upper_bits, count = divmod(packed, _COUNT_LIMIT)
        generation, rank = divmod(upper_bits, 1 << RANK_BITS)
        return cls(generation, rank, count)

    @classmethod
    def first_of(cls, generation: int, digest: str) -> FencingNumber:
        """Return the number below all orders of a configuration."""
        return cls(generation, int(digest[:_RANK_HEX_DIGITS] or '0', 16))

    @property
    def packed(self) -> int:
        """The number in the form that the engine receives."""
        upper_bits = (self.generation << RANK_BITS) + self.rank
        return (upper_bits << COUNT_BITS) + self.count

    @property
    def configuration(self) -> tuple[int, int]:
        """The parts that depend on the configuration alone."""
        return (self.generation, self.rank)

    def raised(self) -> FencingNumber:
        """Return the next number of the same configuration.

        The last number is returned repeatedly: engines refuse only lower
        numbers, and an overflow into the rank would exceed the numbers of a
        newer bundle.
        """
        count = min(self.count + 1, _COUNT_LIMIT - 1)
        return FencingNumber(self.generation, self.rank, count)
