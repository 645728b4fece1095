"""Tests of requests from entry to agent over real RPC, with faults."""

from __future__ import annotations

import asyncio

from attrs import evolve

from crowrudder_daemon.agent._run_messages import DrainRuns
from crowrudder_daemon.entry._claims import select_voters
from crowrudder_daemon.entry._requests import CallerDisconnected
from crowrudder_model import Member, Outcome
from support.aio import run
from support.path import InProcessFleet, final, start_entry, until


def count_runs(path: InProcessFleet, request_id: str) -> int:
    """Count the runs in the request logs of the upstreams."""
    return sum(agent.upstream.ran.count(request_id) for agent in path.agents)


def count_claims(path: InProcessFleet) -> int:
    """Count the claims that the voters hold."""
    books = [agent.claims.book for agent in path.agents]
    return sum(len(book.held(now=0.0)) for book in books)


def open_gates(path: InProcessFleet) -> None:
    for agent in path.agents:
        agent.upstream.gate.set()


async def wait_until_begun(path: InProcessFleet, request_id: str) -> int:
    """Wait until an upstream begins a request; return the agent's index."""
    await until(lambda: count_runs(path, request_id))
    books = [agent.upstream.ran for agent in path.agents]
    return next(index for index, ids in enumerate(books) if request_id in ids)


class TestRepeatedIds:
    """The same request id sent through several entries."""

    def test_concurrent_and_later_repeats_run_once(self):
        """Guard against a request that runs twice through two entries.

        The caller sends the id through one entry, and through another both
        while it runs and after it ended. An entry that knows only its own
        ids runs it again, and an enquiry reaches the seller twice.
        """

        async def scenario() -> None:
            async with InProcessFleet(agents=5, entries=2) as path:
                first, second = path.entries
                running = first.ask('enquiry')
                await wait_until_begun(path, 'enquiry')
                at_once = await final(second.ask('enquiry'))
                open_gates(path)
                answered = await final(running)
                later = await final(second.ask('enquiry'))
                assert answered.outcome is Outcome.ANSWERED
                assert (at_once.http_status, later.http_status) == (409, 409)
                assert count_runs(path, 'enquiry') == 1

        run(scenario())

    def test_after_the_entry_died_it_does_not_run_again(self):
        async def scenario() -> None:
            async with InProcessFleet(agents=5, entries=2) as path:
                first, second = path.entries
                first.ask('enquiry')
                await wait_until_begun(path, 'enquiry')
                await first.kill()
                open_gates(path)
                again = await final(second.ask('enquiry'))
                assert again.http_status == 409
                assert count_runs(path, 'enquiry') == 1

        run(scenario())

    def test_after_the_agent_died_it_does_not_run_again(self):
        async def scenario() -> None:
            async with InProcessFleet(agents=6, entries=2) as path:
                first, second = path.entries
                running = first.ask('enquiry')
                index = await wait_until_begun(path, 'enquiry')
                await path.agents[index].kill()
                lost = await final(running)
                again = await final(second.ask('enquiry'))
                assert lost.outcome is Outcome.UNKNOWN
                assert again.outcome is Outcome.NOT_RUN
                assert count_runs(path, 'enquiry') == 1

        run(scenario())

    def test_after_a_rolling_restart_of_voters_it_does_not_run_again(self):
        """Guard against an id that runs again after a rolling restart.

        The id ran, every agent is drained and restarted, and the id is sent
        again through another entry. Voters that keep claims only in the
        memory of their process have lost the claim.
        """

        async def scenario() -> None:
            async with InProcessFleet(agents=5, entries=2) as path:
                open_gates(path)
                first, second = path.entries
                await final(first.ask('enquiry'))
                for agent in path.agents:
                    await agent.claims.hand_over()
                    agent.claims.book = type(agent.claims.book)()
                again = await final(second.ask('enquiry'))
                assert again.http_status == 409
                assert count_runs(path, 'enquiry') == 1

        run(scenario())

    def test_an_id_that_never_ran_is_free_again(self):
        async def scenario() -> None:
            async with InProcessFleet(agents=5, entries=2) as path:
                open_gates(path)
                for agent in path.agents:
                    agent.runs.state.leaving = True
                first, second = path.entries
                refused = await final(first.ask('enquiry'))
                assert refused.outcome is Outcome.NOT_RUN
                for agent in path.agents:
                    agent.runs.state.leaving = False
                path.tell()
                await until(lambda: not count_claims(path))
                answered = await final(second.ask('enquiry'))
                assert answered.outcome is Outcome.ANSWERED

        run(scenario())

    def test_an_id_answered_not_run_runs_later_at_the_same_agent(self):
        """Guard against repeated "not run" from a service of one replica.

        The id waits in the only agent's queue past its deadline, and the
        caller sends it again through the same entry. If attempts of both
        requests have the same key, the agent takes the second for a
        duplicate message.
        """

        async def scenario() -> None:
            async with InProcessFleet(agents=1) as path:
                entry = path.entries[0]
                for number in (1, 2):
                    entry.ask(f'r{number}', made_here=True)
                await wait_until_begun(path, 'r2')
                late = await final(entry.ask('enquiry', budget_s=0.2))
                assert late.outcome is Outcome.NOT_RUN
                open_gates(path)
                again = await final(entry.ask('enquiry'))
                assert again.outcome is Outcome.ANSWERED

        run(scenario())

    def test_nothing_runs_without_reachable_voters(self):
        async def scenario() -> None:
            async with InProcessFleet(agents=5) as path:
                open_gates(path)
                for agent in path.agents[:2]:
                    await agent.kill()
                entry = path.entries[0]
                refused = await final(entry.ask('enquiry'))
                assert refused.code == 'claim_out_of_reach'
                assert refused.http_status == 503
                assert refused.retry_after_s > 0
                own = await final(entry.ask('made-here', made_here=True))
                assert own.outcome is Outcome.ANSWERED
                assert not count_runs(path, 'enquiry')

        run(scenario())


