"""Log lines on the ends of versions that a process computes."""

from __future__ import annotations

import logging

from attrs import evolve

from crowrudder_core.catalog import Releases
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet._records import RecordsReceived
from crowrudder_daemon.fleet._version_ends import VersionEnds
from crowrudder_model.fleet import TargetVersion
from crowrudder_model.messages import PublishedItem
from support.fleet_checks import checked

WINDOW_S = 8


def log_lines(caplog, model='m'):
    return [
        record
        for record in caplog.records
        if record.message == 'end of a version concluded'
        and record.model == model
    ]


class VersionObserver:
    """Receives versions, with ages and times that the test chooses."""

    def __init__(self, enforced_from=0):
        self.releases = Releases(WINDOW_S, enforced_from)
        self.ends = VersionEnds(logging.getLogger('test'), self.releases)

    def receive(self, version, *, age_s, now, age_by='teller'):
        named = TargetVersion(model='m', version=version)
        ended_at = self.ends.previous_end(named)
        self.releases.on_named('m', version, age_s=age_s, now=now)
        self.ends.log_change(
            named, ended_at=ended_at, teller='a peer', age_by=age_by, now=now
        )


class TestVersionEnds:
    def test_end_computed_from_an_age_is_logged(self, caplog):
        """The log must show the end of a version that an entry has computed.

        An entry that receives the next version late, without an age or with
        another one, can start requests on the old version after its end. The age
        in the received record alone doesn't show that.
        """
        observer = VersionObserver()
        with caplog.at_level('INFO'):
            observer.receive(1, age_s=100, now=1000)
            observer.receive(2, age_s=1.5, now=1000)
        line = log_lines(caplog)[-1]
        assert (line.step, line.version, line.before) == ('record', 2, 1)
        assert (line.teller, line.age_by) == ('a peer', 'teller')
        assert (line.age_s, line.ends_in_s) == (1.5, 6.5)
        assert line.was_in_s is None

    def test_unknown_age_is_logged_as_the_assumed_age(self, caplog):
        observer = VersionObserver(enforced_from=1003)
        with caplog.at_level('INFO'):
            observer.receive(2, age_s=None, now=1000, age_by='nobody')
        (line,) = log_lines(caplog)
        assert (line.age_s, line.ends_in_s) == (5, 3)
        assert (line.before, line.age_by) == (None, 'nobody')

    def test_age_that_becomes_known_later_is_a_change(self, caplog):
        observer = VersionObserver()
        with caplog.at_level('INFO'):
            observer.receive(2, age_s=None, now=1000, age_by='nobody')
            observer.receive(2, age_s=2, now=1001)
        _, line = log_lines(caplog)
        assert (line.ends_in_s, line.was_in_s) == (6, -1)

    def test_unchanged_end_is_logged_once(self, caplog):
        observer = VersionObserver()
        with caplog.at_level('INFO'):
            observer.receive(2, age_s=2, now=1000)
            observer.receive(2, age_s=3.0001, now=1001)
            observer.receive(1, age_s=0, now=1002)
        assert len(log_lines(caplog)) == 1


class TestRunningEntry:
    """The source of the age, for records that an entry receives."""

    def test_assumed_age_is_logged_as_a_guess(self, caplog):
        async def check(world):
            task = world.entries[0].catalog
            receive(task, 2, age_s=-1)
            receive(task, 3, age_s=0.5)

        with caplog.at_level('INFO'):
            checked(check, bounds={'version_s': WINDOW_S})
        guess, reported = log_lines(caplog)
        assert (guess.age_by, guess.version) == ('guess', 2)
        assert (reported.age_by, reported.age_s) == ('teller', 0.5)
        assert (reported.before, reported.ends_in_s) == (2, 7.5)

    def test_new_process_logs_an_unknown_age_then_the_age_of_a_peer(
        self, caplog
    ):
        async def check(world):
            world.name_version(2)
            await world.ready()
            caplog.clear()
            await world.add_entry(2, version_s=WINDOW_S)
            releases = world.entries[1].catalog.view.releases
            await world.until(lambda: releases.ends_at('m', 1) > clock_s())
            await world.until(lambda: len(log_lines(caplog)) > 1)

        with caplog.at_level('INFO'):
            checked(check, bounds={'version_s': WINDOW_S})
        unknown, known = log_lines(caplog)
        assert (unknown.age_by, unknown.teller) == ('nobody', 'platform')
        assert known.age_by == 'teller'
        assert known.teller != 'platform'
        assert known.ends_in_s > known.was_in_s


def receive(task, version, *, age_s):
    revision = task.catalog.revision + 1
    item = PublishedItem(
        key='op/version/m',
        revision=revision,
        payload=b'{"model": "m", "version": %d}' % version,
        age_s=age_s,
    )
    task.on_records_received(
        RecordsReceived(
            (item,),
            evolve(task.catalog.position, revision=revision),
            False,
            'a peer',
        )
    )
