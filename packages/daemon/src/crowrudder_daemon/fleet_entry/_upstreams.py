"""The upstreams as an entry sees them, and the connections to them."""

from __future__ import annotations

import math
import random
from functools import partial
from typing import TYPE_CHECKING, Any

from attrs import field, frozen

from crowrudder_core.forecast import (
    Candidate,
    Holder,
    Outlook,
    choose_fitting,
    path_from,
)
from crowrudder_core.forecast._choice import DRAWN
from crowrudder_core.forecast._outlook import PART_WORD_S
from crowrudder_core.limits import SharedRetryBudget
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet_entry._ends import (
    BEGIN_FORECASTS,
    BEGIN_MARGIN_S,
    FIRM_MARGIN_S,
    ON_THE_WAY_S,
    overdue_s,
)
from crowrudder_daemon.fleet_entry._life_probe import LifeProbe
from crowrudder_daemon.fleet_entry._limits import UpstreamLimits
from crowrudder_daemon.http import ConnectionPool

if TYPE_CHECKING:
    from crowrudder_core.catalog import FleetView
    from crowrudder_core.forecast import Choice, Path
    from crowrudder_daemon.fleet import PeersTask
    from crowrudder_daemon.fleet_entry._ends import Waiting
    from crowrudder_daemon.fleet_entry._quarantine import RequestQuarantine
    from crowrudder_daemon.process import Runtime
    from crowrudder_model.fleet import FleetConfig, Node, Upstream
    from crowrudder_model.messages import EngineLoad, LoadBatch


LOADING_BACK_S = 1.1
"""An engine that loads is back after so long: 0.7 s in which what runs there
may end, and 0.3 s for the load."""

ABSENT_BACK_S = 2.0
"""A host that starts again answers after two to three seconds, a version whose
source was away takes longer. Callers wait for at most a third of their time."""

LEAST_BACK_S = 0.1

_MS = 1000


@frozen(kw_only=True)
class Wanted:
    """What a request needs of an upstream.

    ``is_movable`` tells whether it may be taken away and sent elsewhere,
    ``may_pass_many`` whether it may be sent once more if one of several
    engines fails it.
    """

    service: str
    model: str = ''
    prompt: int = 0
    avoid: frozenset[str] = frozenset()
    is_movable: bool = False
    may_pass_many: bool = False


@frozen
class _Pool:
    """The outlooks of a service: of the own region, and of others."""

    near: list[Outlook] = field(factory=list)
    far: list[Outlook] = field(factory=list)


