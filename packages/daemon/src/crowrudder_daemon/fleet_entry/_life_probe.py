"""Look whether an upstream that closed a connection is still there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.http import NotConnectedError

if TYPE_CHECKING:
    from crowrudder_core.forecast import Outlook
    from crowrudder_daemon.fleet_entry._quarantine import RequestQuarantine
    from crowrudder_daemon.http import ConnectionPool
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Upstream

PROBE_S = 0.5
"""Longest wait for a connection."""


@define(eq=False)
class LifeProbe:
    """Tells the quarantine of upstreams that accept no connection.

    An agent tells that of the engine beside it; of plain services nobody does
    until their record lapses, which takes seconds.
    """

    _runtime: Runtime
    _pool: ConnectionPool
    _quarantine: RequestQuarantine
    _under_way: set[str] = field(factory=set)

    def look_at(self, outlook: Outlook) -> None:
        """Begin to look, unless an agent tells or a look is under way."""
        life = outlook.upstream.id
        if life in self._under_way or outlook.fresh_load(clock_s()):
            return
        self._under_way.add(life)
        self._runtime.spawn(self._look_at(outlook.upstream), step='probe')

    async def _look_at(self, upstream: Upstream) -> None:
        try:
            conn = await self._pool.take(
                upstream.address, timeout_s=PROBE_S, fresh=True
            )
        except NotConnectedError as exc:
            if exc.is_refused:
                self._quarantine.on_life_ended(upstream.id)
        else:
            # Its next life may listen there already: it proves nothing.
            conn.close()
        finally:
            self._under_way.discard(upstream.id)
