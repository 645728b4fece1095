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
    def test_dropped_lines_are_counted_and_reported(self):
        reader, writer = os.pipe()
        bounded = handler(writer)
        for number in range(100):
            bounded.emit(record(number, 1000))
        bounded.emit(record(100, 1001))
        lines = lines_of(reader)
        burst = int(BURST_S * RATE)
        assert len(lines) == burst + 1
        assert lines[-1]['left_out'] == 100 - burst

    def test_stopped_reader_does_not_block_the_process(self):
        """A process blocked in a write to its log.

        Symptom: all requests of an entry wait. Sequence: the reader of its log
        stops, and the pipe fills. Cause: writes to the log were blocking.
        """
        reader, writer = os.pipe()
        bounded = handler(writer, rate=1e9)
        for number in range(20_000):
            bounded.emit(record(number, 1000 + number))
        os.read(reader, 1 << 20)
        bounded.emit(record(1, 1e6))
        assert lines_of(reader)[-1]['left_out'] > 0
