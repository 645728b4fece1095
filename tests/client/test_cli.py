"""The commands against a small fake of the admin addresses."""

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
class Fake:
    """Answers of one process, by path; None stands for 404."""

    port: int = 0
    answers: dict[str, Any] = Factory(dict)
    asked: list[str] = Factory(list)

    @property
    def admin(self) -> str:
        return f'127.0.0.1:{self.port}'


class Answer(RequestHandler):
    def initialize(self, fake: Fake) -> None:
        self.fake = fake

    def get(self) -> None:
        self.fake.asked.append(self.request.uri or '')
        answer = self.fake.answers.get(self.request.path)
        if callable(answer):
            answer = answer()
        if answer is None:
            self.set_status(404)
            answer = {'error': {'message': 'nothing here'}}
        raw = isinstance(answer, bytes)
        self.write(answer if raw else msgspec.json.encode(answer))


@pytest.fixture
def fakes() -> Iterator[list[Fake]]:
    """Five processes: an entry, and agents of which four have engines."""
    made = [Fake() for _ in range(6)]
    started = threading.Event()
    stop: list[Any] = []

    async def serve() -> None:
        ending = asyncio.Event()
        stop.append((asyncio.get_running_loop(), ending))
        servers = []
        for fake in made:
            app = Application([('.*', Answer, {'fake': fake})])
            sockets = bind_sockets(0, '127.0.0.1')
            fake.port = sockets[0].getsockname()[1]
            servers.append(HTTPServer(app))
            servers[-1].add_sockets(sockets)
        started.set()
        await ending.wait()
        for server in servers:
            server.stop()
            await server.close_all_connections()

    thread = threading.Thread(target=asyncio.run, args=(serve(),))
    thread.start()
    started.wait()
    _settle(made)
    yield made
    loop, ending = stop[0]
    loop.call_soon_threadsafe(ending.set)
    thread.join()