class TestVoterSelection:
    """Selection of voters from the member list."""

    MEMBERS = tuple(
        Member(f'agent-{number}', 'agent', '127.0.0.1') for number in range(3)
    )

    def test_a_leaving_agent_is_no_voter(self):
        """Guard against two of three requests being refused during a drain.

        One of three agents is drained and ends, and the member list, which
        lags, still contains it. Claims fail if all three must grant them.
        """
        leaving = evolve(self.MEMBERS[0], state='leaving')
        voters = select_voters('r', (leaving, *self.MEMBERS[1:]))
        assert set(voters) == {'agent-1', 'agent-2'}

    def test_a_single_suspect_is_excluded_but_not_several(self):
        assert len(select_voters('r', self.MEMBERS, {'agent-1'})) == 2
        assert (
            len(select_voters('r', self.MEMBERS, {'agent-1', 'agent-2'})) == 3
        )


class TestPausedAgent:
    """A paused host: it accepts connections and sends nothing."""

    def test_the_final_outcome_arrives_at_the_deadline(self):
        """Guard against a caller that waits forever.

        The only agent's host accepts the connection and sends nothing. The
        deadline passes and the entry sends it a cancel. The final outcome
        must not wait until that cancel is sent.
        """

        async def scenario() -> None:
            server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            async with InProcessFleet(agents=1) as path:
                agent = path.agents[0]
                path.agents[0].member = Member(
                    'agent-0', 'agent', '127.0.0.1', rpc_port=port
                )
                path.tell()
                parts = path.entries[0].ask('r', budget_s=0.4, made_here=True)
                async with asyncio.timeout(0.8):
                    ended = await final(parts)
                assert ended.outcome is Outcome.NOT_RUN
                assert agent.upstream.ran == []
            server.close()

        run(scenario())

    def test_another_agent_takes_over(self):
        async def scenario() -> None:
            server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            async with InProcessFleet(agents=2) as path:
                open_gates(path)
                path.agents[0].member = Member(
                    'agent-0', 'agent', '127.0.0.1', rpc_port=port
                )
                path.tell()
                entry = path.entries[0]
                queues = [entry.ask(f'r{n}', made_here=True) for n in range(6)]
                ends = [await final(parts) for parts in queues]
                answered = [end.outcome is Outcome.ANSWERED for end in ends]
                assert any(answered)
                assert all(count_runs(path, f'r{n}') <= 1 for n in range(6))
            server.close()

        run(scenario())


class TestLostAgent:
    """An agent that dies during a run."""

    def test_an_idempotent_request_continues_elsewhere(self):
        async def scenario() -> None:
            async with InProcessFleet(agents=3) as path:
                running = path.entries[0].ask('r', idempotent=True)
                index = await wait_until_begun(path, 'r')
                open_gates(path)
                await path.agents[index].kill()
                ended = await final(running)
                assert ended.outcome is Outcome.ANSWERED
                assert ended.pieces == 3

        run(scenario())

    def test_a_request_that_is_not_idempotent_is_unknown_immediately(self):
        async def scenario() -> None:
            async with InProcessFleet(agents=3) as path:
                running = path.entries[0].ask('r', made_here=True)
                index = await wait_until_begun(path, 'r')
                async with asyncio.timeout(3):
                    await path.agents[index].kill()
                    ended = await final(running)
                assert ended.outcome is Outcome.UNKNOWN
                assert count_runs(path, 'r') == 1

        run(scenario())


