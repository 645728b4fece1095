from __future__ import annotations

import asyncio
import logging

from crowrudder_daemon.agent import build_agent
from crowrudder_daemon.agent._run_messages import PauseRuns
from crowrudder_daemon.agent.weights import SnapshotReceived, _task
from crowrudder_daemon.knowledge import Snapshot
from crowrudder_daemon.process import Runtime
from crowrudder_daemon.settings import parse_settings
from crowrudder_model import Member
from crowrudder_model.declared import (
    Declaration,
    Model,
    Service,
    Version,
    bundle_of,
)
from support.aio import run
from support.settings import ENGINE, text_of

MODELS = (Model('listing'),)
VERSIONS = (Version('listing-v1', 'listing', 'a' * 64, size=8, chunks=1),)
LISTING = Service('listing', model='listing', version='listing-v1')
PLACED = bundle_of(
    Declaration(
        generation=1,
        services=(LISTING,),
        models=MODELS,
        versions=VERSIONS,
    ),
)
WITHDRAWN = bundle_of(
    Declaration(generation=2, models=MODELS, versions=VERSIONS),
)
OWN = Member('engine-1', 'agent', '127.0.0.1', upstream='engine')
OTHER = Member('other', 'agent', '127.0.0.1', upstream='engine')


class RecordedRuns:
    """Fake runs task that records pauses and reports that nothing runs."""

    def __init__(self):
        self.paused = asyncio.Event()

    def post(self, message):
        if isinstance(message, PauseRuns):
            self.paused.set()
            message.idle.set_result(None)


async def paused_after(monkeypatch, *snapshots) -> tuple[bool, str]:
    """Return whether an agent paused its runs, and its loaded version."""
    monkeypatch.setattr(_task, 'WITHDRAW_AFTER_S', 0)
    runtime = Runtime(cfg=parse_settings(text_of(ENGINE)), log=logging.root)
    weights = build_agent(runtime).weights
    assert weights is not None
    runs = RecordedRuns()
    monkeypatch.setattr(weights, '_runs', runs)
    weights._engine_status.loaded = 'listing-v1'
    for snapshot in snapshots:
        weights.on_snapshot_received(SnapshotReceived(snapshot))
    job = weights._job
    if job is not None and weights.declared == '':
        await job
    await weights.stop()
    runtime.metrics.close()
    return runs.paused.is_set(), weights.loaded


class TestWithdrawnHost:
    """A host must stop serving a model that no file declares any more.

    A version is loaded, and a bundle without the service is accepted. If the
    weights task only cancels the transfer of a host without a goal and leaves
    its runs unpaused, the host keeps answering for the service.
    """

    def test_runs_pause_when_no_service_is_placed_on_the_host(
        self, monkeypatch
    ):
        found = run(
            paused_after(
                monkeypatch,
                Snapshot(PLACED, (OWN,)),
                Snapshot(WITHDRAWN, (OWN,)),
            )
        )
        assert found == (True, '')

    def test_member_list_without_the_host_does_not_pause_runs(
        self, monkeypatch
    ):
        found = run(
            paused_after(
                monkeypatch,
                Snapshot(PLACED, (OWN,)),
                Snapshot(PLACED, (OTHER,)),
            )
        )
        assert found == (False, 'listing-v1')
