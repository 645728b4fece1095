"""A fleet of real processes on which steps are played."""

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
    # Which of many requests gets the last retry is left to chance.
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


WAITING = 12


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
    """A fleet with requests that are held at their steps."""

    def __init__(self, fleet: Fleet, declared: Declared) -> None:
        self.fleet = fleet
        self.declared = declared
        self.callers: list[Caller] = []
        self.sent: list[asyncio.Task] = []
        self.endings: list[Downtime] = []
        self._story = 0

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
            await until(self._routes(entry), step='routes', timeout_s=10)

    async def hold(self) -> None:
        """Bring streams to their middle, then permitted and queued ones."""
        self.sent, self.endings = [], []
        self._open_callers()
        await self._switch('stall', on=True)
        await asyncio.gather(*(self._begin(n) for n in range(STREAMS)))
        await self._switch('freeze', on=True)
        self.sent.extend(
            asyncio.create_task(
                self._caller(number).send(self._request(number))
            )
            for number in range(STREAMS, STREAMS + WAITING)
        )
        await until(self._is_full, step='fill', timeout_s=10)

    async def release(self) -> None:
        """Let all engines go on."""
        await self._switch('', on=False)

    async def _switch(self, fault: str, *, on: bool) -> None:
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
        """Let the engines go on and compare the books."""
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
        """Start what was ended, for the next test."""
        for process in self.fleet.processes:
            if not process.running:
                await self.fleet.start_process(process)
        for host in self.fleet.hosts:
            await self.fleet.await_alive(host)
        await self.settled()

    def host_of_stream(self):
        """Find the agent that streams the first, which may not repeat."""
        request_id = self._request(0).request_id
        for agent in self.fleet.engine_agents:
            assert agent.upstream
            if request_id in agent.upstream.journal_path.read_text():
                return agent
        raise AssertionError(f'{request_id} runs nowhere')

    def started_twice(self, books: Books) -> list[str]:
        """Name requests that may not repeat and did."""
        every = [self._request(n) for n in range(STREAMS + WAITING)]
        return [
            each.request_id
            for each in every
            if not each.idempotent and books.starts[each.request_id] > 1
        ]

    def _request(self, number: int) -> Request:
        return Request(
            request_id=f'draft-{self._story}-{number}',
            customer='breeder-portal',
            model='listing',
            prompt=f'{self._story} {number}',
            max_tokens=STREAM_TOKENS if number < STREAMS else TOKENS,
            streamed=number < STREAMS or number % 4 > 1,
            idempotent=bool(number % 2),
            deadline_ms=DEADLINE_MS,
        )

    def _caller(self, number: int) -> Caller:
        """Give the first two streams to the first entry."""
        return self.callers[number // 2 % len(self.callers)]

    async def _warm_up(self) -> None:
        """Open the connections, so that streams begin close together."""
        self._open_callers()
        await asyncio.gather(
            *(
                self._caller(number).call(self._request(STREAMS + number))
                for number in range(WAITING)
            )
        )

    def _open_callers(self) -> None:
        self._story += 1
        self.callers = [
            Caller(f'http://127.0.0.1:{entry.member["http_port"]}', seed=1)
            for entry in self.fleet.entries
        ]

    async def _begin(self, number: int) -> None:
        begun = asyncio.Event()
        sending = self._caller(number).send(
            self._request(number), on_chunk=begun.set
        )
        self.sent.append(asyncio.create_task(sending))
        await begun.wait()

    async def _is_full(self) -> bool:
        """Tell whether slots are taken and others wait, at every agent."""
        found = []
        for agent in self.fleet.engine_agents:
            status = await self.fleet.status(agent)
            full = status and status['running'] == PLAN.slots
            found.append(full and status['queued'])
        return all(found)

    def _routes(self, entry):
        async def holds() -> bool:
            url = f'{entry.admin_url}/explain?customer=breeder-portal'
            told = await self.fleet.web.tried_json(f'{url}&model=listing')
            able = [each for each in told['routes'] if each['candidate']]
            return len(able) == PLAN.engines

        return holds
