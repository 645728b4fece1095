"""The programs as they are deployed: separate processes, settings in a file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys

import pytest

from crowrudder_daemon.http import ConnectionPool, WireRequest
from crowrudder_standins.fleet_replica import stream_of
from support.aio import run
from support.fleet import HOST, KEY, PEER_PORTS, FleetWorld
from support.ports import free_port

ENTRY_IP = '127.0.0.51'
AGENT_IP = '127.0.0.52'
SETTINGS = """
node_name: "{name}"
role: "{role}"
machine_class: "any"
serves: {serves}
ip: "{ip}"
zone: "z"
region: "r"
zones: {{z: "r"}}
listen: {listen}
inner_ports: [{ports[0]}, {ports[1]}]
seeds: ["{seed}:1"]
limits: {{memory_mb: 100, link_mbps: 100}}
bounds: {{grace_s: 8, version_ms: 2000}}
provider: {{address: "{store}"}}
app: "{app}"
service: "llm"
"""


@contextlib.asynccontextmanager
async def process(role, settings, folder):
    """Run a program until the test ends; its log goes to a pipe."""
    path = folder / f'{role}.yaml'
    path.write_text(settings)
    started = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'crowrudder_platform',
        role,
        env={**os.environ, 'CROWRUDDER_BOOT': str(path)},
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield started
    finally:
        if started.returncode is None:
            started.kill()
        await started.wait()


async def logged(started, message):
    """Read the log up to a line with a message; every line is JSON."""
    assert started.stdout is not None
    async for line in started.stdout:
        found = json.loads(line)
        if found['message'] == message:
            return found
    raise AssertionError(f'the process ended without {message!r}')


async def asked(address, request_id):
    request = WireRequest(
        method='POST',
        target='/draft/x',
        headers=(
            ('Host', HOST),
            ('X-Attempt-Id', request_id),
            ('X-Credential', KEY),
            ('X-Model', 'm'),
        ),
        body=b'body',
    )
    return await ConnectionPool().call(address, request, timeout_s=5)


class TestProcesses:
    def test_from_an_empty_engine_to_a_whole_answer_and_a_clean_end(
        self, tmp_path
    ):
        async def check():
            world = FleetWorld()
            world.store_address = world.serve(world.store)
            world.origin_address = world.serve(world.origin)
            world.publish()
            replica = world.add_replica('e', 'llm', model='m', ip=AGENT_IP)
            callers = f'{ENTRY_IP}:{free_port(ENTRY_IP)}'
            ready = f'{ENTRY_IP}:{free_port(ENTRY_IP)}'
            common = {
                'ports': PEER_PORTS,
                'store': world.store_address,
                'seed': ENTRY_IP,
                'app': world.addresses['e'],
            }
            entry_file = SETTINGS.format(
                name='entry',
                role='entry',
                serves='["front", "control", "directory"]',
                ip=ENTRY_IP,
                listen=json.dumps(
                    {'front': callers, 'ready': ready, 'directory': ready}
                ),
                **common,
            )
            agent_file = SETTINGS.format(
                name='agent',
                role='agent',
                serves='["side"]',
                ip=AGENT_IP,
                listen='{}',
                **common,
            )
            try:
                async with (
                    process('entry', entry_file, tmp_path) as entry,
                    process('agent', agent_file, tmp_path) as agent,
                ):
                    await logged(entry, 'serving')
                    await logged(agent, 'version loaded')
                    assert replica.weights == 1
                    await until_answered(callers)
                    answer = await asked(callers, 'whole')
                    assert answer.body == stream_of('whole')
                    for each in (agent, entry):
                        each.send_signal(signal.SIGHUP)
                        each.send_signal(signal.SIGTERM)
                        assert await each.wait() == 0
            finally:
                await world.close()

        run(check(), timeout_s=50)

    @pytest.mark.parametrize(
        ('settings', 'told'),
        [('node_name: [', 'settings'), ('ip: 3', '$.ip')],
    )
    def test_bad_settings_are_told_and_nothing_starts(
        self, settings, told, tmp_path, capfd
    ):
        async def check():
            async with process('entry', settings, tmp_path) as started:
                assert await started.wait() == 2

        run(check())
        assert told in capfd.readouterr().err


async def until_answered(callers):
    """Ask until the entry has heard that the engine holds a version."""
    number = 0
    while True:
        number += 1
        answer = await asked(callers, f'try-{number}')
        if answer.head.status == 200:
            return
        assert answer.head.status == 503
        assert float(answer.head.header('retry-after')) >= 0
        await asyncio.sleep(0.05)
