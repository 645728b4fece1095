"""Timing of the reports from an agent to its entries."""

from __future__ import annotations

import asyncio

from crowrudder_daemon.agent._run_messages import ResumeRuns
from crowrudder_model.messages import ReportRequest
from support.aio import run
from support.path import SERVICE, InProcessFleet

LONG_S = 600.0


class TestReports:
    """Reports must not exceed all other control traffic.

    An agent under load starts and ends runs many times a second. If each
    change of load were reported at once, every entry would receive each.
    """

    def test_load_waits_for_the_interval_and_a_new_version_does_not(self):
        async def story():
            async with InProcessFleet(agents=1) as path:
                agent, entry = path.agents[0], path.entries[0]
                ask = ReportRequest(host='e', interval_s=LONG_S)
                reports = agent.service._on_reports(ask, None)
                first = await anext(reports)
                following = asyncio.ensure_future(anext(reports))
                entry.ask('r', idempotent=True)
                await agent.upstream.begun.wait()
                early, _ = await asyncio.wait({following}, timeout=0.2)
                agent.runs.post(ResumeRuns(SERVICE, 'v2', ()))
                second = await following
                agent.upstream.gate.set()
                return bool(early), first.version, second.version

        assert run(story()) == (False, 'v1', 'v2')
