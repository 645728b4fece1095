from __future__ import annotations

import json
import logging
import os

from pythonjsonlogger.json import JsonFormatter

from crowrudder_daemon.logs import BURST_S, BoundedHandler

RATE = 5


def lines_of(descriptor):
    return [
        json.loads(line)
        for line in os.read(descriptor, 1 << 20).split(b'\n')
        if line
    ]


def handler(descriptor, rate=RATE):
    made = BoundedHandler(descriptor, lines_per_s=rate)
    made.setFormatter(JsonFormatter('%(message)s'))
    return made


def record(number, at):
    made = logging.LogRecord('a', logging.INFO, 'a', 1, f'm{number}', (), None)
    made.created = at
    return made


class TestBoundedLogs:
    def test_lines_over_the_rate_are_counted_and_told(self):
        reader, writer = os.pipe()
        bounded = handler(writer)
        for number in range(100):
            bounded.emit(record(number, 1000))
        bounded.emit(record(100, 1001))
        lines = lines_of(reader)
        burst = int(BURST_S * RATE)
        assert len(lines) == burst + 1
        assert lines[-1]['left_out'] == 100 - burst

    def test_a_reader_that_has_stopped_holds_nobody_up(self):
        """A process stood still in a write.

        Symptom: all requests of an entry wait. Sequence: whoever reads its
        log stops, the pipe fills. Cause: a write to the log waited for it.
        """
        reader, writer = os.pipe()
        bounded = handler(writer, rate=1e9)
        for number in range(20_000):
            bounded.emit(record(number, 1000 + number))
        os.read(reader, 1 << 20)
        bounded.emit(record(1, 1e6))
        assert lines_of(reader)[-1]['left_out'] > 0
