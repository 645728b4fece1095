"""A fleet of real processes whose requests are held at fixed steps."""

from __future__ import annotations

import asyncio

from _books import Books, compare
from _caller import Caller, Request
from _chaos import Downtime, excused
from _declare import Declared, Weights
from _end_state import differing
from _fleet import Fleet, until
from _fleet_plan import FleetPlan

PLAN = FleetPlan(
    entries=2,
    engines=2,
    plains=0,
    slots=3,
    # A smaller share makes it random which request gets the last retry.
    retry_share=1,
    member_lag_s=0.05,
    poll_s=0.5,
    engine_options=(
        '--slots=2',
        '--token-interval=0.002',
        '--load-s=0',
        '--prefill=0',
    ),
)


STREAMS = 4


PENDING = 12


STREAM_TOKENS = 60


TOKENS = 20


PAUSE_S = 1.2


DEADLINE_MS = 15_000


BODY = b'{"model": "listing", "prompt": "late", "max_tokens": 1}'


LATE = (
    b'POST /v1/completions HTTP/1.1\r\nHost: entry\r\n'
    b'X-Customer: breeder-portal\r\nContent-Type: application/json\r\n'
    b'Content-Length: %d\r\n\r\n%s' % (len(BODY), BODY)
)


class Stage:
    """A fleet that holds requests mid stream, permitted and queued."""

    def __init__(self, fleet: Fleet, declared: Declared) -> None:
        self.fleet = fleet
        self.declared = declared
        self.callers: list[Caller] = []
        self.sent: list[asyncio.Task] = []
        self.endings: list[Downtime] = []
        self._round = 0

    async def set_up(self) -> None:
        await self.fleet.start()
        self.declared.set_replicas(PLAN.engines)
        weights = Weights('listing-v1', seed=1, size=4096, chunk_bytes=2048)
        await self.declared.publish(self.fleet, weights)
        await self.settled()
        await self._warm_up()

    async def settled(self) -> None:
        async def agreed() -> bool:
            return not await differing(self.fleet, self.declared)

        await until(agreed, step='settle', timeout_s=20)
        for entry in self.fleet.entries:
            await until(
                self._has_all_routes(entry), step='routes', timeout_s=10
            )

    async def hold(self) -> None:
        """Bring streams mid stream, then add permitted and queued requests."""
        self.sent, self.endings = [], []
        self._open_callers()
        await self._set_fault('stall', on=True)
        await asyncio.gather(*(self._start_stream(n) for n in range(STREAMS)))
        await self._set_fault('freeze', on=True)
        self.sent.extend(
            asyncio.create_task(
                self._caller(number).send(self._request(number))
            )
            for number in range(STREAMS, STREAMS + PENDING)
        )
        await until(self._is_full, step='fill', timeout_s=10)

    async def release(self) -> None:
        """Let all engines continue."""
        await self._set_fault('', on=False)

    async def _set_fault(self, fault: str, *, on: bool) -> None:
        running = [
            agent.upstream
            for agent in self.fleet.engine_agents
            if agent.upstream and agent.upstream.process.running
        ]
        await asyncio.gather(
            *(self.fleet.fault(each, fault, on=on) for each in running)
        )

    async def up(self, outside) -> None:
        async def answers() -> bool:
            url = f'{outside.url}/control/books'
            return await self.fleet.web.tried_answer(url)

        await until(answers, step='start', timeout_s=10)

    def kill(self, process) -> None:
        process.kill()
        self.endings.append(Downtime(process.name, 0, float('inf')))

    async def end(self):
        """Let the engines continue and compare the request logs."""
        await self.release()
        await asyncio.gather(*self.sent)
        await self.mend()
        answers = [each for one in self.callers for each in one.answers]
        for caller in self.callers:
            caller.close()
        return answers, compare(
            Books.read(self.fleet.journals()),
            answers,
            excused=lambda one: excused(one, self.fleet.entries, self.endings),
        )

    async def mend(self) -> None:
        """Restart the stopped processes, for the next test."""
        for process in self.fleet.processes:
            if not process.running:
                await self.fleet.start_process(process)
        for host in self.fleet.hosts:
            await self.fleet.await_alive(host)
        await self.settled()

    def host_of_stream(self):
        """Return the agent of the first stream, which is not idempotent."""
        request_id = self._request(0).request_id
        for agent in self.fleet.engine_agents:
            assert agent.upstream
            if request_id in agent.upstream.journal_path.read_text():
                return agent
        raise AssertionError(f'{request_id} runs nowhere')

    def started_twice(self, books: Books) -> list[str]:
        """Return the non-idempotent requests that started more than once."""
        all_requests = [self._request(n) for n in range(STREAMS + PENDING)]
        return [
            each.request_id
            for each in all_requests
            if not each.idempotent and books.starts[each.request_id] > 1
        ]

    def _request(self, number: int) -> Request:
        return Request(
            request_id=f'draft-{self._round}-{number}',
            customer='breeder-portal',
            model='listing',
            prompt=f'{self._round} {number}',
            max_tokens=STREAM_TOKENS if number < STREAMS else TOKENS,
            streamed=number < STREAMS or number % 4 > 1,
            idempotent=bool(number % 2),
            deadline_ms=DEADLINE_MS,
        )

    def _caller(self, number: int) -> Caller:
        """Return the caller of a request: the first two use the first entry."""
        return self.callers[number // 2 % len(self.callers)]

    async def _warm_up(self) -> None:
        """Open the connections, so that streams start close together."""
        self._open_callers()
        await asyncio.gather(
            *(
                self._caller(number).call(self._request(STREAMS + number))
                for number in range(PENDING)
            )
        )

    def _open_callers(self) -> None:
        self._round += 1
        self.callers = [
            Caller(f'http://127.0.0.1:{entry.member["http_port"]}', seed=1)
            for entry in self.fleet.entries
        ]

    async def _start_stream(self, number: int) -> None:
        started = asyncio.Event()
        sending = self._caller(number).send(
            self._request(number), on_chunk=started.set
        )
        self.sent.append(asyncio.create_task(sending))
        await started.wait()

    async def _is_full(self) -> bool:
        """Return whether every agent has full slots and a queue."""
        results = []
        for agent in self.fleet.engine_agents:
            status = await self.fleet.status(agent)
            full = status and status['running'] == PLAN.slots
            results.append(full and status['queued'])
        return all(results)

    def _has_all_routes(self, entry):
        async def has_all_routes() -> bool:
            url = f'{entry.admin_url}/explain?customer=breeder-portal'
            explanation = await self.fleet.web.tried_json(
                f'{url}&model=listing'
            )
            candidates = [
                each for each in explanation['routes'] if each['candidate']
            ]
            return len(candidates) == PLAN.engines

        return has_all_routes
