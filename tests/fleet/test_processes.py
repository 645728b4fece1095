"""The deployed programs: separate processes with their settings in a file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import subprocess
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
async def run_process(role, settings, folder):
    """Run a role's program until the block ends; its log goes to a pipe."""
    path = folder / f'{role}.yaml'
    path.write_text(settings)
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'crowrudder_platform',
        role,
        env={**os.environ, 'CROWRUDDER_BOOT': str(path)},
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield child
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()


async def wait_for_log(child, message):
    """Return the first log line with a message; every line must be JSON."""
    assert child.stdout is not None
    async for line in child.stdout:
        found = json.loads(line)
        if found['message'] == message:
            return found
    raise AssertionError(f'the process ended without {message!r}')


async def send_request(address, request_id):
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
    def test_fleet_loads_answers_and_exits_cleanly(self, tmp_path):
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
                    run_process('entry', entry_file, tmp_path) as entry,
                    run_process('agent', agent_file, tmp_path) as agent,
                ):
                    await wait_for_log(entry, 'serving')
                    await wait_for_log(agent, 'version loaded')
                    assert replica.weights == 1
                    await wait_until_answered(callers)
                    answer = await send_request(callers, 'whole')
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
    def test_invalid_settings_are_reported_and_nothing_starts(
        self, settings, told, tmp_path, capfd
    ):
        async def check():
            async with run_process('entry', settings, tmp_path) as child:
                assert await child.wait() == 2

        run(check())
        assert told in capfd.readouterr().err


async def wait_until_answered(callers):
    """Send requests until the entry knows that the engine holds a version."""
    number = 0
    while True:
        number += 1
        answer = await send_request(callers, f'try-{number}')
        if answer.head.status == 200:
            return
        assert answer.head.status == 503
        assert float(answer.head.header('retry-after')) >= 0
        await asyncio.sleep(0.05)


class TestEarlySignals:
    """Guards against a process that a signal ends while it still starts.

    An entry received SIGHUP 0.8 s after its restart, before the event loop
    handled signals, and ended.
    """

    @pytest.mark.parametrize(
        'module', ['crowrudder_platform', 'crowrudder_daemon._program']
    )
    def test_signals_are_held_before_the_imports_that_take_time(self, module):
        script = (
            'import os, runpy, signal, sys\n'
            'from crowrudder_daemon import early_signals as early\n'
            'hold = early.hold_signals\n'
            'def held():\n'
            '    hold()\n'
            '    heavy = {"tornado", "grpc", "asyncio"} & set(sys.modules)\n'
            '    print("imported", sorted(heavy))\n'
            '    os.kill(os.getpid(), signal.SIGHUP)\n'
            '    print("received", [each.name for each in early.take_signals()])\n'
            '    raise SystemExit\n'
            'early.hold_signals = held\n'
            f'module = "{module}"\n'
            'sys.argv = [module, "entry"]\n'
            'names = runpy.run_module(module, run_name="__main__")\n'
            'names["main"]()\n'
        )
        child = subprocess.run(
            [sys.executable, '-c', script],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert child.stdout.splitlines() == [
            'imported []',
            "received ['SIGHUP']",
        ], child.stderr

    @pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGTERM])
    def test_a_signal_during_the_imports_is_handled(self, tmp_path, number):
        async def check():
            settings = SETTINGS.format(
                name='entry',
                role='entry',
                serves='["front", "control", "directory"]',
                ip=ENTRY_IP,
                listen=json.dumps(
                    {
                        name: f'{ENTRY_IP}:{free_port(ENTRY_IP)}'
                        for name in ('front', 'ready', 'directory')
                    }
                ),
                ports=PEER_PORTS,
                store='127.0.0.1:1',
                seed=ENTRY_IP,
                app='',
            )
            async with run_process('entry', settings, tmp_path) as child:
                await until_held(child.pid)
                child.send_signal(number)
                if number == signal.SIGTERM:
                    await wait_for_log(child, 'stopped before it served')
                    assert not await child.wait()
                else:
                    await wait_for_log(child, 'serving')

        run(check())


async def until_held(pid):
    """Wait until a process catches SIGHUP."""
    while not catches(pid, signal.SIGHUP):  # noqa: ASYNC110
        await asyncio.sleep(0.001)


def catches(pid, number):
    """Return whether a process handles a signal, as the system tells."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (caught,) = re.findall(r'SigCgt:\s*([0-9a-f]+)', status)
    return bool(int(caught, 16) >> number - 1 & 1)
