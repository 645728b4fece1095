"""Versions that change around a running entry: ends, paths, ages."""

from __future__ import annotations

import asyncio
import json

from crowrudder_core.forecast import _outlook
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet._records import RecordsCame
from crowrudder_model.messages import EngineLoad, PublishedItem
from crowrudder_standins.fleet_replica import stream_of
from support.fleet_checks import (
    ask_model,
    checked,
    fault,
    hold_back,
    name_second,
)


class TestPaths:
    def test_parts_of_several_engines_serve_together(self):
        """Nobody answered though all layers were there.

        Symptom: all requests are refused while hosts collect a version.
        Sequence: no engine holds all layers, three hold a third each. Cause:
        only whole engines got requests.
        """

        async def check(world):
            self.hold_parts(world, version=1)
            answer = await world.ask('/draft/x', method='POST')
            assert answer.status == 200
            first, rest = self.path_of(world)
            assert first == f'{world.addresses["e0"]}=0-5'
            assert rest == [
                f'{world.addresses["e1"]}=5-10',
                f'{world.addresses["e2"]}=10-16',
            ]

        checked(check, engines=3)

    def test_a_stream_that_may_not_resume_passes_no_path(self):
        async def check(world):
            self.hold_parts(world, version=1)
            answer = await world.ask('/once/x', method='POST')
            assert answer.status == 503
            assert answer.retry_after_s > 0
            assert not world.replicas['e0'].paths

        checked(check, engines=3)

    def test_what_waits_is_taken_away_once_a_newer_version_is_named(self):
        """A token was made by two versions of the weights.

        Symptom: engines of one path ran two versions. Sequence: a request
        waits for 2.5 s at the first engine of a path; a newer version is
        named, and another engine of the path loads it. Cause: the path was
        looked at when the request was sent, and not again.
        """

        async def check(world):
            self.hold_parts(world, version=1)
            world.replicas['e0'].faults.switch_on(fault('hang', None))
            answer = asyncio.ensure_future(
                world.ask('/draft/x', method='POST', X_Model='m')
            )
            await world.until(lambda: world.replicas['e0'].runs)
            world.name_version(2)
            # At the end of the caller's time it would be 504.
            assert (await answer).status == 502

        checked(check, engines=3, entries=1)

    def test_parts_of_an_older_version_serve_nothing(self):
        async def check(world):
            named = {'model': 'm', 'version': 2}
            world.store.put('op/version/m', json.dumps(named).encode())
            await world.ready()
            self.hold_parts(world, version=1)
            answer = await world.ask('/draft/x', method='POST')
            assert answer.status == 503
            assert not world.replicas['e0'].paths

        checked(check, engines=3)

    def hold_parts(self, world, *, version):
        upstreams = world.entries[0].upstreams
        for number, layers in enumerate([(0, 5), (5, 10), (10, 16)]):
            replica = world.replicas[f'e{number}']
            replica.weights, replica.layers = version, layers
            upstreams.on_load(
                EngineLoad(
                    address=world.addresses[f'e{number}'],
                    reachable=True,
                    part_version=version,
                    part_first=layers[0],
                    part_end=layers[1],
                ),
            )

    def path_of(self, world):
        (path,) = world.replicas['e0'].paths
        first, *rest = path.split(',')
        return first, rest


class TestVersions:
    def test_an_engine_without_weights_gets_no_request(self):
        async def check(world):
            world.replicas['e0'].weights = 0
            world.list_replica('e0', 'llm')
            await world.ready()
            for number in range(4):
                answer = await world.ask(
                    '/draft/x', method='POST', request_id=f'a{number}'
                )
                assert answer.status == 200
            assert not world.replicas['e0'].runs

        checked(check)

    def test_an_old_version_gets_nothing_after_the_window(self):
        async def check(world):
            world.replicas['e1'].weights = 2
            world.list_replica('e1', 'llm')
            named = {'model': 'm', 'version': 2}
            world.store.put('op/version/m', json.dumps(named).encode())
            await world.ready()
            view = world.entries[0].catalog.view
            view.releases.window_s = 0
            for number in range(4):
                await world.ask(
                    '/draft/x',
                    method='POST',
                    request_id=f'a{number}',
                    X_Model='m',
                )
            assert not world.replicas['e0'].runs
            assert len(world.replicas['e1'].runs) == 4

        checked(check)


