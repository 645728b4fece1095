"""The failure domains that operators have ordered to evacuate."""

from __future__ import annotations

import math

from attrs import define, field


@define
class Evacuations:
    """Evacuated failure domains, by the key of the record that orders it.

    Example
    -------
    >>> evacuations = Evacuations()
    >>> evacuations.on_ordered('k', 'a')
    True
    >>> evacuations.is_evacuated('a'), evacuations.is_evacuated('b')
    (True, False)
    """

    _by_key: dict[str, str] = field(factory=dict)
    _domains: frozenset[str] = frozenset()
    _returned_at: dict[str, float] = field(factory=dict)

    @property
    def domains(self) -> frozenset[str]:
        """The evacuated failure domains."""
        return self._domains

    def is_evacuated(self, failure_domain: str) -> bool:
        """Return whether nothing may be sent to a failure domain."""
        return failure_domain in self._domains

    def returned_at(self, failure_domain: str) -> float:
        """Return when its last evacuation ended; minus infinity if none has."""
        return self._returned_at.get(failure_domain, -math.inf)

    def on_ordered(self, key: str, failure_domain: str) -> bool:
        """Apply an order; return whether the failure domain wasn't evacuated."""
        is_new = not self.is_evacuated(failure_domain)
        self._by_key[key] = failure_domain
        self._domains = frozenset(self._by_key.values())
        return is_new

    def on_removed(self, key: str, *, now: float) -> str:
        """Apply the removal of an order.

        Return the failure domain whose evacuation has ended; empty if none
        has.
        """
        failure_domain = self._by_key.pop(key, '')
        self._domains = frozenset(self._by_key.values())
        if not failure_domain or self.is_evacuated(failure_domain):
            return ''
        self._returned_at[failure_domain] = now
        return failure_domain
