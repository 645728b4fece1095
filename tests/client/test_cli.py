"""Tests of the commands against fake admin addresses."""

from __future__ import annotations

import asyncio
import json
import shutil
import socket
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from attrs import Factory, define
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from crowrudder_client._admin import AdminClient
from crowrudder_client._errors import UnreachableError
from crowrudder_client._status import Status
from crowrudder_client.cli import main
from crowrudder_model._member import Member
from crowrudder_model.declared import (
    bundle_of,
    decode_bundle,
    encode_bundle,
    read_files,
)
from support.aio import run
from support.ports import closed_port

EXAMPLE = Path(__file__).parent.parent.parent / 'examples/fleet'
IN_FORCE = read_files(
    {file.name: file.read_text() for file in EXAMPLE.glob('*.ini')},
).declaration
DIGEST = bundle_of(IN_FORCE).digest
OK, DIFFERS, BAD, UNREACHABLE = 0, 1, 2, 3


@define
class FakeProcess:
    """Answers of one process, by path; None stands for 404."""

    port: int = 0
    answers: dict[str, Any] = Factory(dict)
    request_paths: list[str] = Factory(list)

    @property
    def admin(self) -> str:
        return f'127.0.0.1:{self.port}'


class Answer(RequestHandler):
    def initialize(self, fake: FakeProcess) -> None:
        self.process = fake

    def get(self) -> None:
        self.process.request_paths.append(self.request.uri or '')
        answer = self.process.answers.get(self.request.path)
        if callable(answer):
            answer = answer()
        if answer is None:
            self.set_status(404)
            answer = {'error': {'message': 'nothing here'}}
        raw = isinstance(answer, bytes)
        self.write(answer if raw else msgspec.json.encode(answer))


@pytest.fixture
def processes() -> Iterator[list[FakeProcess]]:
    """Six processes: an entry, and five agents of which four have engines."""
    made = [FakeProcess() for _ in range(6)]
    started = threading.Event()
    stop: list[Any] = []

    async def serve() -> None:
        stopped = asyncio.Event()
        stop.append((asyncio.get_running_loop(), stopped))
        servers = []
        for process in made:
            app = Application([('.*', Answer, {'fake': process})])
            sockets = bind_sockets(0, '127.0.0.1')
            process.port = sockets[0].getsockname()[1]
            servers.append(HTTPServer(app))
            servers[-1].add_sockets(sockets)
        started.set()
        await stopped.wait()
        for server in servers:
            server.stop()
            await server.close_all_connections()

    thread = threading.Thread(target=asyncio.run, args=(serve(),))
    thread.start()
    started.wait()
    _set_declared_state(made)
    yield made
    loop, stopped = stop[0]
    loop.call_soon_threadsafe(stopped.set)
    thread.join()


def _set_declared_state(processes: list[FakeProcess]) -> None:
    members = [
        _member(number, process) for number, process in enumerate(processes)
    ]
    members_answer = {'revision': 1, 'members': msgspec.to_builtins(members)}
    for member, process in zip(members, processes, strict=True):
        is_engine = member.upstream == 'engine'
        plain = 'portal' if member.upstream else ''
        process.answers = {
            '/members': members_answer,
            '/bundle': encode_bundle(IN_FORCE),
            '/status': {
                'host': member.host,
                'role': member.role,
                'incarnation': 7,
                'generation': 1,
                'digest': DIGEST,
                'in_force_since': 1700000000.25,
                'refused': None,
                'leaving': False,
                'service': 'listing' if is_engine else plain,
                'declared_version': 'listing-v1' if is_engine else '',
                'loaded_version': 'listing-v1' if is_engine else '',
                'progress': 1.0,
                'hinders': [],
            },
        }


def _member(number: int, process: FakeProcess) -> Member:
    upstreams = ('', 'plain:portal', 'engine', 'engine', 'engine', 'engine')
    return Member(
        f'h{number}',
        'agent' if number else 'entry',
        '127.0.0.1',
        admin_port=process.port,
        upstream=upstreams[number],
    )


@pytest.fixture
def fleet(tmp_path: Path) -> Path:
    return shutil.copytree(EXAMPLE, tmp_path / 'fleet')


def edit(fleet: Path, file: str, old: str, new: str) -> None:
    text = (fleet / file).read_text()
    assert old in text
    (fleet / file).write_text(text.replace(old, new))


class TestArguments:
    @pytest.mark.parametrize(
        'line',
        [
            '',
            'deploy',
            'status',
            'status localhost:1',
            'status 127.0.0.1:0',
            'status 127.0.0.1:1 --wait xyz',
            'status 127.0.0.1:1 --wait 0a0b0c0d --timeout soon',
            'audit 127.0.0.1:1 --after -1',
            'explain 127.0.0.1:1 --model m',
            'check nowhere',
        ],
    )
    def test_bad_arguments_end_with_two(self, line: str, capsys: Any) -> None:
        assert main(line.split()) == BAD
        assert capsys.readouterr().err

    def test_help_names_the_exit_codes(self, capsys: Any) -> None:
        with pytest.raises(SystemExit) as ended:
            main(['--help'])
        assert not ended.value.code
        assert 'Exit codes' in capsys.readouterr().out


