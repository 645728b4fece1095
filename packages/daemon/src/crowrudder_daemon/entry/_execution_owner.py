"""Interface of the task that owns a running request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import asyncio

    from crowrudder_daemon.entry._agents import AgentPool
    from crowrudder_daemon.entry._caller_request import CallerRequest
    from crowrudder_daemon.entry._claims import Claim
    from crowrudder_daemon.entry._final_outcome import FinalOutcome
    from crowrudder_daemon.knowledge import Snapshot
    from crowrudder_model.messages import CapacityRequest


class ExecutionOwner(Protocol):
    """The task that owns the requests, as a request's execution sees it."""

    agents: AgentPool
    snapshot: Snapshot

    def spawn(self, job: Any) -> asyncio.Task[Any]:
        """Run a coroutine that is cancelled when the owner stops."""

    def may_retry(self) -> bool:
        """Return whether the retry budget allows a retry; consume one."""

    def may_queue_twice(self) -> bool:
        """Return whether a second queue place is allowed; consume one."""

    def share_of(self, customer: str) -> float:
        """Return the share of the slots that is declared for a customer."""

    def capacity_request(self, req: CallerRequest) -> CapacityRequest:
        """Return the capacity request for a caller's request."""

    def on_fault(self, exc: Exception) -> None:
        """Report an unexpected exception."""

    def release_id(self, request_id: str, claim: Claim | None) -> None:
        """Release an id that never ran, here and at its voters."""

    def record_end(self, ended: FinalOutcome) -> None:
        """Count a final outcome."""
