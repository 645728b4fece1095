"""Load reports of an agent, and the schedule of its host's loads."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from crowrudder_core.catalog import Releases
from crowrudder_daemon.fleet_agent._engine_watch import _Recipients
from crowrudder_daemon.fleet_agent._load_schedule import (
    load_delay_s,
    reads_at_once,
)
from crowrudder_model.messages import EngineLoad


class TestWordsOnLoad:
    """Load reports to entries of the agent's own region and of others."""

    def told(self, loads, *, only_urgent=False):
        recipients = _Recipients(only_urgent=only_urgent)
        found = []
        for number, load in enumerate(loads):
            now = number / 10
            if recipients.mark_if_due(load, now):
                found.append(number)
        return found

    def test_own_region_receives_every_change(self):
        loads = [load_of(running=number) for number in range(10)]
        assert self.told(loads) == list(range(10))

    def test_other_regions_receive_urgent_changes_only(self):
        loads = [load_of(running=number) for number in range(10)]
        assert self.told(loads, only_urgent=True) == [0]

    @pytest.mark.parametrize(
        'change', [{'weights': 2}, {'is_changing': True}, {'reachable': False}]
    )
    def test_change_of_availability_is_sent_at_once(self, change):
        """Otherwise a remote entry would send to an engine that is loading."""
        loads = [load_of(), load_of(**change)]
        assert self.told(loads, only_urgent=True) == [0, 1]

    def test_unchanged_report_is_resent(self):
        loads = [load_of()] * 10
        assert self.told(loads) == [0, 4, 8]


def load_of(**changes):
    word = {'address': '127.0.0.1:1', 'reachable': True, 'weights': 1}
    made: Any = word | changes
    return EngineLoad(**made)


class TestTurns:
    def test_hosts_load_one_after_the_other_within_the_window(self):
        hosts = [f'10.0.0.{number}' for number in range(10)]
        delays = sorted(
            load_delay_s(version='m@2', host=host, hosts=hosts, window_s=8)
            for host in hosts
        )
        assert delays[0] >= 3
        assert delays[-1] <= 7
        assert len(set(delays)) == len(hosts)

    def test_late_hosts_spread_loads_over_rest_of_window(self):
        """Guard against simultaneous loads of nearly all engines.

        On slow links all hosts hold the version within half a second of each
        other, late in the window. Load times were spread over the complete
        window, so most had passed by then and these hosts loaded at once:
        nothing was served for a second at each new version.
        """
        hosts = [f'10.0.0.{number}' for number in range(10)]
        delays = sorted(
            load_delay_s(
                version='m@2', host=host, hosts=hosts, window_s=8, held_s=6.3
            )
            for host in hosts
        )
        assert delays[0] >= 6.3
        assert delays[-1] <= 7.2
        gaps = [b - a for a, b in itertools.pairwise(delays)]
        assert min(gaps) > 0.08

    def test_hosts_that_load_first_read_more_concurrently(self):
        """Guard against half of the engines loading within two seconds.

        If link capacity is shared evenly, all hosts hold a new version at the
        same time, late in its window, and half of the streams are late as the
        old version ends.
        """
        hosts = [f'10.0.0.{number}' for number in range(30)]
        reads = {host: reads_at_once('m@2', host, hosts) for host in hosts}
        delays = {
            host: load_delay_s(
                version='m@2', host=host, hosts=hosts, window_s=8
            )
            for host in hosts
        }
        first = sorted(hosts, key=lambda host: delays[host])[:10]
        assert {host for host in hosts if reads[host] > 3} == set(first)

    def test_load_order_differs_between_versions(self):
        hosts = [f'10.0.0.{number}' for number in range(10)]

        def first_of(version):
            delays = {
                load_delay_s(
                    version=version, host=host, hosts=hosts, window_s=8
                ): host
                for host in hosts
            }
            return delays[min(delays)]

        versions = ('m@1', 'm@2', 'm@3', 'm@4', 'm@5')
        assert len({first_of(version) for version in versions}) > 1

    @pytest.mark.parametrize('version', [2, 9])
    def test_window_of_a_version_is_the_same_fleetwide(self, version):
        releases = Releases(8)
        releases.on_named('m', version, age_s=1, now=10)
        assert releases.ends_at('m', version - 1) == 17
        assert releases.ends_at('m', version) > 17
