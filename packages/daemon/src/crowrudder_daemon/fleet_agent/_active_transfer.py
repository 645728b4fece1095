"""A version that is being fetched, and whether chunks still arrive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_core.transfer import Transfer
    from crowrudder_daemon.fleet_agent._digests import NamedManifest
    from crowrudder_daemon.fleet_agent._goal import Goal

STALL_TIMEOUT_S = 0.8
"""If no chunk of the newest version arrives for this long, the previous version
is fetched as well: the source of the newest may be down, and the loaded version
may expire soon."""


@define(eq=False)
class ActiveTransfer:
    """A version that is being fetched, and when its last chunk arrived."""

    goal: Goal
    named: NamedManifest
    transfer: Transfer
    held_count: int = -1
    last_chunk_at: float = 0

    def check_progress(self) -> None:
        """Record whether chunks arrived since the last call."""
        count = self.transfer.held.bit_count()
        if count != self.held_count:
            self.held_count = count
            self.last_chunk_at = clock_s()

    @property
    def is_stalled(self) -> bool:
        """Whether no chunk arrived within the stall timeout."""
        return clock_s() - self.last_chunk_at > STALL_TIMEOUT_S