class TestLostUpstream:
    """An upstream that dies while its agent stays alive."""

    def test_refused_connections_consume_no_retries_of_running_requests(self):
        """Guard against a failed idempotent stream while another engine lives.

        An engine is killed and its agent keeps forwarding queued requests.
        Each gets a refused connection and is retried elsewhere, as is the
        request that the engine was running. If each refused connection
        consumes a retry, though it reached no upstream, none is left for the
        request that had begun. That request ended neither complete nor as
        not run, 82 ms after it began.
        """

        async def scenario() -> None:
            async with InProcessFleet(agents=2) as path:
                entry = path.entries[0]
                running = entry.ask('r', idempotent=True)
                index = await wait_until_begun(path, 'r')
                lost = path.agents[index].upstream
                lost.is_gone = True
                path.agents[1 - index].upstream.gate.set()
                entry.requests._budget.share = 0
                entry.requests._budget.balance = 1
                others = [
                    entry.ask(f'o{number}', idempotent=True)
                    for number in range(8)
                ]
                for other in others:
                    await final(other)
                assert len(lost.refused) > 1
                lost.gate.set()
                ended = await final(running)
                assert ended.outcome is Outcome.ANSWERED
                assert ended.pieces == 3

        run(scenario())


class TestCallerDisconnects:
    """A caller that closes its connection."""

    def test_an_idempotent_run_is_cancelled_at_the_engine(self):
        """Guard against engines that keep generating for gone callers.

        The caller disconnects and the entry cancels the request's job. The
        cancelled read ends the stream, so a cancel sent on the same stream
        never arrives.
        """

        async def scenario() -> None:
            async with InProcessFleet(agents=1) as path:
                entry, upstream = path.entries[0], path.agents[0].upstream
                parts = entry.ask('r', idempotent=True)
                await wait_until_begun(path, 'r')
                entry.requests.post(CallerDisconnected(parts))
                await until(lambda: upstream.cancelled)
                await until(lambda: not path.agents[0].runs.state.running)

        run(scenario())

    def test_a_queued_request_is_removed_from_the_queue(self):
        async def scenario() -> None:
            async with InProcessFleet(agents=1) as path:
                entry, agent = path.entries[0], path.agents[0]
                running = [entry.ask(f'r{n}', made_here=True) for n in (1, 2)]
                await wait_until_begun(path, 'r2')
                parts = entry.ask('waits', made_here=True)
                await until(lambda: agent.runs.state.queued)
                entry.requests.post(CallerDisconnected(parts))
                await until(lambda: not agent.runs.state.queued)
                open_gates(path)
                for each in running:
                    assert (await final(each)).outcome is Outcome.ANSWERED
                assert not count_runs(path, 'waits')

        run(scenario())

    def test_a_run_that_is_not_idempotent_continues(self):
        async def scenario() -> None:
            async with InProcessFleet(agents=1) as path:
                entry = path.entries[0]
                parts = entry.ask('r')
                await wait_until_begun(path, 'r')
                entry.requests.post(CallerDisconnected(parts))
                open_gates(path)
                ended = await final(parts)
                assert ended.outcome is Outcome.ANSWERED
                assert not path.agents[0].upstream.cancelled

        run(scenario())


class TestDrain:
    """Agents that leave."""

    def test_a_refusal_by_a_draining_agent_consumes_no_retry(self):
        """Guard against refused requests while other hosts could serve.

        Several agents leave at once and refuse requests that were routed by
        stale reports. If such refusals count as retries after failures, they
        use up the retry budget.
        """

        async def scenario() -> None:
            async with InProcessFleet(agents=6) as path:
                open_gates(path)
                for agent in path.agents[:5]:
                    agent.runs.post(
                        DrainRuns(asyncio.get_running_loop().create_future())
                    )
                entry = path.entries[0]
                queues = [entry.ask(f'r{n}', made_here=True) for n in range(10)]
                ends = [await final(parts) for parts in queues]
                assert {end.outcome for end in ends} == {Outcome.ANSWERED}
                assert len(path.agents[5].upstream.ran) == 10

        run(scenario())


class TestNewEntry:
    """An entry that has just started."""

    def test_without_a_configuration_it_refuses_immediately(self):
        async def scenario() -> None:
            entry = start_entry(9)
            ended = await final(entry.ask('r'))
            assert ended.code == 'no_configuration'
            assert ended.retry_after_s > 0
            await entry.kill()

        run(scenario())
