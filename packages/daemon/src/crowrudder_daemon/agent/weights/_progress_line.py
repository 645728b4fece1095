"""Format a transfer's progress as one line for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from crowrudder_core.transfer import Transfer

MEGABYTE = 1_000_000


def progress_line(transfer: Transfer, *, now: float) -> str:
    """Return share, rate, time left and wait reasons of a transfer."""
    left_s = transfer.progress.left_s(now)
    time_left = 'no end in sight' if left_s is None else f'{left_s:.0f} s left'
    rate = transfer.progress.rate(now) / MEGABYTE
    waits_for = ', '.join(transfer.waits_for())
    return (
        f'{transfer.manifest.version} is on its way: {transfer.share:.0%}, '
        f'{rate:.1f} MB/s, {time_left}; waits for {waits_for or "nothing"}'
    )
