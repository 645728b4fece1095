"""Seeds of the platform's soak that failed once, each with its cause."""

from __future__ import annotations

FAILED_ONCE = {
    3: (
        'the origin gave one wrong digest to all hosts for a second; the '
        'manifest was believed for good'
    ),
    2: (
        'the stand-in of a crashed replica answered on over connections that '
        'were open; its end now breaks them'
    ),
    10: (
        'SIGTERM met an interpreter that had not got to its handlers; allowed '
        'where the log shows that the process did not serve yet'
    ),
}
