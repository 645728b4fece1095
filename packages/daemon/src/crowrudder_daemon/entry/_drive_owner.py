"""What a request on its way needs of the task that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import asyncio

    from crowrudder_daemon.entry._agents import AgentPool
    from crowrudder_daemon.entry._caller_request import CallerRequest
    from crowrudder_daemon.entry._claims import Claim
    from crowrudder_daemon.entry._parts import Ended
    from crowrudder_daemon.knowledge import Snapshot
    from crowrudder_model.messages import RoomAsk


class DriveOwner(Protocol):
    """The task that owns the requests, as one of them sees it."""

    agents: AgentPool
    snapshot: Snapshot

    def spawn(self, job: Any) -> asyncio.Task[Any]:
        """Run a coroutine that ends with the owner at the latest."""

    def may_retry(self) -> bool:
        """Spend one retry."""

    def may_queue_twice(self) -> bool:
        """Spend one second place in a queue."""

    def share_of(self, customer: str) -> float:
        """Give the part of the slots that is declared for a customer."""

    def room_ask(self, req: CallerRequest) -> RoomAsk:
        """Give the question for room for a request."""

    def on_fault(self, exc: Exception) -> None:
        """Report a fault that no one expected."""

    def forget(self, request_id: str, claim: Claim | None) -> None:
        """Let an id that never ran be used again, here and elsewhere."""

    def note_end(self, ended: Ended) -> None:
        """Count a final word."""
