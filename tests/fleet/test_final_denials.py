"""Requests that are denied for good, beside a platform that hides changes."""

from __future__ import annotations

import asyncio

import pytest

from crowrudder_daemon._clock import clock_s
from support.fleet import ROUTES, route
from support.fleet_checks import checked, fault

BOUND_S = 2.0
ASKED_S = 3.0
FINAL = (401, 403, 404)


def add_route(world):
    added = route('added', '/added/', 'safe', 'plain')
    world.publish(version=9, routes=[*ROUTES, added])


def add_key(world):
    customers = [{'name': 'customer', 'api_keys': ['added']}]
    world.publish(version=9, tenants=customers)


def list_keys(world):
    customers = [{'name': 'customer', 'api_keys': ['known']}]
    world.publish(version=5, tenants=customers)


class TestChangesThatNoWatchTells:
    """Final denials need proof that nothing was published since."""

    @pytest.mark.parametrize('entries', [1, 3])
    def test_an_added_route_is_not_denied(self, entries):
        """Guards against empty answers that count although changes lack."""

        async def check(world):
            world.store.faults.switch_on(fault('deaf', count=1_000))
            add_route(world)
            published_at = clock_s()
            await asyncio.sleep(BOUND_S)
            number = 0
            while clock_s() < published_at + BOUND_S + ASKED_S:
                number += 1
                answer = await world.ask('/added/x', request_id=f'a{number}')
                assert answer.status not in FINAL
                await asyncio.sleep(0.1)

        checked(check, entries=entries)

    def test_an_added_key_is_not_denied(self):
        """Guards against 401 by keys that are older than the bound."""

        async def check(world):
            list_keys(world)
            await world.ready()
            world.store.faults.switch_on(fault('deaf', count=1_000))
            add_key(world)
            published_at = clock_s()
            await asyncio.sleep(BOUND_S)
            number = 0
            while clock_s() < published_at + BOUND_S + ASKED_S:
                number += 1
                answer = await world.ask(
                    '/read/x', request_id=f'a{number}', X_Credential='added'
                )
                assert answer.status not in FINAL
                await asyncio.sleep(0.1)

        checked(check, entries=3)

    def test_an_unknown_route_is_denied_at_once(self):
        """Guards against callers of a wrong address who are told to return."""

        async def check(world):
            answer = await world.ask('/nothing/x', request_id='a1')
            assert answer.status == 404

        checked(check, entries=3)