class Upstreams:
    """Outlooks by upstream, kept in step with the published records."""

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        view: FleetView,
        peers: PeersTask,
        quarantine: RequestQuarantine,
    ) -> None:
        self._quarantine = quarantine
        self.limits = UpstreamLimits(runtime, peers, self._region_of)
        self._node = node
        self._view = view
        self._peers = peers
        self._random = random.Random(runtime.incarnation)
        self._outlooks: dict[str, Outlook] = {}
        self._by_address: dict[str, list[Outlook]] = {}
        self._pools: dict[str, _Pool] = {}
        self._config: FleetConfig | None = None
        self._part_heard_at = -math.inf
        self._ticket = 0
        self._sent: dict[int, Waiting] = {}
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
        self.probe = LifeProbe(runtime, self.pool, quarantine)

    def begin_wait(self, attempt: Waiting) -> int:
        """Take an attempt that was sent; its number is no other one's."""
        self._ticket += 1
        self._sent[self._ticket] = attempt
        return self._ticket

    def end_wait(self, ticket: int) -> None:
        """Forget an attempt that has ended."""
        self._sent.pop(ticket, None)

    def renew(self) -> None:
        """Follow the published records."""
        listed = {upstream.id: upstream for upstream in self._view.listed()}
        for gone in self._outlooks.keys() - listed.keys():
            outlook = self._outlooks.pop(gone)
            self._quarantine.on_life_ended(gone)
            self.limits.on_gone(gone)
            self._drop_connections(outlook.upstream, listed.values())
        is_same = self._config is self._view.config
        self._config = self._view.config
        for upstream in listed.values():
            known = self._outlooks.get(upstream.id)
            if not is_same or known is None or known.upstream is not upstream:
                self._renew_one(upstream)
        self._index()
        for attempt in self._sent.values():
            attempt.on_versions()
        self.pool.sweep()

    def on_load(self, load: EngineLoad, *, age_s: float = 0) -> None:
        """Take an agent's word on the engine at an address."""
        now = clock_s()
        if load.part_version:
            self._part_heard_at = now
        for outlook in self._by_address.get(load.address, ()):
            is_new_life = outlook.on_load(load, now=now - age_s)
            if is_new_life:
                self.pool.drop(load.address)
            if is_new_life or not load.reachable:
                self._quarantine.on_life_ended(outlook.upstream.id)
            else:
                self._quarantine.on_life_sound(outlook.upstream.id, age_s=age_s)

    def on_loads(self, batch: LoadBatch) -> None:
        """Take words that another entry has heard."""
        for load, age_ms in zip(batch.loads, batch.ages_ms, strict=False):
            self.on_load(load, age_s=max(age_ms, 0) / _MS)

    def choose(self, wanted: Wanted) -> Choice | None:
        """Choose an upstream for a request; None where none can serve."""
        now = clock_s()
        others = len(self._peers.entries()) - 1
        return choose_fitting(
            self._pools_for(wanted, now),
            partial(self._fit, wanted, now, others),
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

    def back_in_s(self, service: str) -> float:
        """Estimate when a service that nobody can serve now is served again.

        What goes wrong with a short guess: callers come back into the same
        outage and use up their tries, seen as requests that are refused twice
        and lost, though the service is back before their time is over.
        """
        now = clock_s()
        pool = self._pools.get(service, _Pool())
        outlooks = [*pool.near, *pool.far]
        is_loading = any(outlook.is_changing(now) for outlook in outlooks)
        back_s = LOADING_BACK_S if is_loading else ABSENT_BACK_S
        limited_s = self.limits.wait_s(
            outlook.upstream.id for outlook in outlooks
        )
        return max(min(back_s, limited_s), LEAST_BACK_S)

    def _region_of(self, upstream_id: str) -> str:
        outlook = self._outlooks.get(upstream_id)
        place = self._node.place
        if outlook is None:
            return place.region
        return place.region_of(outlook.upstream.failure_domain)

    def begin_by(self, choice: Choice | Candidate, model: str) -> float:
        """Give until when a request has to begin at an upstream, or move on.

        What goes wrong without it: a request waits at a full engine whose
        version is replaced meanwhile, seen as a request that begins on the
        old version after its end. Keeping all requests away early enough
        instead leaves the hosts that load last without work: with 1.6 s,
        nearly all hosts of a fleet on slow links stood still at once.
        """
        if choice.outlook.model is None:
            return math.inf
        if choice.path is not None and self._view.releases.after(
            model, choice.weights
        ):
            # Its engines give their parts up for the newer version: what has
            # not begun by now is to go elsewhere.
            return clock_s()
        ends_at = self._view.releases.ends_at(model, choice.weights)
        return ends_at - BEGIN_MARGIN_S

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

    def _index(self) -> None:
        """Sort the outlooks by what they are looked up by."""
        self._by_address = {}
        self._pools = {}
        for outlook in self._outlooks.values():
            upstream = outlook.upstream
            self._by_address.setdefault(upstream.address, []).append(outlook)
            pool = self._pools.setdefault(upstream.service, _Pool())
            is_far = self._candidate(outlook, 0).other_region
            (pool.far if is_far else pool.near).append(outlook)

    def _pools_for(
        self, wanted: Wanted, now: float
    ) -> list[tuple[list[Outlook | Candidate], int]]:
        """Give what to draw from: first engines that are heard often.

        What is known of these is the youngest; an older word sends more
        requests to one engine than it has room for.
        """
        pool = self._pools.get(wanted.service, _Pool())
        paths = self._path_candidates(wanted, now)
        close: list[Outlook | Candidate] = []
        others: list[Outlook | Candidate] = []
        for outlook in pool.near:
            load = outlook.fresh_load(now)
            is_close = load is not None and load.is_close
            (close if is_close else others).append(outlook)
        close += [each for each in paths if not each.other_region]
        far: list[Outlook | Candidate] = [
            *pool.far,
            *(each for each in paths if each.other_region),
        ]
        near_enough = DRAWN - 1
        return [(close, near_enough), (others, near_enough), (far, DRAWN)]

    def _fit(
        self,
        wanted: Wanted,
        now: float,
        other_entries: int,
        option: Outlook | Candidate,
    ) -> Candidate | None:
        """Give what an option stands for, if the request can begin there."""
        if isinstance(option, Candidate):
            has_room = self.limits.has_room(option.outlook.upstream.id)
            return option if has_room else None
        upstream_id = option.upstream.id
        if upstream_id in wanted.avoid:
            return None
        if not self.limits.has_room(upstream_id):
            return None
        if not self._view.takes_requests(upstream_id, now=now):
            return None
        option.other_entries = other_entries
        candidate = self._candidate(option, option.weights(now))
        return candidate if self._can_begin(candidate, wanted, now) else None

    def _usable(self, wanted: Wanted, now: float) -> list[Outlook]:
        """Give the service's upstreams that this request may go to."""
        return [
            self._outlooks[upstream.id]
            for upstream in self._view.upstreams(wanted.service, now=now)
            if upstream.id in self._outlooks and upstream.id not in wanted.avoid
        ]

    def _candidate(
        self, outlook: Outlook, weights: int, path: Path | None = None
    ) -> Candidate:
        place = self._node.place
        domain = outlook.upstream.failure_domain
        return Candidate(
            outlook=outlook,
            other_domain=domain != place.failure_domain,
            other_region=place.region_of(domain) != place.region,
            weights=weights if outlook.model else 0,
            path=path,
        )

    def _path_candidates(self, wanted: Wanted, now: float) -> list[Candidate]:
        """Give paths over engines that hold parts of the newest version.

        They serve where hosts hold nothing whole yet: after a power cut, or
        when the version before has ended while the newest one is on its way.
        """
        if not wanted.may_pass_many or now - self._part_heard_at > PART_WORD_S:
            return []
        version, holders = self._holders(wanted, now)
        found = []
        for first in holders:
            model = first.outlook.model
            path = path_from(
                first,
                holders,
                layers=model.figures.layers if model else 0,
                random=self._random,
            )
            if path is not None:
                found.append(self._candidate(first.outlook, version, path))
        return found

    def _holders(self, wanted: Wanted, now: float) -> tuple[int, list[Holder]]:
        """Give the engines with parts of one version, the newest named one.

        Of that one alone: an engine may change to a newer version while a
        word on its part of an older one is still believed.
        """
        parts = [
            (outlook, part)
            for outlook in self._usable(wanted, now)
            if (part := outlook.part(now)) and not outlook.is_avoided(now)
        ]
        models = {
            outlook.model.figures.model for outlook, _ in parts if outlook.model
        }
        newest = self._view.releases.newest(next(iter(models), wanted.model))
        held = max((version for _, (version, _) in parts), default=0)
        version = newest.version if newest else held
        region_of = self._node.place.region_of
        return version, [
            Holder(
                outlook=outlook,
                layers=layers,
                region=region_of(outlook.upstream.failure_domain),
            )
            for outlook, (each, layers) in parts
            if each == version
        ]

    def _can_begin(
        self, candidate: Candidate, wanted: Wanted, now: float
    ) -> bool:
        """Whether a request can begin there on weights that it may have."""
        outlook = candidate.outlook
        if outlook.model is None:
            return True
        if not candidate.weights or outlook.is_changing(now):
            return False
        left_s = self.begin_by(candidate, wanted.model) - now
        left_s -= overdue_s(
            outlook.word_age_s(now), is_far=candidate.other_region
        )
        if left_s > FIRM_MARGIN_S - BEGIN_MARGIN_S:
            return True
        if not wanted.is_movable:
            return False
        first_s = outlook.first_s(wanted.prompt, now)
        return left_s > max(BEGIN_FORECASTS * first_s, ON_THE_WAY_S)

    def _renew_one(self, upstream: Upstream) -> None:
        outlook = self._outlooks.get(upstream.id)
        if outlook is None:
            outlook = Outlook(upstream)
            self._outlooks[upstream.id] = outlook
        if outlook.on_record(upstream, now=clock_s()):
            # Kept connections lead to the earlier life.
            self.pool.drop(upstream.address)
        config = self._view.config
        service = config.service(upstream.service) if config else None
        outlook.on_figures(service.engine if service else None)

    def _drop_connections(self, gone: Upstream, listed: Any) -> None:
        """Close idle connections, unless the address has a new upstream."""
        if all(upstream.address != gone.address for upstream in listed):
            self.pool.drop(gone.address)
