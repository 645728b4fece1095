from __future__ import annotations

import re
import string
from pathlib import Path

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from crowrudder_daemon.cli import main
from crowrudder_daemon.settings import (
    SettingsError,
    parse_settings,
    read_settings,
    rows,
)
from crowrudder_daemon.settings.schema import Scope
from support.settings import ENGINE, ENTRY, changed, text_of

ROOT = Path(__file__).parents[2]
REFERENCE = ROOT / 'docs/reference/settings.md'


def faults_of(text):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, file='a.ini')
    return caught.value.faults


def places_of(text):
    return [(fault.section, fault.key) for fault in faults_of(text)]


class TestGoodSettings:
    def test_entry_has_defaults_and_no_upstream(self):
        cfg = parse_settings(text_of(ENTRY))
        assert cfg.process.http_port == 7100
        assert cfg.platform.poll_s == 5
        assert cfg.limits.retry_share == 0.1
        assert (cfg.upstream, cfg.weights) == (None, None)

    def test_engine_has_upstream_and_weights(self):
        cfg = parse_settings(text_of(ENGINE))
        assert cfg.upstream
        assert cfg.weights
        assert cfg.upstream.address == '[::1]:7300'
        assert (cfg.weights.store, cfg.weights.upload_slots) == ('', 2)
        assert cfg.process.http_port == 0

    @pytest.mark.parametrize(
        'name', ['entry.ini', 'agent-engine.ini', 'agent-plain.ini']
    )
    def test_examples_pass_the_check(self, name, capsys):
        assert main(['check-settings', str(ROOT / 'examples' / name)]) == 0
        assert 'good settings' in capsys.readouterr().out


class TestFaults:
    def test_fault_names_file_section_key_found_and_allowed(self):
        (fault,) = faults_of(changed(ENTRY, 'limits', 'max_concurrent', '0'))
        assert str(fault) == (
            "a.ini: [limits] max_concurrent: found '0', "
            'allowed: a whole number from 1 to 1000000'
        )

    def test_all_faults_are_named_at_once(self):
        text = changed(ENTRY, 'process', 'http_port', '7101')
        text = text.replace('entry-1', '-').replace('7001', 'x')
        assert places_of(f'{text}\n[extra]\n[limits]\nslots = 1') == [
            ('extra', ''),
            ('process', 'host'),
            ('platform', 'address'),
            ('limits', 'slots'),
            ('process', 'http_port'),
        ]

    @pytest.mark.parametrize(
        ('section', 'key'),
        [
            (row.section, row.key)
            for row in rows()
            if row.key in ENGINE.get(row.section, {}) and not row.optional
        ],
    )
    def test_missing_key_is_named(self, section, key):
        assert (section, key) in places_of(changed(ENGINE, section, key, None))

    @pytest.mark.parametrize(
        'text',
        [
            'localhost',
            '127.0.0.1.',
            '127.1',
            '',
            'fe80::1%lo',
            '0127.0.0.1',
            '[::1]',
        ],
    )
    def test_address_is_an_ip_number(self, text):
        bad = changed(ENTRY, 'process', 'address', text)
        assert places_of(bad) == [('process', 'address')]

    @pytest.mark.parametrize(
        'text',
        [
            '127.0.0.1',
            'localhost:80',
            '127.0.0.1:0',
            '127.0.0.1:65536',
            '::1:80',
            '[127.0.0.1]:80',
            ':80',
            '127.0.0.1:8_0',
        ],
    )
    def test_endpoint_is_ip_and_port(self, text):
        bad = changed(ENTRY, 'platform', 'address', text)
        assert places_of(bad) == [('platform', 'address')]

    @pytest.mark.parametrize(
        ('section', 'key', 'text'),
        [
            ('platform', 'poll_s', '0.1'),
            ('platform', 'poll_s', 'nan'),
            ('platform', 'poll_s', '1e2'),
            ('limits', 'retry_share', '1.01'),
            ('limits', 'drain_s', '-1'),
            ('limits', 'max_body_bytes', '1.5'),
            ('limits', 'max_body_bytes', '٣'),
            ('logs', 'level', 'INFO'),
            ('process', 'region', 'a' * 65),
        ],
    )
    def test_value_out_of_bounds_is_named(self, section, key, text):
        bad = changed(ENTRY, section, key, text)
        assert places_of(bad) == [(section, key)]

    def test_keys_of_the_other_kind_of_upstream_are_refused(self):
        text = changed(ENGINE, 'upstream', 'service', 'portal')
        assert places_of(text) == [('upstream', 'service')]

    def test_plain_upstream_needs_a_service_and_no_fencing(self):
        text = changed(ENGINE, 'upstream', 'kind', 'plain')
        assert set(places_of(text)) == {
            ('upstream', 'service'),
            ('upstream', 'fencing'),
            ('weights', 'origin'),
            ('weights', 'store'),
        }

    def test_entry_with_an_upstream_is_refused(self):
        text = changed(ENTRY, 'upstream', 'kind', 'engine')
        assert places_of(text) == [('upstream', '')]

    @pytest.mark.parametrize('text', ['router', None])
    def test_bad_role_is_one_fault(self, text):
        bad = changed(ENGINE, 'process', 'role', text)
        assert places_of(bad) == [('process', 'role')]

    @pytest.mark.parametrize('text', ['motor', None])
    def test_bad_kind_of_upstream_is_one_fault(self, text):
        bad = changed(ENGINE, 'upstream', 'kind', text)
        assert places_of(bad) == [('upstream', 'kind')]

    def test_empty_text_names_every_section_that_always_stands(self):
        assert {place[0] for place in places_of('')} == {'process', 'platform'}

    @pytest.mark.parametrize(
        ('tail', 'place'),
        [
            ('[platform]', ('platform', '')),
            ('address = 127.0.0.1:1', ('platform', 'address')),
            ('no equals sign', ('', '')),
            ('[DEFAULT]\nrole = agent', ('DEFAULT', '')),
        ],
    )
    def test_doubled_or_broken_lines_are_named(self, tail, place):
        assert places_of(f'{text_of(ENTRY)}\n{tail}') == [place]

    @pytest.mark.parametrize('encoded', [None, b'\xff', b'#' * (2**20 + 1)])
    def test_unreadable_file_is_named(self, tmp_path, encoded):
        path = tmp_path / 'a.ini'
        if encoded is not None:
            path.write_bytes(encoded)
        with pytest.raises(SettingsError, match='the file'):
            read_settings(path)

    def test_check_settings_prints_each_fault_and_exits_with_2(
        self, tmp_path, capsys
    ):
        path = tmp_path / 'a.ini'
        path.write_text(changed(ENTRY, 'process', 'rpc_port', 'x'))
        assert main(['check-settings', str(path)]) == 2
        assert f'{path}: [process] rpc_port: found' in capsys.readouterr().err

    def test_file_of_the_other_role_is_refused(self, capsys):
        assert main(['agent', str(ROOT / 'examples/entry.ini')]) == 2
        assert '[process] role' in capsys.readouterr().err


