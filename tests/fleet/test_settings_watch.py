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


class File:
    """A settings file that a test writes."""

    def __init__(self):
        self.node: Any = NODE
        self.text = b'1'
        self.decoded = 0

    def write(self, node):
        self.node = node
        self.text += b'1'

    def read(self):
        return self.text

    def decode(self, payload):
        self.decoded += 1
        if self.node is None:
            raise CrowrudderError('no settings', step='settings', peer='file')
        return self.node


@pytest.fixture
def watched():
    runtime: Any = SimpleNamespace(
        log=logging.getLogger('test'), reload_asked=asyncio.Event()
    )
    file = File()
    told: list[Node] = []
    watch = SettingsWatch(runtime, NODE, file, told.append)
    return watch, file, told, runtime


class TestSettingsWatch:
    def test_what_is_the_same_is_neither_decoded_again_nor_told(self, watched):
        watch, file, told, _ = watched
        for _ in range(3):
            watch.check_once()
        assert file.decoded == 1
        assert told == []

    def test_a_change_is_told(self, watched):
        """A process asked seeds for ever that were gone.

        Symptom: after a cut a process knows nobody. Sequence: the seeds in
        its file are replaced while it runs, then all that it knows die. Cause:
        a file that was read at the start only.
        """
        watch, file, told, _ = watched
        watch.check_once()
        changed = evolve(NODE, seeds=('10.0.0.9',))
        file.write(changed)
        watch.check_once()
        assert told == [changed]

    def test_bad_settings_change_nothing_and_are_told_once(
        self, watched, caplog
    ):
        watch, file, told, _ = watched
        file.write(None)
        watch.check_once()
        watch.check_once()
        assert told == []
        refused = [each for each in caplog.records if 'refused' in each.message]
        assert len(refused) == 1
        file.write(evolve(NODE, seeds=()))
        watch.check_once()
        assert len(told) == 1

    def test_a_signal_makes_it_look_at_once(self, watched):
        watch, file, told, runtime = watched

        async def check():
            job = asyncio.ensure_future(watch.watch())
            await asyncio.sleep(0)
            file.write(evolve(NODE, seeds=()))
            runtime.reload_asked.set()
            while not told:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            job.cancel()

        run(check())
        assert told[0].seeds == ()
