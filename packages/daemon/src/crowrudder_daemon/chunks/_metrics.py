"""Metrics and log lines of transfers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from crowrudder_core.transfer import FromOrigin, FromPeer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from crowrudder_core.transfer import Read
    from crowrudder_daemon.chunks._version_store import VersionStore
    from crowrudder_daemon.process import Runtime
    from crowrudder_model import CrowrudderError


class TransferMetrics:
    """Counts the outcomes of reads and logs failures."""

    def __init__(self, runtime: Runtime, versions: VersionStore) -> None:
        metrics = runtime.metrics
        self._log = runtime.log
        self._metrics = metrics
        self._versions = versions
        self._bytes = metrics.counter(
            'weights_read_bytes',
            'Verified bytes of weights read.',
            labels=('source',),
        )
        self._origin_reads = metrics.counter(
            'weights_origin_reads',
            'Reads that began at the origin, by the reason for them.',
            labels=('reason',),
        )
        self._sent = metrics.counter(
            'weights_sent_bytes',
            'Bytes of weights sent to other agents.',
        )
        self._lost = metrics.counter(
            'weights_reads_lost',
            'Reads that ended without a good chunk.',
            labels=('source', 'reason'),
        )
        metrics.gauge(
            'weights_held_bytes',
            'Bytes of chunks held in memory.',
            lambda: float(versions.store.held_bytes),
        )
        metrics.gauges(
            'weights_share',
            'Share of the chunks of a version that is held.',
            self._shares,
        )
        metrics.gauges(
            'weights_rate_bytes',
            'Bytes of a version that came in a second, of late.',
            self._rates,
        )
        metrics.gauges(
            'weights_left_seconds',
            'Estimated seconds to the last chunk of a version.',
            self._remaining,
        )

    def asked_origin(self, read: FromOrigin) -> None:
        """Count a read that starts at the origin."""
        self._origin_reads.add(reason=read.reason.value)

    def read(self, read: Read, size: int) -> None:
        """Count the bytes of a verified chunk."""
        self._bytes.add(size, source=_source_kind(read))

    def sent(self, size: int) -> None:
        """Count bytes sent to other agents."""
        self._sent.add(size)

    def failed(self, version: str, read: Read, exc: CrowrudderError) -> None:
        """Count and log a failed read."""
        self._lost.add(source=_source_kind(read), reason='failed')
        self._log.info(
            'chunk not read',
            extra={**_log_fields(version, read), 'reason': str(exc)},
        )

    def stalled(self, version: str, read: Read) -> None:
        """Count and log a read that received no bytes for too long."""
        self._lost.add(source=_source_kind(read), reason='stalled')
        self._log.warning(
            'chunk read stalled', extra=_log_fields(version, read)
        )

    def link_changed(
        self, version: str, *, is_narrow: bool, bytes_per_s: float, reads: int
    ) -> None:
        """Log that the inbound link became narrow, or is tried as a wide one."""
        self._log.info(
            'inbound link narrow' if is_narrow else 'inbound link not narrow',
            extra={
                'step': 'chunk',
                'version': version,
                'bytes_per_s': round(bytes_per_s),
                'reads': reads,
            },
        )

    def corrupted(self, version: str, read: Read) -> None:
        """Count and log a chunk with a wrong digest."""
        self._lost.add(source=_source_kind(read), reason='corrupted')
        self._log.warning('chunk corrupted', extra=_log_fields(version, read))

    def refused(self, exc: CrowrudderError) -> None:
        """Count and log an unsafe operation that an invariant refused."""
        self._metrics.invariant_violated(f'weights_{exc.step}')
        self._log.error('refused: %s', exc)

    def _shares(self) -> list[tuple[Mapping[str, str], float]]:
        return [
            ({'version': name}, transfer.share)
            for name, transfer in self._versions.transfers.items()
        ]

    def _rates(self) -> list[tuple[Mapping[str, str], float]]:
        now = time.monotonic()
        return [
            ({'version': name}, transfer.progress.rate(now))
            for name, transfer in self._versions.transfers.items()
        ]

    def _remaining(self) -> list[tuple[Mapping[str, str], float]]:
        now = time.monotonic()
        remaining = {
            name: transfer.progress.left_s(now)
            for name, transfer in self._versions.transfers.items()
        }
        return [
            ({'version': name}, left_s)
            for name, left_s in remaining.items()
            if left_s is not None
        ]


def _source_kind(read: Read) -> str:
    match read:
        case FromPeer():
            return 'peer'
        case FromOrigin():
            return 'origin'


def _log_fields(version: str, read: Read) -> dict[str, Any]:
    """Return the log fields of a read."""
    source = read.host if isinstance(read, FromPeer) else 'the origin'
    return {
        'step': 'chunk',
        'version': version,
        'chunk': read.index,
        'source': source,
    }
