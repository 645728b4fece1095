"""Logs: one JSON object a line, on standard error or, in a fleet, bounded.

Fields come by ``extra``: ``request_id``, ``attempt``, ``peer`` and ``step``.
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
"""Lines of so many seconds may come at once."""

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


class BoundedHandler(logging.Handler):
    """Writes lines at a bounded rate, and never waits for their reader.

    What goes wrong otherwise: under overload each refusal writes a line, and
    a reader that has stopped lets the process stand still in a write. Lines
    that are left out are counted, and the count comes with the next line.

    Parameters
    ----------
    descriptor
        Where the lines go.
    lines_per_s
        Most lines a second in the long run.
    """

    def __init__(self, descriptor: int, *, lines_per_s: float) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._bucket = TokenBucket(lines_per_s, BURST_S * lines_per_s)
        self._left_out = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or count it as left out."""
        if not self._bucket.take(1, now=record.created):
            self._left_out += 1
            return
        if self._left_out:
            record.left_out = self._left_out
        try:
            line = self.format(record).encode() + b'\n'
            os.write(self._descriptor, line)
        except BlockingIOError:
            # Nobody reads: told by the count, as soon as somebody does.
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
    """Make the logger of this process.

    Loggers of libraries keep to warnings: their lines carry no request. With
    ``lines_per_s`` the lines go to standard output, and no more of them.
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
    # `tornado.access` writes errors for 5xx: under overload each refusal would
    # cost a line, when time is short. Outcomes are counted as metrics.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    log = logging.getLogger(ROOT)
    log.setLevel(cfg.logs.level.upper())
    return log
