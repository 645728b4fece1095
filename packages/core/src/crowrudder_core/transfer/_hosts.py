"""The hosts of a service, with their ranks and layer ranges by version."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.transfer._layer_ranges import (
    assign_layer_ranges,
    layer_range_count,
)
from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crowrudder_core.transfer._peers import Place


@define(kw_only=True)
class ServiceHosts:
    """Caches ranks and layer ranges by version until the host list changes.

    Ranking all hosts at each use makes the agents' CPU time grow with the
    square of the fleet while a version is distributed: every engine that loads
    a version changes its record, and every agent then hashes the whole fleet
    several times.

    Parameters
    ----------
    host
        This host; every host list includes it.
    """

    host: str
    places: Mapping[str, Place] = field(factory=dict)
    _ranks: dict[str, int] = field(factory=dict, init=False)
    _layer_range_numbers: dict[str, dict[str, int]] = field(
        factory=dict, init=False
    )

    def on_hosts(self, places: Mapping[str, Place]) -> None:
        """Update the host list, which includes this host."""
        if places == self.places:
            return
        self.places = places
        self._ranks.clear()
        self._layer_range_numbers.clear()

    @property
    def others_by_region(self) -> tuple[list[str], list[str]]:
        """The other hosts: those of this region, and those of other regions."""
        same_region: list[str] = []
        other_regions: list[str] = []
        own_region = self.places[self.host].region
        for host, place in self.places.items():
            if host != self.host:
                (
                    same_region if place.region == own_region else other_regions
                ).append(host)
        return same_region, other_regions

    @property
    def layer_range_count(self) -> int:
        """Number of layer ranges that a version is split into."""
        return layer_range_count(len(self.places))

    def rank(self, version: str) -> int:
        """Return this host's rank in the rendezvous order of a version."""
        if version not in self._ranks:
            self._ranks[version] = ranked(version, self.places).index(self.host)
        return self._ranks[version]

    def layer_range(self, version: str) -> int:
        """Return the number of the layer range to collect first."""
        if version not in self._layer_range_numbers:
            self._layer_range_numbers[version] = assign_layer_ranges(
                version, self.places
            )
        return self._layer_range_numbers[version][self.host]
