from __future__ import annotations

import json

import pytest
from crowrudder_platform.adapter import PlatformCallers

from crowrudder_daemon.fleet_entry._directory import MAX_ADDRESSES, Directory
from crowrudder_daemon.fleet_entry._role import FleetEntry
from crowrudder_model.fleet import FleetConfig, Route, RouteKind, RouteTarget
from crowrudder_model.messages import MemberStatus
from support.fleet_checks import checked
from support.leaving_caller import LeavingCaller
from support.raising import raise_once


def member(number, **more):
    return MemberStatus(
        ip=f'10.0.0.{number}',
        role='entry',
        incarnation='1',
        started_at=1,
        callers=f'10.0.0.{number}:80',
        **more,
    )


def directory_of(*members, routes=()):
    config = FleetConfig(version=1, routes=routes)
    return Directory(
        dialect=PlatformCallers(),
        entries=lambda: list(members),
        own='10.0.0.1:80',
        is_ready=lambda: True,
        ttl_s=2,
        config=lambda: config,
    )


class TestAddresses:
    def test_returns_only_ready_entries(self):
        directory = directory_of(
            member(1, ready=True),
            member(2),
            member(3, ready=False, leaving=True),
        )
        assert directory.addresses() == ['10.0.0.1:80']

    def test_returns_entries_that_are_not_leaving_if_none_is_ready(self):
        """Guards against callers that give up while a fleet starts.

        Callers look up an entry before any has read the configuration. An
        answer without addresses counts as a failure, so that requests would
        fail for seconds after all processes started.
        """
        directory = directory_of(member(1), member(2, leaving=True))
        assert directory.addresses() == ['10.0.0.1:80']
        assert directory_of().addresses() == ['10.0.0.1:80']

    def test_limits_the_number_of_addresses(self):
        members = [member(number, ready=True) for number in range(1, 100)]
        assert len(directory_of(*members).addresses()) == MAX_ADDRESSES

    def test_encodes_the_answer_for_the_platform(self):
        answer = json.loads(directory_of(member(1, ready=True)).answer({}))
        assert answer == {'addresses': ['10.0.0.1:80'], 'ttl_s': 2}


class TestServingRegions:
    def test_names_entries_of_the_callers_region_for_restricted_routes(self):
        """Guards against bodies that enter the fleet in a third region."""
        directory = directory_of(
            member(1, ready=True, region='a'),
            member(2, ready=True, region='b'),
            routes=(restricted('Bound.example', 'b'),),
        )
        caller = {'region': 'a', 'zone': 'a-1'}
        bound = json.loads(
            directory.answer({'name': 'bound.example', **caller})
        )
        assert bound['addresses'] == ['10.0.0.1:80']
        other = json.loads(directory.answer({'name': 'other', **caller}))
        assert len(other['addresses']) == 2

    def test_the_regions_of_all_routes_of_a_host_count(self):
        """Guards against callers of one route that find no entry of theirs."""
        directory = directory_of(
            member(1, ready=True, region='a'),
            member(2, ready=True, region='b'),
            member(3, ready=True, region='c'),
            routes=(restricted('h', 'a', prefix='/a/'), restricted('h', 'b')),
        )
        found = directory.addresses('H', 'd')
        assert found == ['10.0.0.1:80', '10.0.0.2:80']


def restricted(host, *regions, prefix='/'):
    return Route(
        name='r',
        host=host,
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        targets=(RouteTarget('s'),),
        timeout_s=1,
        goal_s=1,
        regions=frozenset(regions),
    )


class TestUnforeseenError:
    """Guards against a caller without an answer after an error."""

    @pytest.mark.parametrize(
        ('step', 'path'),
        [
            ((PlatformCallers, 'caller_host'), PlatformCallers.directory_path),
            ((FleetEntry, 'readiness'), PlatformCallers.ready_path),
        ],
    )
    def test_it_is_answered(self, monkeypatch, step, path):
        async def check(world):
            node = world.nodes[0]
            raised = raise_once(monkeypatch, *step)
            for address, status in ((node.directory, 500), (node.ready, 200)):
                caller = LeavingCaller(address)
                caller.send(f'GET {path} HTTP/1.1\r\nHost: a\r\n\r\n'.encode())
                assert await caller.status() == status
            assert raised

        checked(check)
