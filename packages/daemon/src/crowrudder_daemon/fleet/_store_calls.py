"""Log lines and counts of a process's calls to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from crowrudder_daemon._clock import clock_s

if TYPE_CHECKING:
    from crowrudder_core.catalog import StoreReadPolicy, StoreStep
    from crowrudder_daemon.fleet.ports import Listing, PlatformError
    from crowrudder_daemon.process import Runtime


class StoreCalls:
    """Records each call with its outcome, its duration and the pause before it.

    Calls are made one after another, so that the time since the end of the
    previous call is the pause.
    """

    def __init__(self, runtime: Runtime, reading: StoreReadPolicy) -> None:
        self._log = runtime.log
        self._reading = reading
        self._began_at = clock_s()
        self._ended_at = self._began_at
        self._calls = runtime.metrics.counter(
            'platform_calls',
            'Calls to the platform by their outcome.',
            labels=('call', 'outcome'),
        )

    @property
    def began_at(self) -> float:
        """Time at which the latest call was sent."""
        return self._began_at

    def on_begun(self) -> None:
        """Record that a call is sent."""
        self._began_at = clock_s()

    def on_answer(self, step: StoreStep, listing: Listing) -> None:
        """Record a valid answer."""
        self._calls.add(call=step.value, outcome='ok')
        self._log.info(
            'platform call',
            extra={
                'era': listing.through.era,
                'revision': listing.through.revision,
                'changes': len(listing.items),
                **self._finished(step, 'ok'),
            },
        )

    def on_failure(
        self, step: StoreStep, outcome: str, exc: PlatformError
    ) -> None:
        """Record a call without a valid answer."""
        self._calls.add(call=step.value, outcome=outcome)
        self._log.warning(
            'platform call failed',
            extra={
                'reason': str(exc),
                'era': exc.era,
                'failures': self._reading.failures,
                **self._finished(step, outcome),
            },
        )

    def _finished(self, step: StoreStep, outcome: str) -> dict[str, Any]:
        """Record the end of the call; return the fields of its log line."""
        now = clock_s()
        pause_s = self._began_at - self._ended_at
        self._ended_at = now
        return {
            'step': step.value,
            'outcome': outcome,
            'rank': self._reading.rank,
            'duration_s': round(now - self._began_at, 3),
            'pause_s': round(pause_s, 3),
            'confirmed_s': round(self._reading.confirmed_s(now), 3),
        }
