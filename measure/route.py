"""Routing and overload, with the daemon's tasks in virtual time."""

from __future__ import annotations

import asyncio
import importlib
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from _route_fleet import SERVICE, FleetShape, MemoryFleet
from _route_policies import (
    LeastOutstandingRouter,
    PlainTwoRouter,
    RandomRouter,
    RoundRobinRouter,
    oracle,
    probing,
)
from _virtual_time import run_virtual
from attrs import define, field, frozen

from crowrudder_core.routing import Router
from crowrudder_daemon.entry._caller_request import (
    CallerRequest,
    CallHead,
    CompletionBody,
)
from crowrudder_daemon.entry._final_outcome import FinalOutcome
from crowrudder_daemon.entry._requests import RequestReceived
from crowrudder_model import Outcome
from crowrudder_model.declared import Customer

TOKENS = (8, 16, 24, 32, 48)
LOAD = 0.8
SLOWNESS = 3.0
SECONDS = 20.0
CACHE_SECONDS = 40.0
WARM_UP_S = 3.0
DEADLINE_S = 10.0
OVERLOAD_DEADLINE_S = 3.0
LARGE = Customer('large', share=0.5, rate_per_s=1e6, services=(SERVICE,))
SMALL = tuple(
    Customer(f'small-{number}', share=0.1, rate_per_s=1e6, services=(SERVICE,))
    for number in range(4)
)
CUSTOMERS = (LARGE, *SMALL)

Show = Callable[[str, float], None]


@frozen
class Sent:
    """Times of one request, in virtual seconds, and its outcome."""

    customer: str
    at: float
    first_s: float
    took_s: float
    outcome: Outcome


@define
class Load:
    """Open-loop arrivals at a fleet.

    Attributes
    ----------
    rates
        Requests per second by customer.
    """

    fleet: MemoryFleet
    rates: dict[str, float]
    deadline_s: float = DEADLINE_S
    prefixes: int = 0
    done: list[Sent] = field(factory=list)
    jobs: list[asyncio.Task[None]] = field(factory=list)

    async def run(self, seconds: float) -> None:
        """Send requests for some seconds and wait until all have ended."""
        senders = [
            self._send_for(customer, rate, seconds)
            for customer, rate in self.rates.items()
        ]
        await asyncio.gather(*senders)
        await asyncio.gather(*self.jobs)

    async def _send_for(
        self,
        customer: str,
        rate: float,
        seconds: float,
    ) -> None:
        rng = self.fleet.rng
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        number = 0
        while loop.time() < until:
            await asyncio.sleep(rng.expovariate(rate))
            number += 1
            req = self._request(customer, number)
            self.jobs.append(asyncio.ensure_future(self._send(req)))

    def _request(self, customer: str, number: int) -> CallerRequest:
        rng = self.fleet.rng
        prompt = f'{customer}-{number}'
        if self.prefixes:
            # A skewed distribution: few prompts are common, many are rare.
            prompt = f'prefix-{int(self.prefixes * rng.random() ** 2)}'
        return CallerRequest(
            head=CallHead(
                request_id=f'{customer}-{number}',
                customer=customer,
                budget_s=self.deadline_s,
                idempotent=number % 2 == 0,
                priority=5,
                id_generated=True,
            ),
            service=SERVICE,
            completion=CompletionBody(
                model=SERVICE,
                prompt=prompt,
                max_tokens=rng.choice(TOKENS),
            ),
        )

    async def _send(self, req: CallerRequest) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        first_s = 0.0
        events: asyncio.Queue[Any] = asyncio.Queue()
        self.fleet.rng.choice(self.fleet.entries).post(
            RequestReceived(req, events)
        )
        while not isinstance(event := await events.get(), FinalOutcome):
            first_s = first_s or loop.time() - began
        self.done.append(
            Sent(
                req.head.customer,
                began,
                first_s,
                loop.time() - began,
                event.outcome,
            ),
        )

    def after(self, seconds: float) -> list[Sent]:
        """Return the results of requests sent after the given seconds."""
        return [sent for sent in self.done if sent.at >= seconds]


def capacity(shape: FleetShape) -> float:
    """Return the requests per second of all engines with full batches."""
    mean_tokens = sum(TOKENS) / len(TOKENS)
    batch = 1 + 0.02 * (shape.slots - 1)
    run_s = shape.prefill_s + mean_tokens * shape.token_s * batch
    return shape.agents * shape.slots / run_s


def quantile(figures: list[float], share: float) -> float:
    """Return a quantile."""
    ordered = sorted(figures)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def measure_policy(make_router: Any) -> tuple[float, float, float]:
    """Return p99 latency, p95 time to first piece, and runs per request."""

    async def scenario() -> tuple[float, float, float]:
        shape = FleetShape(customers=CUSTOMERS)
        fleet = MemoryFleet(shape, make_router)
        if make_router in PLAIN_POLICIES:
            fleet.disable_second_queue_places()
        fleet.agents[0].engine.slowness = SLOWNESS
        await fleet.start()
        loop = asyncio.get_running_loop()
        loop.call_later(SECONDS / 2, fleet.agents[1].die, fleet.entries)
        # The slow agent has a third of its capacity and the crashed one none.
        rate = LOAD * capacity(shape) * (shape.agents - 5 / 3) / shape.agents
        load = Load(fleet, {'large': rate})
        await load.run(SECONDS)
        sent = load.after(WARM_UP_S)
        answered = [one for one in sent if one.outcome is Outcome.ANSWERED]
        runs = sum(agent.engine.runs for agent in fleet.agents)
        return (
            quantile([one.took_s for one in answered], 0.99),
            quantile([one.first_s for one in answered], 0.95),
            runs / len(load.done),
        )

    return run_virtual(scenario())


