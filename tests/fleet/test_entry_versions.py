"""Version changes around a running entry: ends, pipelines, ages."""

from __future__ import annotations

import asyncio
import json

from attrs import evolve

from crowrudder_core.forecast import _upstream_forecast
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet._records import RecordsReceived
from crowrudder_model.messages import EngineLoad, PublishedItem
from crowrudder_standins.fleet_replica import stream_of
from support.fleet_checks import (
    announce_second_version,
    ask_model,
    checked,
    fault,
    refuse_requests,
)


class TestPipelines:
    def test_engines_with_partial_versions_serve_as_a_pipeline(self):
        """Guards against refusals although all layers are available.

        Hosts transfer a version: no engine holds all layers, three hold a third
        each. If only engines with a complete version got requests, all requests
        would be refused.
        """

        async def check(world):
            self.report_partial_versions(world, version=1)
            answer = await world.ask('/draft/x', method='POST')
            assert answer.status == 200
            first, rest = self.pipeline_of(world)
            assert first == f'{world.addresses["e0"]}=0-5'
            assert rest == [
                f'{world.addresses["e1"]}=5-10',
                f'{world.addresses["e2"]}=10-16',
            ]

        checked(check, engines=3)

    def test_a_stream_that_may_not_resume_uses_no_pipeline(self):
        async def check(world):
            self.report_partial_versions(world, version=1)
            answer = await world.ask('/once/x', method='POST')
            assert answer.status == 503
            assert answer.retry_after_s > 0
            assert not world.replicas['e0'].paths

        checked(check, engines=3)

    def test_a_waiting_request_is_cancelled_when_a_newer_version_is_announced(
        self,
    ):
        """Guards against a token that is made by two versions of the weights.

        A request waits for 2.5 s at the first engine of a pipeline. A newer
        version is announced, and another engine of the pipeline loads it. If
        the pipeline were checked only at the send, its engines would run two
        versions.
        """

        async def check(world):
            self.report_partial_versions(world, version=1)
            world.replicas['e0'].faults.switch_on(fault('hang', None))
            answer = asyncio.ensure_future(
                world.ask('/draft/x', method='POST', X_Model='m')
            )
            await world.until(lambda: world.replicas['e0'].runs)
            world.name_version(2)
            # The timeout of the caller would give 504.
            assert (await answer).status == 502

        checked(check, engines=3, entries=1)

    def test_partial_holders_of_an_older_version_serve_nothing(self):
        async def check(world):
            announced = {'model': 'm', 'version': 2}
            world.store.put('op/version/m', json.dumps(announced).encode())
            await world.ready()
            self.report_partial_versions(world, version=1)
            answer = await world.ask('/draft/x', method='POST')
            assert answer.status == 503
            assert not world.replicas['e0'].paths

        checked(check, engines=3)

    def report_partial_versions(self, world, *, version):
        upstreams = world.entries[0].upstreams
        for number, layers in enumerate([(0, 5), (5, 10), (10, 16)]):
            replica = world.replicas[f'e{number}']
            replica.weights, replica.layers = version, layers
            upstreams.on_load(
                EngineLoad(
                    address=world.addresses[f'e{number}'],
                    reachable=True,
                    partial_version=version,
                    first_layer=layers[0],
                    end_layer=layers[1],
                ),
            )

    def pipeline_of(self, world):
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

    def test_an_old_version_gets_no_request_after_its_end(self):
        async def check(world):
            world.replicas['e1'].weights = 2
            world.list_replica('e1', 'llm')
            announced = {'model': 'm', 'version': 2}
            world.store.put('op/version/m', json.dumps(announced).encode())
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


