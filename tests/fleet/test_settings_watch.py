from __future__ import annotations

import asyncio
import logging
from types import SimpleNamespace
from typing import Any

import pytest
from attrs import evolve

from crowrudder_daemon.fleet import SettingsWatch
from crowrudder_model import CrowrudderError
from crowrudder_model.fleet import Node
from support.aio import run

NODE = Node(host='h', role='entry', ip='10.0.0.1', seeds=('10.0.0.2',))


class FakeSource:
    """A source of settings that a test changes."""

    def __init__(self):
        self.node: Any = NODE
        self.text = b'1'
        self.decode_count = 0

    def write(self, node):
        self.node = node
        self.text += b'1'

    def read(self):
        return self.text

    def decode(self, payload):
        self.decode_count += 1
        if self.node is None:
            raise CrowrudderError('no settings', step='settings', peer='file')
        return self.node


@pytest.fixture
def watch_setup():
    runtime: Any = SimpleNamespace(
        log=logging.getLogger('test'), reload_requested=asyncio.Event()
    )
    source = FakeSource()
    changes: list[Node] = []
    watch = SettingsWatch(runtime, NODE, source, changes.append)
    return watch, source, changes, runtime


class TestSettingsWatch:
    def test_unchanged_settings_are_neither_decoded_again_nor_reported(
        self, watch_setup
    ):
        watch, source, changes, _ = watch_setup
        for _ in range(3):
            watch.check_once()
        assert source.decode_count == 1
        assert changes == []

    def test_change_is_reported(self, watch_setup):
        """A process must not contact replaced seeds forever.

        The seeds in its file are replaced while it runs, then all its peers
        end. If the file were read at the start only, it would find no peer
        again after a network partition.
        """
        watch, source, changes, _ = watch_setup
        watch.check_once()
        changed = evolve(NODE, seeds=('10.0.0.9',))
        source.write(changed)
        watch.check_once()
        assert changes == [changed]

    def test_invalid_settings_are_ignored_and_logged_once(
        self, watch_setup, caplog
    ):
        watch, source, changes, _ = watch_setup
        source.write(None)
        watch.check_once()
        watch.check_once()
        assert changes == []
        refused = [each for each in caplog.records if 'refused' in each.message]
        assert len(refused) == 1
        source.write(evolve(NODE, seeds=()))
        watch.check_once()
        assert len(changes) == 1

    def test_signal_triggers_an_immediate_check(self, watch_setup):
        watch, source, changes, runtime = watch_setup

        async def check():
            task = asyncio.ensure_future(watch.watch())
            await asyncio.sleep(0)
            source.write(evolve(NODE, seeds=()))
            runtime.reload_requested.set()
            while not changes:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            task.cancel()

        run(check())
        assert changes[0].seeds == ()