def measure_cache(make_router: Any) -> tuple[float, float]:
    """Return the cache hit ratio, and the busiest agent over the mean."""

    async def scenario() -> tuple[float, float]:
        shape = FleetShape(cached_prompts=24, customers=CUSTOMERS)
        fleet = MemoryFleet(shape, make_router)
        await fleet.start()
        load = Load(fleet, {'large': 0.6 * capacity(shape)}, prefixes=400)
        await load.run(CACHE_SECONDS)
        runs = [agent.engine.runs for agent in fleet.agents]
        hits = sum(agent.engine.hits for agent in fleet.agents)
        busy = [agent.engine.busy_s for agent in fleet.agents]
        return hits / sum(runs), max(busy) * len(busy) / sum(busy)

    return run_virtual(scenario())


def measure_overload(times: float) -> tuple[float, float]:
    """Return goodput over capacity, and the lowest share served.

    The share is that of answered requests of a small customer; all small
    customers stay within their entitlement.
    """

    async def scenario() -> tuple[float, float]:
        shape = FleetShape(agents=8, customers=CUSTOMERS)
        fleet = MemoryFleet(shape)
        await fleet.start()
        full = capacity(shape)
        small_rates = {customer.name: 0.09 * full for customer in SMALL}
        large = times * full - sum(small_rates.values())
        load = Load(fleet, {**small_rates, 'large': large}, OVERLOAD_DEADLINE_S)
        await load.run(SECONDS)
        sent = load.after(WARM_UP_S)
        answered = [one for one in sent if one.outcome is Outcome.ANSWERED]
        served_shares = []
        for customer in small_rates:
            own = [one for one in sent if one.customer == customer]
            served = [one for one in answered if one.customer == customer]
            served_shares.append(len(served) / len(own))
        return len(answered) / (SECONDS - WARM_UP_S) / full, min(served_shares)

    return run_virtual(scenario())


def measure_total_failure() -> float:
    """Return attempts per request while all agents of the service are dead."""

    async def scenario() -> float:
        fleet = MemoryFleet(FleetShape(customers=CUSTOMERS))
        await fleet.start()
        load = Load(fleet, {'large': 200.0})
        for agent in fleet.agents:
            agent.die([])
        await load.run(SECONDS)
        attempts = sum(entry.agents.attempts for entry in fleet.entries)
        return attempts / len(load.done)

    return run_virtual(scenario())


POLICIES: dict[str, Any] = {
    'random': lambda _fleet, rng: RandomRouter(rng),
    'round_robin': lambda _fleet, rng: RoundRobinRouter(rng),
    'least_outstanding': lambda _fleet, rng: LeastOutstandingRouter(rng),
    'two_by_reports': lambda _fleet, rng: PlainTwoRouter(rng),
    'probe_three': probing,
    'chosen_no_affinity': lambda _fleet, rng: Router(rng, affinity=False),
}


# Plain policies choose an agent once, so second queue places are disabled.
PLAIN_POLICIES = (
    oracle,
    *(
        POLICIES[name]
        for name in (
            'random',
            'round_robin',
            'least_outstanding',
            'two_by_reports',
        )
    ),
)


def run(show: Show) -> None:
    """Print the figures of routing and overload."""
    ideal = measure_policy(oracle)
    chosen = measure_policy(None)
    show('route.p99_over_ideal', chosen[0] / ideal[0])
    show('route.p95_ttft_over_ideal', chosen[1] / ideal[1])
    show('route.runs_per_request', chosen[2])
    for name, make_router in POLICIES.items():
        other = measure_policy(make_router)
        show(f'route.{name}.p99_over_ideal', other[0] / ideal[0])
        show(f'route.{name}.p95_ttft_over_ideal', other[1] / ideal[1])
    run_cache(show)
    run_overload(show)
    run_real(show)


def run_real(show: Show) -> None:
    """Print the figures of real processes, started by modules of scripts/."""
    sys.path.append(str(Path(__file__).parent.parent / 'scripts'))
    importlib.import_module('_route_real').run(show)


def run_cache(show: Show) -> None:
    """Print the figures of the prompt caches."""
    hits, fullest = measure_cache(None)
    best, _ = measure_cache(best_placement)
    show('route.cache_hit_ratio', hits / best)
    show('route.cache_fullest_over_mean', fullest)
    random_hits, random_fullest = measure_cache(POLICIES['random'])
    show('route.random.cache_hit_ratio', random_hits / best)
    show('route.random.cache_fullest_over_mean', random_fullest)


def run_overload(show: Show) -> None:
    """Print the figures of overload and total failure."""
    twice, five = measure_overload(2), measure_overload(5)
    show('route.goodput_overload', min(twice[0], five[0]))
    show('route.goodput_overload_2x', twice[0])
    show('route.goodput_overload_5x', five[0])
    show('route.small_customer_share', min(twice[1], five[1]))
    show('route.attempts_per_request', measure_total_failure())


def best_placement(fleet: MemoryFleet, rng: Any) -> Router:
    """Return a router that sends each prompt to one agent, however loaded."""
    return _PinnedRouter(rng)


class _PinnedRouter(Router):
    """Routes each prompt to a fixed agent."""

    def choose(self, need: Any, *, now: float) -> Any:
        """Choose the agent that the prompt is pinned to."""
        from crowrudder_core.routing import Choice
        from crowrudder_model import ranked

        hosts = self.candidates(need, now=now)
        return Choice(ranked(need.prefix, hosts)[0], 0) if hosts else None