class TestVersionEnds:
    """An old version ends while requests wait at engines that still hold it."""

    def test_a_request_that_has_not_begun_is_retried_elsewhere(
        self, monkeypatch
    ):
        """Guards against requests that begin on an old version after its end.

        An entry sends a request 0.7 s before the end to a full engine that has
        not loaded version 2 yet, where it waits 1.05 s for a slot. Without a
        check that a request sent in time also begins in time, it begins on
        version 1 as late as 8.3 s after version 2 was announced.
        """
        # The agent's load report is sent only once here.
        monkeypatch.setattr(_upstream_forecast, 'LOAD_REPORT_TTL_S', 30)

        async def check(world):
            announce_second_version(world, 'e1', end_s=3)
            await world.ready()
            world.replicas['e0'].faults.switch_on(fault('hang', None))
            refuse_requests(world, 'e1')
            answer = asyncio.ensure_future(ask_model(world))
            await world.until(lambda: has_own_request(world, 'e0'))
            refuse_requests(world, 'e1', is_changing=False)
            assert (await answer).body == stream_of('a')
            (first,) = [each for each in forecasts(world) if each['id'] == 'e0']
            assert not first['avoided']

        checked(check, entries=1)

    def test_a_request_with_only_the_head_of_an_answer_is_retried_as_well(
        self, monkeypatch
    ):
        """Guards against a cancellation that is late by a stream's pause.

        The engine sends the head of its answer before it begins. If only the
        head had to arrive in time, the request would be cancelled 0.9 s too
        late and begin on an old version after its end.
        """
        monkeypatch.setattr(_upstream_forecast, 'LOAD_REPORT_TTL_S', 30)

        async def check(world):
            announce_second_version(world, 'e1', end_s=2)
            await world.ready()
            world.replicas['e0'].faults.switch_on(fault('head_alone', None))
            refuse_requests(world, 'e1')
            answer = asyncio.ensure_future(ask_model(world))
            await world.until(lambda: has_own_request(world, 'e0'))
            refuse_requests(world, 'e1', is_changing=False)
            assert (await answer).body == stream_of('a')

        checked(check, entries=1)

    def test_a_request_that_could_be_in_transit_at_the_end_is_not_sent(self):
        """Guards against a request that begins after it was cancelled.

        A request is sent 0.53 s before the end to an engine that is forecast to
        begin at once, over a saturated link. The entry closes the connection
        0.3 s before the end, and the request arrives 0.26 s after the close. If
        only the forecast decided whether it is sent, it would begin on version
        2 as late as 8.05 s after version 3 was announced.
        """

        async def check(world):
            announce_second_version(world, 'e1', end_s=0.8)
            await world.ready()
            refuse_requests(world, 'e1')
            answer = await ask_model(world)
            assert answer.status == 503
            assert not world.replicas['e0'].runs

        checked(check, entries=1)

    def test_a_request_that_may_not_be_retried_needs_a_longer_margin(self):
        """At a full engine a request waits up to a second before it begins."""

        async def check(world):
            announce_second_version(world, 'e1', end_s=1.2)
            await world.ready()
            refuse_requests(world, 'e1')
            answer = await ask_model(world, path='/once/x')
            assert answer.status == 503
            assert not world.replicas['e0'].runs

        checked(check, entries=1)


class TestUnknownAges:
    def test_an_engine_stays_in_use_after_a_platform_outage(self):
        """Test the effect of `StoreReadPolicy.unknown_age_s` on a caller."""

        async def check(world):
            task = world.entries[0].catalog
            task.reading.confirmed_at -= 10
            task.reading.on_confirmed(clock_s(), clock_s())
            announced = PublishedItem(
                key='op/version/m',
                revision=task.catalog.revision + 1,
                payload=json.dumps({'model': 'm', 'version': 2}).encode(),
            )
            task.on_records_received(
                RecordsReceived(
                    (announced,),
                    evolve(task.catalog.position, revision=announced.revision),
                    False,
                    'a peer',
                )
            )
            assert (await ask_model(world)).status == 200

        checked(check, entries=1, bounds={'version_s': 8})

    def test_a_record_of_unknown_age_is_no_recent_change(self):
        """Guards against an unknown age that counts as a change just now.

        All processes are killed and restarted. Each lists the records and asks
        another for their age, which that one doesn't know either. If the age
        counted as zero, a request would begin on a version that was replaced
        long ago.
        """

        async def check(world):
            world.name_version(2)
            await world.add_entry(1, version_s=8)
            await world.ready()
            task = world.entries[0].catalog
            task.on_records_received(
                RecordsReceived(
                    tuple(task.catalog.items()),
                    task.catalog.position,
                    True,
                    'a peer',
                )
            )
            ends_at = task.view.releases.ends_at('m', 1)
            assert ends_at <= clock_s()

        checked(check, entries=0)

    def test_a_new_entry_asks_a_peer_for_the_age_of_a_version(self):
        """An entry that restarts during a version change keeps serving."""

        async def check(world):
            world.name_version(2)
            await world.ready()
            await world.add_entry(2, version_s=8)
            releases = world.entries[1].catalog.view.releases
            await world.until(lambda: releases.ends_at('m', 1) > clock_s())

        checked(check, entries=1, bounds={'version_s': 8})


def forecasts(world):
    return world.entries[0].upstreams.status()


def has_own_request(world, name):
    return any(each['own'] for each in forecasts(world) if each['id'] == name)
