"""The hosts of a service, and what the spread of a version takes from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_core.transfer._layer_ranges import part_count, parts_of
from crowrudder_model import ranked

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crowrudder_core.transfer._peers import Place


@define(kw_only=True)
class ServiceHosts:
    """Ranks and parts by version, worked out once for each list of hosts.

    What goes wrong when each use ranks all hosts anew: every engine that
    loads a version changes its record, and every agent then hashes the whole
    fleet several times over. It is seen as agents whose processor time grows
    with the square of the fleet while a version is spread.

    Parameters
    ----------
    host
        This host; it is in every list.
    """

    host: str
    places: Mapping[str, Place] = field(factory=dict)
    _ranks: dict[str, int] = field(factory=dict, init=False)
    _parts: dict[str, dict[str, int]] = field(factory=dict, init=False)

    def on_hosts(self, places: Mapping[str, Place]) -> None:
        """Take the list, this host included."""
        if places == self.places:
            return
        self.places = places
        self._ranks.clear()
        self._parts.clear()

    @property
    def others_by_region(self) -> tuple[list[str], list[str]]:
        """All hosts but this one: of the own region, and of others."""
        near: list[str] = []
        far: list[str] = []
        own = self.places[self.host].region
        for host, place in self.places.items():
            if host != self.host:
                (near if place.region == own else far).append(host)
        return near, far

    @property
    def part_count(self) -> int:
        """The parts into which a version is cut."""
        return part_count(len(self.places))

    def rank(self, version: str) -> int:
        """Give how many hosts stand before this one in a version's order."""
        if version not in self._ranks:
            self._ranks[version] = ranked(version, self.places).index(self.host)
        return self._ranks[version]

    def part(self, version: str) -> int:
        """Give the number of the part that this host collects first."""
        if version not in self._parts:
            self._parts[version] = parts_of(version, self.places)
        return self._parts[version][self.host]
