"""A version that is being read, and whether its chunks still come."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.fleet_agent._digests import Named
    from crowrudder_daemon.fleet_agent._goal import Goal

STARVED_S = 0.8
"""Without a chunk of the newest version for so long, the one before is read as
well: its source may be away, and nothing may begin on the loaded one soon."""


@define(eq=False)
class Collecting:
    """A version that is being read, and when its last chunk came."""

    goal: Goal
    named: Named
    transfer: Transfer
    held: int = -1
    fed_at: float = 0

    def look(self) -> None:
        """Note whether chunks came."""
        count = self.transfer.held.bit_count()
        if count != self.held:
            self.held = count
            self.fed_at = clock_s()

    @property
    def is_starved(self) -> bool:
        """Whether no chunk came for a while."""
        return clock_s() - self.fed_at > STARVED_S
