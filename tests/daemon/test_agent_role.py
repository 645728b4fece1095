from __future__ import annotations

import logging

from crowrudder_daemon.agent import build_agent
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

BUNDLE = bundle_of(
    Declaration(
        generation=1,
        services=(
            Service(
                'listing',
                model='listing',
                version='listing-v1',
                replicas=1,
            ),
        ),
        models=(Model('listing'),),
        versions=(
            Version('listing-v1', 'listing', 'a' * 64, size=8, chunks=1),
        ),
    ),
)


def agent_on(host):
    return Member(
        host,
        'agent',
        '127.0.0.1',
        failure_domain='north-a',
        region='north',
        upstream='engine',
    )


async def status_with(snapshot):
    runtime = Runtime(
        cfg=parse_settings(text_of(ENGINE)), log=logging.getLogger('test')
    )
    role = build_agent(runtime)
    role.knowledge.snapshot = snapshot
    try:
        return role.status()
    finally:
        runtime.metrics.close()


class TestSpareHost:
    """A host on which no service is placed is in the declared state.

    Symptom: `crowrudder status --wait` never exited with 0 on a fleet with more
    engines than replicas. Sequence: the files place a service on one of two
    hosts; the other reports that its upstream has nothing loaded. Cause: the
    reasons why a host can't serve were reported as obstacles to the declared
    state.
    """

    def test_spare_host_is_not_hindered(self):
        found = run(status_with(Snapshot(BUNDLE, (agent_on('other'),))))
        assert found['hinders'] == []

    def test_placed_host_is_hindered_until_it_has_loaded(self):
        found = run(status_with(Snapshot(BUNDLE, (agent_on('engine-1'),))))
        assert found['hinders'] == ['the upstream has nothing loaded']

    def test_host_without_configuration_is_hindered(self):
        found = run(status_with(Snapshot()))
        assert 'no configuration was accepted yet' in found['hinders']
