from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowrudder_daemon.fleet import Tuning, process_settings
from crowrudder_daemon.fleet._tuning import read_tuning, tuning_keys
from crowrudder_daemon.settings import SettingsError
from crowrudder_model.fleet import Bounds, Node

ROOT = Path(__file__).parents[2]


def write_ini(folder, text):
    path = folder / 'fleet.ini'
    path.write_text(text)
    return str(path)


class TestTuning:
    def test_every_key_is_optional(self, tmp_path):
        assert read_tuning('') == Tuning()
        assert read_tuning(write_ini(tmp_path, '[fleet]\n')) == Tuning()

    def test_deployed_file_is_valid(self):
        assert read_tuning(str(ROOT / 'deploy' / 'fleet.ini')) == Tuning()

    def test_keys_are_read(self, tmp_path):
        text = '[fleet]\nupload_share = 0.5\norigin_copies = 2\n'
        tuning = read_tuning(write_ini(tmp_path, text))
        assert (tuning.upload_share, tuning.origin_copies) == (0.5, 2)

    def test_all_faults_are_reported_together(self, tmp_path):
        text = '[fleet]\nupload_share = 7\nnovel = 1\n[other]\na = 1\n'
        with pytest.raises(SettingsError) as caught:
            read_tuning(write_ini(tmp_path, text))
        message = str(caught.value)
        assert 'upload_share' in message
        assert 'novel' in message
        assert '[other]' in message

    def test_missing_file_is_refused(self):
        with pytest.raises(SettingsError, match='no-such'):
            read_tuning('no-such.ini')

    @given(text=st.text(max_size=60))
    def test_any_text_gives_settings_or_an_error(self, tmp_path_factory, text):
        folder = tmp_path_factory.mktemp('any')
        path = folder / 'fleet.ini'
        path.write_bytes(text.encode(errors='surrogatepass'))
        try:
            assert isinstance(read_tuning(str(path)), Tuning)
        except SettingsError as exc:
            assert exc.args

    def test_reference_page_lists_every_key(self):
        page = (ROOT / 'docs' / 'reference' / 'fleet-settings.md').read_text()
        defaults = Tuning()
        for key in tuning_keys():
            default = getattr(defaults, key)
            shown = f'{default:g}' if isinstance(default, float) else default
            assert f'| fleet | {key} | {shown} |' in page


class TestProcessSettings:
    def test_drain_ends_before_the_kill(self):
        node = Node(
            host='a',
            role='entry',
            ip='127.0.0.1',
            peer_ports=(7700, 7715),
            bounds=Bounds(stop_s=8),
        )
        cfg = process_settings(node, Tuning())
        assert cfg.limits.drain_s <= 7
        assert cfg.process.admin_port == 7715


class TestStart:
    @pytest.mark.parametrize('role', ['entry', 'agent'])
    def test_process_imports_no_module_of_the_other_role(self, role):
        """Importing another role's package delays the start of a process.

        If a fleet's entry imports one small module of another entry's package,
        it imports that whole package, a quarter of all that it loads. It is
        then ready half a second later than an agent; after a power failure of
        all hosts no request is served until an entry has started.
        """
        program = f"""
import sys
import crowrudder_platform._program, crowrudder_daemon.fleet_{role}
print(*(name for name in sys.modules if name.count('.') == 1))
"""
        completed = subprocess.run(
            [sys.executable, '-c', program],
            capture_output=True,
            check=True,
            text=True,
        )
        loaded = set(completed.stdout.split())
        assert f'crowrudder_daemon.fleet_{role}' in loaded
        assert 'crowrudder_daemon.entry' not in loaded
        other = 'agent' if role == 'entry' else 'entry'
        assert f'crowrudder_daemon.fleet_{other}' not in loaded
