"""Ages that an entry computes for versions; they end the previous version."""

from __future__ import annotations

import asyncio
import time

import pytest

from crowrudder_core.catalog import _punctuality, _reading, _watch_ages
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet.ports import PlatformError
from support.fleet_checks import checked

WAIT_S = 0.5
"""Seconds that a watch waits in these tests, so that the next one starts soon."""


class TestAgesFromPeers:
    def test_transit_time_of_an_answer_is_added_to_ages(self):
        """The transit time of a peer's answer must not make a version younger.

        An answer with a large configuration takes 0.4 s over a full link. If
        the age in it, right when sent, counted from the time it is read, a
        request could start on the old version 0.4 s after its end.
        """

        async def check(world):
            first = world.entries[0]
            # The second entry can't read the platform itself.
            world.store_address = '127.0.0.1:9'
            second = await world.add_entry(2)
            await world.ready()
            delay_answers(second, by_s=0.4)
            world.name_version(2)
            await world.until(lambda: newest(second) and newest(first))
            assert newest(second).published_at <= newest(first).published_at

        checked(check, entries=1)

    def test_wait_in_the_message_queue_is_added_to_ages(self):
        """The same failure, if the process itself handles the answer late."""

        async def check(world):
            first = world.entries[0]
            world.store_address = '127.0.0.1:9'
            second = await world.add_entry(2)
            await world.ready()
            suspend_before(second, 'on_records_received', for_s=0.4)
            world.name_version(2)
            await world.until(lambda: newest(second) and newest(first))
            assert newest(second).published_at <= newest(first).published_at

        checked(check, entries=1)


class TestAgesFromWatches:
    @pytest.fixture(autouse=True)
    def short_wait(self, monkeypatch):
        monkeypatch.setattr(_reading, 'WATCH_WAIT_S', WAIT_S)

    def test_change_during_a_hung_watch_is_not_new(self, monkeypatch):
        """A change announced during a hung watch must not count as new.

        The watches' connections go silent, a version is announced, the watches
        time out, and the next ones return it at once. If it counted as
        published at that moment, all entries would start requests on the old
        version up to three seconds after its end.
        """
        # An immediate answer may take longer on a busy machine.
        monkeypatch.setattr(_watch_ages, 'IMMEDIATE_ANSWER_S', 30)

        async def check(world):
            source = world.entries[0].catalog._source
            real = source.watch
            hung_since: list[float] = []

            async def watch(after, *, wait_s):
                if hung_since:
                    return await real(after, wait_s=wait_s)
                hung_since.append(clock_s())
                world.name_version(2)
                await asyncio.sleep(0.4)
                raise PlatformError('no answer', step='watch', peer='store')

            monkeypatch.setattr(source, 'watch', watch)
            await world.until(lambda: newest(world.entries[0]))
            assert newest(world.entries[0]).published_at <= hung_since[0]

        checked(check, entries=1)

    def test_change_received_by_a_suspended_process_is_not_new(
        self, monkeypatch
    ):
        """A change received while the process is suspended must not count as new.

        The host is suspended for some seconds; the watch's answer arrives
        meanwhile and is read after resuming. If it counted as published when it
        is read, this entry would start requests on the old version after its
        end.
        """

        async def check(world):
            source = world.entries[0].catalog._source
            real = source.watch
            received_at: list[float] = []

            async def watch(after, *, wait_s):
                if received_at:
                    return await real(after, wait_s=wait_s)
                asyncio.get_running_loop().call_later(
                    0.6 * WAIT_S, world.name_version, 2
                )
                found = await real(after, wait_s=wait_s)
                received_at.append(clock_s())
                time.sleep(0.6)  # noqa: ASYNC251
                return found

            monkeypatch.setattr(source, 'watch', watch)
            await world.until(lambda: newest(world.entries[0]))
            assert newest(world.entries[0]).published_at <= received_at[0]

        checked(check, entries=1)

    def test_change_during_a_waiting_watch_is_new(self, monkeypatch):
        """Hosts have the full time to load if the publication time is certain.

        Delays of a busy machine must not make it uncertain here.
        """
        monkeypatch.setattr(_punctuality, 'LATE_TICK_S', 30)

        async def check(world):
            source = world.entries[0].catalog._source
            real = source.watch
            announced_at: list[float] = []

            def name():
                announced_at.append(clock_s())
                world.name_version(2)

            async def watch(after, *, wait_s):
                if not announced_at:
                    loop = asyncio.get_running_loop()
                    loop.call_later(0.8 * wait_s, name)
                return await real(after, wait_s=wait_s)

            monkeypatch.setattr(source, 'watch', watch)
            await world.until(lambda: newest(world.entries[0]))
            assert newest(world.entries[0]).published_at >= announced_at[0]

        checked(check, entries=1)


def newest(entry):
    return entry.catalog.view.releases.newest('m')


def delay_answers(entry, *, by_s):
    """Delay the answers of other processes to an entry."""
    client = entry.client
    real = client.call

    async def call(*args, **more):
        answer = await real(*args, **more)
        await asyncio.sleep(by_s)
        return answer

    client.call = call


def suspend_before(entry, handler, *, for_s):
    """Suspend an entry before it handles a message."""
    task = entry.catalog
    real = getattr(task, handler)

    def late(message):
        time.sleep(for_s)
        real(message)

    setattr(task, handler, late)