class TestAnyText:
    @given(st.text(st.sampled_from('[]=:#;%\n \t\r') | st.characters()))
    @example('[process]\n role\n= x')
    @example('\ufeff[process]')
    def test_garbage_is_refused_and_never_raises_else(self, text):
        assert faults_of(text)

    @given(
        row=st.sampled_from(
            [row for row in rows() if row.key not in {'role', 'kind'}]
        ),
        text=st.text(string.printable + '٣²', max_size=30)
        | st.integers(0, 9000).map(str),
    )
    def test_one_changed_value_is_read_or_named_at_its_key(self, row, text):
        base = ENTRY if row.scope is Scope.ENTRY else ENGINE
        text = ' '.join(text.split())
        try:
            parse_settings(changed(base, row.section, row.key, text))
        except SettingsError as exc:
            places = [(fault.section, fault.key) for fault in exc.faults]
            assert places == [(row.section, row.key)]
        else:
            row.kind.parse(text)


class TestReference:
    def test_page_lists_the_keys_with_role_and_default(self):
        listed = {}
        for line in REFERENCE.read_text().splitlines():
            cells = [cell.strip() for cell in line.strip('|').split('|')]
            if len(cells) == 4 and cells[0] not in {'section', '---'}:
                section, keys, role, meaning = cells
                default = re.search(r'\(([^() ]+)\)$', meaning)
                for key in keys.split(', '):
                    listed[section, key] = (role, default and default[1])
        assert listed == {
            (row.section, row.key): (
                _role_of(row),
                str(row.default).removesuffix('.0') if row.optional else None,
            )
            for row in rows()
        }


def _role_of(row):
    if row.section in {'upstream', 'weights'}:
        return 'agent'
    return row.scope.value
