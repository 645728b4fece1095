"""Logs: one JSON object per line, on standard error or, in a fleet, rate-limited.

Fields are passed in ``extra``: ``request_id``, ``attempt``, ``peer``, ``step``.
``host`` and ``role`` are on every line.
"""

from __future__ import annotations

import logging
import os
import sys
from typing import TYPE_CHECKING, TextIO

from pythonjsonlogger.json import JsonFormatter

from crowrudder_core.limits import TokenBucket

if TYPE_CHECKING:
    from crowrudder_daemon.settings import Settings

ROOT = 'crowrudder'
BURST_S = 2.0
"""Burst size, as seconds of the line rate."""

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


class BoundedHandler(logging.Handler):
    """Writes lines at a limited rate and never blocks on their reader.

    Under overload each refusal writes a line, and with a reader that has
    stopped, a blocking write would stall the process. Dropped lines are
    counted, and the count is added to the next line.

    Parameters
    ----------
    descriptor
        File descriptor to write to.
    lines_per_s
        Long-run limit of lines per second.
    """

    def __init__(self, descriptor: int, *, lines_per_s: float) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._bucket = TokenBucket(lines_per_s, BURST_S * lines_per_s)
        self._left_out = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        if not self._bucket.take(1, now=record.created):
            self._left_out += 1
            return
        if self._left_out:
            record.left_out = self._left_out
        try:
            line = self.format(record).encode() + b'\n'
            os.write(self._descriptor, line)
        except BlockingIOError:
            # The pipe is full; the count is logged once it is read again.
            self._left_out += 1
        except Exception:
            self.handleError(record)
        else:
            self._left_out = 0


def start_logs(
    cfg: Settings,
    stream: TextIO | None = None,
    *,
    lines_per_s: float = 0,
) -> logging.Logger:
    """Configure logging and return the logger of this process.

    Library loggers are limited to warnings: their lines carry no request id.
    With ``lines_per_s`` the lines go to standard output, limited to that rate.
    """
    handler: logging.Handler = logging.StreamHandler(stream or sys.stderr)
    if lines_per_s:
        handler = BoundedHandler(sys.stdout.fileno(), lines_per_s=lines_per_s)
    handler.setFormatter(
        JsonFormatter(
            _FORMAT,
            rename_fields={
                'asctime': 'at',
                'levelname': 'level',
                'name': 'logger',
            },
            static_fields={
                'host': cfg.process.host,
                'role': cfg.process.role,
            },
        ),
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    # `tornado.access` logs an error for each 5xx: under overload each refusal
    # would cost a log line when time is short. Outcomes are counted as metrics.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    log = logging.getLogger(ROOT)
    log.setLevel(cfg.logs.level.upper())
    return log
