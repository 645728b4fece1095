"""What the log tells of the ends of versions that a process believes."""

from __future__ import annotations

import logging

from crowrudder_core.catalog import Releases
from crowrudder_daemon._clock import clock_s
from crowrudder_daemon.fleet._records import RecordsCame
from crowrudder_daemon.fleet._version_ends import VersionEnds
from crowrudder_model.fleet import NamedVersion
from crowrudder_model.messages import PublishedItem
from support.fleet_checks import checked

WINDOW_S = 8


def lines_of(caplog, model='m'):
    return [
        record
        for record in caplog.records
        if record.message == 'end of a version concluded'
        and record.model == model
    ]


class Believer:
    """A process that is told of versions, at times of the test's choice."""

    def __init__(self, free_until=0):
        self.releases = Releases(WINDOW_S, free_until)
        self.ends = VersionEnds(logging.getLogger('test'), self.releases)

    def hear(self, version, *, age_s, now, age_by='teller'):
        named = NamedVersion(model='m', version=version)
        ended_at = self.ends.previous_end(named)
        self.releases.on_named('m', version, age_s=age_s, now=now)
        self.ends.log_change(
            named, ended_at=ended_at, teller='a peer', age_by=age_by, now=now
        )


class TestVersionEnds:
    def test_the_end_that_follows_from_an_age_is_told(self, caplog):
        """Nothing told which end of a version an entry went by.

        Symptom: a request begins on a version after its end. Sequence: an
        entry hears of the next one late, without its age or with another one.
        Cause: the log told the age as it came, not what followed from it.
        """
        believer = Believer()
        with caplog.at_level('INFO'):
            believer.hear(1, age_s=100, now=1000)
            believer.hear(2, age_s=1.5, now=1000)
        line = lines_of(caplog)[-1]
        assert (line.step, line.version, line.before) == ('record', 2, 1)
        assert (line.teller, line.age_by) == ('a peer', 'teller')
        assert (line.age_s, line.ends_in_s) == (1.5, 6.5)
        assert line.was_in_s is None

    def test_an_unknown_age_is_told_as_what_it_counts(self, caplog):
        believer = Believer(free_until=1003)
        with caplog.at_level('INFO'):
            believer.hear(2, age_s=None, now=1000, age_by='nobody')
        (line,) = lines_of(caplog)
        assert (line.age_s, line.ends_in_s) == (5, 3)
        assert (line.before, line.age_by) == (None, 'nobody')

    def test_an_age_that_becomes_known_later_is_a_change(self, caplog):
        believer = Believer()
        with caplog.at_level('INFO'):
            believer.hear(2, age_s=None, now=1000, age_by='nobody')
            believer.hear(2, age_s=2, now=1001)
        _, line = lines_of(caplog)
        assert (line.ends_in_s, line.was_in_s) == (6, -1)

    def test_the_same_end_is_told_once(self, caplog):
        believer = Believer()
        with caplog.at_level('INFO'):
            believer.hear(2, age_s=2, now=1000)
            believer.hear(2, age_s=3.0001, now=1001)
            believer.hear(1, age_s=0, now=1002)
        assert len(lines_of(caplog)) == 1


class TestOfARunningEntry:
    """Where the age comes from, by the records that came."""

    def test_an_age_that_the_entry_guessed_is_told_as_one(self, caplog):
        async def check(world):
            task = world.entries[0].catalog
            hear(task, 2, age_s=-1)
            hear(task, 3, age_s=0.5)

        with caplog.at_level('INFO'):
            checked(check, bounds={'version_s': WINDOW_S})
        guess, told = lines_of(caplog)
        assert (guess.age_by, guess.version) == ('guess', 2)
        assert (told.age_by, told.age_s) == ('teller', 0.5)
        assert (told.before, told.ends_in_s) == (2, 7.5)

    def test_of_a_new_process_first_nobody_knows_then_a_peer(self, caplog):
        async def check(world):
            world.name_version(2)
            await world.ready()
            caplog.clear()
            await world.add_entry(2, version_s=WINDOW_S)
            releases = world.entries[1].catalog.view.releases
            await world.until(lambda: releases.ends_at('m', 1) > clock_s())
            await world.until(lambda: len(lines_of(caplog)) > 1)

        with caplog.at_level('INFO'):
            checked(check, bounds={'version_s': WINDOW_S})
        unknown, known = lines_of(caplog)
        assert (unknown.age_by, unknown.teller) == ('nobody', 'platform')
        assert known.age_by == 'teller'
        assert known.teller != 'platform'
        assert known.ends_in_s > known.was_in_s


def hear(task, version, *, age_s):
    revision = task.catalog.revision + 1
    item = PublishedItem(
        key='op/version/m',
        revision=revision,
        payload=b'{"model": "m", "version": %d}' % version,
        age_s=age_s,
    )
    task.on_records_came(RecordsCame((item,), revision, False, 'a peer'))
