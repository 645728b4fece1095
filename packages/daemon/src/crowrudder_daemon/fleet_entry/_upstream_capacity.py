"""Whether an upstream has a connection and memory left for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import define, field

from crowrudder_core.forecast import has_memory_for

if TYPE_CHECKING:
    from crowrudder_core.forecast import UpstreamForecast
    from crowrudder_daemon.http import ConnectionPool
    from crowrudder_daemon.process import Runtime


@define(eq=False)
class UpstreamCapacity:
    """Checks connections and memory, and counts the upstreams passed over."""

    _runtime: Runtime
    _pool: ConnectionPool
    _connections_kept: Any = field(init=False)
    _memory_kept: Any = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Declare the metrics."""
        metrics = self._runtime.metrics
        self._connections_kept = metrics.counter(
            'connection_limits_kept',
            'Upstreams passed over as all connections of this entry are in use.',
        )
        self._memory_kept = metrics.counter(
            'memory_limits_kept',
            'Engines passed over as a request would not fit their memory.',
        )

    def has_connection(self, address: str) -> bool:
        """Return whether a connection is idle or may be opened."""
        has_room = self._pool.has_room(address)
        if not has_room:
            self._connections_kept.add()
        return has_room

    def on_connection_limit(self) -> None:
        """Count a request that got no connection after its choice."""
        self._connections_kept.add()

    def has_memory(
        self, forecast: UpstreamForecast, memory: int, now: float
    ) -> bool:
        """Return whether a request fits an engine's memory, if it is known."""
        has_room = has_memory_for(forecast, memory, now)
        if not has_room:
            self._memory_kept.add()
        return has_room
