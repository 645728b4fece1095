"""The upstreams as an entry sees them, and the connections to them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from attrs import frozen

from crowrudder_core.forecast import Candidate, Outlook, choose
from crowrudder_core.limits import SharedRetryBudget
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.http import ConnectionPool

if TYPE_CHECKING:
    from crowrudder_core.catalog import FleetView
    from crowrudder_core.forecast import Choice
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import Node, Upstream
    from crowrudder_model.messages import EngineLoad


@frozen(kw_only=True)
class Wanted:
    """What a request needs of an upstream."""

    service: str
    model: str = ''
    prompt: int = 0
    avoid: frozenset[str] = frozenset()


class Upstreams:
    """Outlooks by upstream, kept in step with the published records."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        view: FleetView,
        peers: PeersTask,
    ) -> None:
        self._node = node
        self._view = view
        self._peers = peers
        self._random = random.Random(runtime.incarnation)
        self._outlooks: dict[str, Outlook] = {}
        self._ticket = 0
        bounds = node.bounds
        self._budget = SharedRetryBudget(
            share=bounds.retry_share,
            extra=bounds.retry_extra,
            window_s=bounds.retry_window_s,
        )
        self._opened = runtime.metrics.counter(
            'upstream_connections',
            'Connections to upstreams that were opened.',
        )
        self.pool = ConnectionPool(on_open=self._opened.add)

    def ticket(self) -> int:
        """Give a number that no other attempt of this process has."""
        self._ticket += 1
        return self._ticket

    def renew(self) -> None:
        """Follow the published records."""
        listed = {upstream.id: upstream for upstream in self._view.listed()}
        for gone in self._outlooks.keys() - listed.keys():
            outlook = self._outlooks.pop(gone)
            self._drop_connections(outlook.upstream, listed.values())
        for upstream in listed.values():
            self._renew_one(upstream)
        self.pool.sweep()

    def on_load(self, load: EngineLoad) -> None:
        """Take an agent's word on the engine at an address."""
        now = clock_s()
        for outlook in self._outlooks.values():
            if outlook.upstream.address == load.address:
                outlook.on_load(load, now=now)

    def choose(self, wanted: Wanted) -> Choice | None:
        """Choose an upstream for a request; None where none can serve."""
        now = clock_s()
        return choose(
            self._candidates(wanted, now),
            prompt=wanted.prompt,
            now=now,
            random=self._random,
        )

    def on_request(self, service: str) -> None:
        """Count a request for a service."""
        self._budget.on_first(service, now=clock_s())

    def take_retry(self, service: str) -> bool:
        """Spend one of the retries that all entries share."""
        now = clock_s()
        part = self._peers.roster.budget_share(now=now)
        return self._budget.take(service, part=part, now=now)

    def has_retry(self, service: str) -> bool:
        """Whether one of the shared retries could be spent."""
        now = clock_s()
        part = self._peers.roster.budget_share(now=now)
        return self._budget.has(service, part=part, now=now)

    def draw(self, weights: list[float]) -> int:
        """Draw an index by weights."""
        indices = range(len(weights))
        return self._random.choices(indices, weights=weights)[0]

    def status(self) -> list[dict[str, Any]]:
        """Tell what is known of each upstream."""
        now = clock_s()
        return [
            {
                'id': outlook.upstream.id,
                'service': outlook.upstream.service,
                'address': outlook.upstream.address,
                'weights': outlook.weights(now),
                'own': outlook.own,
                'others': outlook.others(now),
                'avoided': outlook.is_avoided(now),
                'slowness': round(outlook.slowness, 2),
            }
            for outlook in self._outlooks.values()
        ]

    def _candidates(self, wanted: Wanted, now: float) -> list[Candidate]:
        place = self._node.place
        others = len(self._peers.entries()) - 1
        oldest = self._view.releases.oldest_allowed(wanted.model, now=now)
        found = []
        for upstream in self._view.upstreams(wanted.service, now=now):
            outlook = self._outlooks.get(upstream.id)
            if outlook is None or upstream.id in wanted.avoid:
                continue
            if outlook.model is not None and not _can_begin(
                outlook, oldest, now
            ):
                continue
            outlook.other_entries = others
            domain = upstream.failure_domain
            found.append(
                Candidate(
                    outlook=outlook,
                    other_domain=domain != place.failure_domain,
                    other_region=place.region_of(domain) != place.region,
                ),
            )
        return found

    def _renew_one(self, upstream: Upstream) -> None:
        outlook = self._outlooks.get(upstream.id)
        if outlook is None:
            outlook = Outlook(upstream)
            self._outlooks[upstream.id] = outlook
        outlook.upstream = upstream
        config = self._view.config
        service = config.service(upstream.service) if config else None
        outlook.on_figures(service.engine if service else None)

    def _drop_connections(self, gone: Upstream, listed: Any) -> None:
        """Close idle connections, unless the address has a new upstream."""
        if all(upstream.address != gone.address for upstream in listed):
            self.pool.drop(gone.address)


def _can_begin(outlook: Outlook, oldest: int, now: float) -> bool:
    """Whether an engine has weights on which a request may begin now."""
    weights = outlook.weights(now)
    return bool(weights) and weights >= oldest and not outlook.is_changing(now)