def _settle(fakes: list[Fake]) -> None:
    members = [_member(number, fake) for number, fake in enumerate(fakes)]
    told = {'revision': 1, 'members': msgspec.to_builtins(members)}
    for member, fake in zip(members, fakes, strict=True):
        is_engine = member.upstream == 'engine'
        plain = 'portal' if member.upstream else ''
        fake.answers = {
            '/members': told,
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


def _member(number: int, fake: Fake) -> Member:
    upstreams = ('', 'plain:portal', 'engine', 'engine', 'engine', 'engine')
    return Member(
        f'h{number}',
        'agent' if number else 'entry',
        '127.0.0.1',
        admin_port=fake.port,
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

    def test_bundle_to_standard_output_is_the_value(self, capsys: Any) -> None:
        assert main(['bundle', str(EXAMPLE)]) == OK
        said = capsys.readouterr()
        assert decode_bundle(said.out.encode()).digest == DIGEST
        assert DIGEST in said.err

    def test_faults_write_no_bundle(self, fleet: Path, capsys: Any) -> None:
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
        said = capsys.readouterr().out
        assert '[fleet] generation' in said
        assert f'allowed: {DIGEST}' in said
        edit(fleet, 'fleet.ini', 'generation = 1', 'generation = 2')
        edit(fleet, 'fleet.ini', 'parent =', f'parent = {DIGEST}')
        assert main(checked) == OK

    def test_not_utf8_and_half_parent(self, fleet: Path, capsys: Any) -> None:
        half = fleet / 'half.json'
        half.write_bytes(encode_bundle(IN_FORCE)[:99])
        assert main(['check', str(fleet), '--parent', str(half)]) == BAD
        (fleet / 'x.ini').write_bytes(b'\xff')
        assert main(['check', str(fleet)]) == BAD
        assert 'x.ini' in capsys.readouterr().err

    def test_diff(self, fleet: Path, fakes: list[Fake], capsys: Any) -> None:
        against = ['--against', str(EXAMPLE)]
        assert main(['diff', str(fleet), *against]) == OK
        edit(fleet, 'services.ini', 'replicas = 4', 'replicas = 3')
        in_force = ['--in-force', fakes[0].admin, '--json']
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
        fakes: list[Fake],
        capsys: Any,
    ) -> None:
        edit(fleet, 'fleet.ini', 'generation = 1', 'generation = 2')
        edit(fleet, 'fleet.ini', 'parent =', f'parent = {DIGEST}')
        line = ['check', str(fleet), '--in-force', fakes[0].admin]
        assert main(line) == OK
        edit(fleet, 'services.ini', 'replicas = 4', 'replicas = 5')
        assert main(line) == BAD
        assert '4 at most' in capsys.readouterr().out


class TestStatus:
    def test_declared_state_is_zero(
        self,
        fakes: list[Fake],
        capsys: Any,
    ) -> None:
        assert main(['status', fakes[0].admin]) == OK
        said = capsys.readouterr().out
        assert f'yes, 6 of 6 hosts, bundle {DIGEST}' in said
        assert '2023-11-14T22:13:20.250+00:00' in said

    def test_what_hinders_is_named(
        self,
        fakes: list[Fake],
        capsys: Any,
    ) -> None:
        fakes[3].answers['/status']['loaded_version'] = ''
        fakes[3].answers['/status']['hinders'] = ['origin answers 503']
        fakes[4].answers['/status'] = b'<html>'
        fakes[5].answers['/status']['host'] = 'h4'
        assert main(['status', fakes[0].admin, '--json']) == DIFFERS
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

    def test_next_address_is_asked(self, fakes: list[Fake]) -> None:
        fakes[0].answers['/members'] = None
        admins = [closed_port(), fakes[0].admin, fakes[1].admin]
        assert main(['status', *admins]) == OK

    def test_nobody_answers(self, capsys: Any) -> None:
        assert main(['status', closed_port()]) == UNREACHABLE
        assert 'refused' in capsys.readouterr().err

    def test_waits_until_it_is_everywhere(self, fakes: list[Fake]) -> None:
        """One host gets the bundle late, after it was asked once."""
        late = fakes[2].answers['/status']
        told = iter([{**late, 'digest': '', 'generation': 0}])
        fakes[2].answers['/status'] = lambda: next(told, late)
        assert main(['status', fakes[0].admin, '--wait', DIGEST[:8]]) == OK
        assert fakes[2].asked.count('/status') == 2

    def test_wait_ends(self, fakes: list[Fake], capsys: Any) -> None:
        wait = ['--wait', 'f' * 64, '--timeout', '0']
        assert main(['status', fakes[0].admin, *wait]) == DIFFERS
        assert 'no, 0 of 6 hosts' in capsys.readouterr().out


class TestAdminClient:
    def test_frozen_hosts_take_no_time_of_others(
        self,
        fakes: list[Fake],
    ) -> None:
        """A healthy host was shown as unreachable in a large fleet.

        Symptom: `status` names hosts that answer at once `unreachable`.
        Sequence: more hosts are frozen than are asked at once; the others
        wait for their turn. Cause: the HTTP client's own queue counts that
        wait as part of the time to answer.
        """

        async def ask(admins: list[str]) -> list[Any]:
            client = AdminClient(answer_s=0.2, at_once=1)
            try:
                return await asyncio.gather(
                    *(client.status(admin) for admin in admins),
                    return_exceptions=True,
                )
            finally:
                client.close()

        with socket.create_server(('127.0.0.1', 0)) as server:
            admin = f'127.0.0.1:{server.getsockname()[1]}'
            *frozen, healthy = run(ask([admin, admin, fakes[0].admin]))
        assert all(isinstance(item, UnreachableError) for item in frozen)
        assert isinstance(healthy, Status)


class TestReadingBack:
    def test_audit(self, fakes: list[Fake], capsys: Any) -> None:
        event = {'after': 'x\ny', 'at': 1.0, 'seq': 41, 'teller': 'platform'}
        fakes[0].answers['/audit'] = {'events': [event], 'last': 41}
        admin = fakes[0].admin
        assert main(['audit', admin, '--after', '40']) == OK
        assert fakes[0].asked == ['/audit?after=40']
        said = capsys.readouterr().out
        heads, line = said.splitlines()
        assert heads.split() == ['admin', 'seq', 'at', 'teller', 'after']
        assert line.endswith('platform  x y')
        both = ['audit', closed_port(), admin, '--json']
        assert main(both) == UNREACHABLE
        events = json.loads(capsys.readouterr().out)['events']
        assert events == [{'admin': admin, **event}]

    def test_explain(self, fakes: list[Fake], capsys: Any) -> None:
        answer = {'service': 'listing', 'candidates': [{'host': 'h2'}]}
        fakes[0].answers['/explain'] = answer
        asked = ['--customer', 'a&b', '--model', 'listing']
        assert main(['explain', fakes[0].admin, *asked]) == OK
        assert 'service: listing' in capsys.readouterr().out
        assert fakes[0].asked == ['/explain?customer=a%26b&model=listing']

    def test_explain_of_the_unknown(
        self,
        fakes: list[Fake],
        capsys: Any,
    ) -> None:
        asked = ['--customer', 'a', '--model', 'b']
        assert main(['explain', fakes[0].admin, *asked]) == BAD
        assert 'nothing here' in capsys.readouterr().err

    def test_port_that_is_not_ours(self, capsys: Any) -> None:
        with socket.create_server(('127.0.0.1', 0)) as server:
            thread = threading.Thread(target=_greet, args=(server,))
            thread.start()
            admin = f'127.0.0.1:{server.getsockname()[1]}'
            assert main(['audit', admin]) == UNREACHABLE
            thread.join()


def _greet(server: socket.socket) -> None:
    conn, _ = server.accept()
    with conn:
        conn.sendall(b'220 mail ready\r\n')