class TestEndsOfVersions:
    """An old version ends while requests wait at engines that still have it."""

    def test_a_request_that_has_not_begun_goes_on_elsewhere(self, monkeypatch):
        """Requests began on an old version after its end.

        Symptom: 8.3 s after version 2 was named a request begins on version 1.
        Sequence: an entry sends it 0.7 s before the end to a full engine that
        has not loaded yet; it waits 1.05 s for a slot. Cause: nobody looked
        again whether a request that was sent in time begins in time.
        """
        # The agent's word is told once here.
        monkeypatch.setattr(_outlook, 'WORD_LIVE_S', 30)

        async def check(world):
            name_second(world, 'e1', end_s=3)
            await world.ready()
            world.replicas['e0'].faults.switch_on(fault('hang', None))
            hold_back(world, 'e1')
            answer = asyncio.ensure_future(ask_model(world))
            await world.until(lambda: own_at(world, 'e0'))
            hold_back(world, 'e1', is_changing=False)
            assert (await answer).body == stream_of('a')
            (first,) = [each for each in outlooks(world) if each['id'] == 'e0']
            assert not first['avoided']

        checked(check, entries=1)

    def test_one_with_the_head_of_an_answer_alone_goes_on_as_well(
        self, monkeypatch
    ):
        """A request was taken away up to a pause of a stream too late.

        Symptom: a request begins on an old version after its end, and is
        taken away 0.9 s after that was due. Sequence: the engine sends the
        head of its answer before it begins. Cause: only the head had to come
        in time.
        """
        monkeypatch.setattr(_outlook, 'WORD_LIVE_S', 30)

        async def check(world):
            name_second(world, 'e1', end_s=2)
            await world.ready()
            world.replicas['e0'].faults.switch_on(fault('head_alone', None))
            hold_back(world, 'e1')
            answer = asyncio.ensure_future(ask_model(world))
            await world.until(lambda: own_at(world, 'e0'))
            hold_back(world, 'e1', is_changing=False)
            assert (await answer).body == stream_of('a')

        checked(check, entries=1)

    def test_what_may_still_be_on_its_way_at_the_end_is_not_sent(self):
        """A request began on an old version after it was taken away.

        Symptom: 8.05 s after version 3 was named a request begins on version
        2. Sequence: it is sent 0.53 s before the end to an engine that is
        forecast to begin at once; the link is full; the entry closes the
        connection 0.3 s before the end, the request arrives 0.26 s after the
        close. Cause: only the forecast decided whether it was still sent.
        """

        async def check(world):
            name_second(world, 'e1', end_s=0.8)
            await world.ready()
            hold_back(world, 'e1')
            answer = await ask_model(world)
            assert answer.status == 503
            assert not world.replicas['e0'].runs

        checked(check, entries=1)

    def test_one_that_may_not_be_sent_again_is_kept_away_early(self):
        """At a full engine it waits for up to a second before it begins."""

        async def check(world):
            name_second(world, 'e1', end_s=1.2)
            await world.ready()
            hold_back(world, 'e1')
            answer = await ask_model(world, path='/once/x')
            assert answer.status == 503
            assert not world.replicas['e0'].runs

        checked(check, entries=1)


class TestUnknownAges:
    def test_an_engine_is_used_on_after_the_platform_was_away(self):
        """See `StoreReading.unknown_age_s`: here it is seen by a caller."""

        async def check(world):
            task = world.entries[0].catalog
            task.reading.confirmed_at -= 10
            task.reading.on_answer(clock_s())
            named = PublishedItem(
                key='op/version/m',
                revision=task.catalog.revision + 1,
                payload=json.dumps({'model': 'm', 'version': 2}).encode(),
            )
            task.on_records_came(
                RecordsCame((named,), named.revision, False, 'a peer')
            )
            assert (await ask_model(world)).status == 200

        checked(check, entries=1, bounds={'version_s': 8})

    def test_a_record_that_was_known_without_its_age_is_no_change(self):
        """All processes are new, and none can tell another the age.

        Symptom: a request begins on a version that was replaced long ago.
        Sequence: all processes are killed, each lists the records, each asks
        another how old they are. Cause: an age that the other didn't know
        either counted as that of a change of now.
        """

        async def check(world):
            world.name_version(2)
            await world.add_entry(1, version_s=8)
            await world.ready()
            task = world.entries[0].catalog
            task.on_records_came(
                RecordsCame(
                    tuple(task.catalog.items()),
                    task.catalog.revision,
                    True,
                    'a peer',
                )
            )
            ends_at = task.view.releases.ends_at('m', 1)
            assert ends_at <= clock_s()

        checked(check, entries=0)

    def test_a_new_entry_asks_a_peer_how_old_a_version_is(self):
        """An entry that restarts in the middle of a change serves on."""

        async def check(world):
            world.name_version(2)
            await world.ready()
            await world.add_entry(2, version_s=8)
            releases = world.entries[1].catalog.view.releases
            await world.until(lambda: releases.ends_at('m', 1) > clock_s())

        checked(check, entries=1, bounds={'version_s': 8})


def outlooks(world):
    return world.entries[0].upstreams.status()


def own_at(world, name):
    return any(each['own'] for each in outlooks(world) if each['id'] == name)
