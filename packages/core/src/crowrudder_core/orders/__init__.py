"""Orders to engines: numbers that only rise."""

from crowrudder_core.orders._fencing import FencingNumber

__all__ = ('FencingNumber',)