class TestDeclaredFiles:
    def test_example_is_checked_and_bundled(
        self,
        tmp_path: Path,
        capsys: Any,
    ) -> None:
        file = tmp_path / 'bundle.json'
        assert main(['check', str(EXAMPLE)]) == OK
        assert main(['bundle', str(EXAMPLE), '-o', str(file)]) == OK
        assert decode_bundle(file.read_bytes()).digest == DIGEST
        assert DIGEST in capsys.readouterr().out

    def test_bundle_is_written_to_standard_output(self, capsys: Any) -> None:
        assert main(['bundle', str(EXAMPLE)]) == OK
        captured = capsys.readouterr()
        assert decode_bundle(captured.out.encode()).digest == DIGEST
        assert DIGEST in captured.err

    def test_no_bundle_is_written_with_faults(
        self, fleet: Path, capsys: Any
    ) -> None:
        edit(fleet, 'services.ini', 'replicas = 4', 'replicas = many')
        edit(fleet, 'customers.ini', 'share = 0.6', 'share = 6')
        file = fleet / 'out.json'
        assert main(['bundle', str(fleet), '-o', str(file), '--json']) == BAD
        assert not file.exists()
        faults = json.loads(capsys.readouterr().out)['faults']
        assert [(item['file'], item['key']) for item in faults] == [
            ('customers.ini', 'share'),
            ('services.ini', "customers' share"),
            ('services.ini', 'replicas'),
            ('services.ini', "customers' share"),
        ]

    def test_parent_is_checked(self, fleet: Path, capsys: Any) -> None:
        parent = fleet / 'parent.json'
        assert main(['bundle', str(fleet), '-o', str(parent)]) == OK
        checked = ['check', str(fleet), '--parent', str(parent)]
        assert main(checked) == BAD
        captured = capsys.readouterr().out
        assert '[fleet] generation' in captured
        assert f'allowed: {DIGEST}' in captured
        edit(fleet, 'fleet.ini', 'generation = 1', 'generation = 2')
        edit(fleet, 'fleet.ini', 'parent =', f'parent = {DIGEST}')
        assert main(checked) == OK

    def test_invalid_utf8_and_truncated_parent(
        self, fleet: Path, capsys: Any
    ) -> None:
        half = fleet / 'half.json'
        half.write_bytes(encode_bundle(IN_FORCE)[:99])
        assert main(['check', str(fleet), '--parent', str(half)]) == BAD
        (fleet / 'x.ini').write_bytes(b'\xff')
        assert main(['check', str(fleet)]) == BAD
        assert 'x.ini' in capsys.readouterr().err

    def test_diff(
        self, fleet: Path, processes: list[FakeProcess], capsys: Any
    ) -> None:
        against = ['--against', str(EXAMPLE)]
        assert main(['diff', str(fleet), *against]) == OK
        edit(fleet, 'services.ini', 'replicas = 4', 'replicas = 3')
        in_force = ['--in-force', processes[0].admin, '--json']
        assert main(['diff', str(fleet), *against]) == DIFFERS
        assert 'replicas' in capsys.readouterr().out
        assert main(['diff', str(fleet), *in_force]) == DIFFERS
        assert json.loads(capsys.readouterr().out) == [
            {
                'section': 'service:listing',
                'key': 'replicas',
                'before': '4',
                'after': '3',
            },
        ]

    def test_in_force_gives_parent_and_members(
        self,
        fleet: Path,
        processes: list[FakeProcess],
        capsys: Any,
    ) -> None:
        edit(fleet, 'fleet.ini', 'generation = 1', 'generation = 2')
        edit(fleet, 'fleet.ini', 'parent =', f'parent = {DIGEST}')
        line = ['check', str(fleet), '--in-force', processes[0].admin]
        assert main(line) == OK
        edit(fleet, 'services.ini', 'replicas = 4', 'replicas = 5')
        assert main(line) == BAD
        assert '4 at most' in capsys.readouterr().out


