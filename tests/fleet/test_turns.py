"""What an agent tells of its engine, and when its host loads a version."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from crowrudder_core.catalog import Releases
from crowrudder_daemon.fleet_agent._engine_watch import _Audience
from crowrudder_daemon.fleet_agent._load_schedule import (
    load_delay_s,
    reads_at_once,
)
from crowrudder_model.messages import EngineLoad


class TestWordsOnLoad:
    """What an agent tells the entries of its own region and of others."""

    def told(self, loads, *, only_urgent=False):
        audience = _Audience(only_urgent=only_urgent)
        found = []
        for number, load in enumerate(loads):
            now = number / 10
            if audience.take(load, now):
                found.append(number)
        return found

    def test_the_own_region_hears_every_change(self):
        loads = [load_of(running=number) for number in range(10)]
        assert self.told(loads) == list(range(10))

    def test_others_hear_of_it_from_the_entries_of_this_region(self):
        loads = [load_of(running=number) for number in range(10)]
        assert self.told(loads, only_urgent=True) == [0]

    @pytest.mark.parametrize(
        'change', [{'weights': 2}, {'is_changing': True}, {'reachable': False}]
    )
    def test_whether_they_may_send_is_told_at_once(self, change):
        """A far entry would else send to an engine that is being loaded."""
        loads = [load_of(), load_of(**change)]
        assert self.told(loads, only_urgent=True) == [0, 1]

    def test_a_word_that_stays_is_repeated(self):
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

    def test_hosts_that_hold_it_late_share_out_what_is_left(self):
        """Nearly all engines of a fleet stood still at once.

        Symptom: nothing can be served for a second at each new version.
        Sequence: links are slow, so all hosts hold the version within half a
        second of each other, late in the window; the turns of most have
        passed by then, so these load at once. Cause: turns were parts of the
        whole window.
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

    def test_those_who_load_first_read_more_at_once(self):
        """Half of a fleet's engines loaded within the last two seconds.

        Symptom: half of the streams are late as a version ends. Sequence: all
        hosts hold the new one at the same time, late in its window. Cause:
        links that were shared out evenly.
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

    def test_each_version_has_another_order(self):
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
    def test_the_window_of_a_version_is_the_fleets(self, version):
        releases = Releases(8)
        releases.on_named('m', version, age_s=1, now=10)
        assert releases.ends_at('m', version - 1) == 17
        assert releases.ends_at('m', version) > 17
