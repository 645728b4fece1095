"""Logs: one JSON object a line on standard error.

Fields come by ``extra``: ``request_id``, ``attempt``, ``peer`` and ``step``.
``host`` and ``role`` are on every line.
"""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, TextIO

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from crowrudder_daemon.settings import Settings

ROOT = 'crowrudder'
_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'


def start_logs(cfg: Settings, stream: TextIO | None = None) -> logging.Logger:
    """Make the logger of this process.

    Loggers of libraries keep to warnings: their lines carry no request.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
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