class TestStatus:
    def test_declared_state_exits_with_zero(
        self,
        processes: list[FakeProcess],
        capsys: Any,
    ) -> None:
        assert main(['status', processes[0].admin]) == OK
        captured = capsys.readouterr().out
        assert f'yes, 6 of 6 hosts, bundle {DIGEST}' in captured
        assert '2023-11-14T22:13:20.250+00:00' in captured

    def test_blocking_reasons_are_listed(
        self,
        processes: list[FakeProcess],
        capsys: Any,
    ) -> None:
        processes[3].answers['/status']['loaded_version'] = ''
        processes[3].answers['/status']['hinders'] = ['origin answers 503']
        processes[4].answers['/status'] = b'<html>'
        processes[5].answers['/status']['host'] = 'h4'
        assert main(['status', processes[0].admin, '--json']) == DIFFERS
        answer = json.loads(capsys.readouterr().out)
        states = {row['host']: row['state'] for row in answer['hosts']}
        assert states == {
            'h0': 'declared',
            'h1': 'declared',
            'h2': 'declared',
            'h3': 'changing',
            'h4': 'unreachable',
            'h5': 'unreachable',
        }
        hinders = {row['host']: row['hinders'] for row in answer['hosts']}
        assert hinders['h3'] == ['origin answers 503', 'no version is loaded']
        assert 'not one of crowrudder' in hinders['h4'][0]
        assert 'host h4 answers' in hinders['h5'][0]

    def test_next_address_is_queried(
        self, processes: list[FakeProcess]
    ) -> None:
        processes[0].answers['/members'] = None
        admins = [closed_port(), processes[0].admin, processes[1].admin]
        assert main(['status', *admins]) == OK

    def test_no_address_answers(self, capsys: Any) -> None:
        assert main(['status', closed_port()]) == UNREACHABLE
        assert 'refused' in capsys.readouterr().err

    def test_waits_until_every_host_has_the_bundle(
        self, processes: list[FakeProcess]
    ) -> None:
        """One host has the bundle at the second poll only."""
        late = processes[2].answers['/status']
        first_answers = iter([{**late, 'digest': '', 'generation': 0}])
        processes[2].answers['/status'] = lambda: next(first_answers, late)
        assert main(['status', processes[0].admin, '--wait', DIGEST[:8]]) == OK
        assert processes[2].request_paths.count('/status') == 2

    def test_wait_times_out(
        self, processes: list[FakeProcess], capsys: Any
    ) -> None:
        wait = ['--wait', 'f' * 64, '--timeout', '0']
        assert main(['status', processes[0].admin, *wait]) == DIFFERS
        assert 'no, 0 of 6 hosts' in capsys.readouterr().out


class TestAdminClient:
    def test_paused_hosts_do_not_delay_healthy_hosts(
        self,
        processes: list[FakeProcess],
    ) -> None:
        """Healthy hosts are not `unreachable` while others are paused.

        With more paused hosts than concurrent requests, the requests to
        healthy hosts wait. The HTTP client's own queue counts that wait
        against the request timeout, so they would time out.
        """

        async def ask(admins: list[str]) -> list[Any]:
            client = AdminClient(timeout_s=0.2, max_concurrent=1)
            try:
                return await asyncio.gather(
                    *(client.status(admin) for admin in admins),
                    return_exceptions=True,
                )
            finally:
                client.close()

        with socket.create_server(('127.0.0.1', 0)) as server:
            admin = f'127.0.0.1:{server.getsockname()[1]}'
            *paused, healthy = run(ask([admin, admin, processes[0].admin]))
        assert all(isinstance(item, UnreachableError) for item in paused)
        assert isinstance(healthy, Status)


class TestReadingBack:
    def test_audit(self, processes: list[FakeProcess], capsys: Any) -> None:
        event = {'after': 'x\ny', 'at': 1.0, 'seq': 41, 'teller': 'platform'}
        processes[0].answers['/audit'] = {'events': [event], 'last': 41}
        admin = processes[0].admin
        assert main(['audit', admin, '--after', '40']) == OK
        assert processes[0].request_paths == ['/audit?after=40']
        captured = capsys.readouterr().out
        heads, line = captured.splitlines()
        assert heads.split() == ['admin', 'seq', 'at', 'teller', 'after']
        assert line.endswith('platform  x y')
        both = ['audit', closed_port(), admin, '--json']
        assert main(both) == UNREACHABLE
        events = json.loads(capsys.readouterr().out)['events']
        assert events == [{'admin': admin, **event}]

    def test_explain(self, processes: list[FakeProcess], capsys: Any) -> None:
        answer = {'service': 'listing', 'candidates': [{'host': 'h2'}]}
        processes[0].answers['/explain'] = answer
        arguments = ['--customer', 'a&b', '--model', 'listing']
        assert main(['explain', processes[0].admin, *arguments]) == OK
        assert 'service: listing' in capsys.readouterr().out
        assert processes[0].request_paths == [
            '/explain?customer=a%26b&model=listing'
        ]

    def test_explain_of_an_unknown_model(
        self,
        processes: list[FakeProcess],
        capsys: Any,
    ) -> None:
        arguments = ['--customer', 'a', '--model', 'b']
        assert main(['explain', processes[0].admin, *arguments]) == BAD
        assert 'nothing here' in capsys.readouterr().err

    def test_port_of_another_service(self, capsys: Any) -> None:
        with socket.create_server(('127.0.0.1', 0)) as server:
            thread = threading.Thread(target=_send_greeting, args=(server,))
            thread.start()
            admin = f'127.0.0.1:{server.getsockname()[1]}'
            assert main(['audit', admin]) == UNREACHABLE
            thread.join()


def _send_greeting(server: socket.socket) -> None:
    conn, _ = server.accept()
    with conn:
        conn.sendall(b'220 mail ready\r\n')
