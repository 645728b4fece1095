"""Pacing of a transfer: time and concurrency limits."""

from __future__ import annotations

from attrs import frozen

from crowrudder_core.transfer._planner import ChunkOrder

ORIGIN_CAPACITY_LINKS = 2
"""Capacity of the origin's link in host links.

In one window it carries 4 copies, a host's link 2.
"""

MIN_POLL_S = 0.2
"""Minimum interval between inventory queries to a peer.

A query costs at least a tenth of a millisecond on either side. Every chunk
transfer also carries the inventories of its two hosts, so small chunks do not
require queries at the same rate.
"""

MAX_POLL_S = 1.0
MIN_STALL_S = 1.0
STALL_CHUNK_TIMES = 12
MAX_ORIGIN_WAIT_S = 8.0
MIN_WINDOW_S = 30.0


@frozen(kw_only=True)
class PacingConfig:
    """Limits of a transfer; times are in seconds.

    Parameters
    ----------
    chunk_s
        Time to send one chunk over the host's link.
    window_s
        Time in which the origin's link carries the capped number of copies.
    poll_s
        Interval between inventory queries to a peer that is read from.
    stall_s
        Time without a byte after which a read is abandoned.
    reads_at_once, reads_of_one_peer
        Maximum reads in flight, in total and from one source.
    neighbours
        Number of peers that a host queries for their inventories.
    starved_s
        Time without a read in flight after which a host reads from the origin
        a chunk that no known host holds, even if it is not the assigned
        reader; 0 disables it.
    origin_wait_s
        Maximum wait before an origin that failed is retried.
    even_turns
        Whether each host is the first reader of equally many chunks at the
        origin. Otherwise some hosts are assigned twice as many, and the last
        chunk leaves the origin later: 2.37 s rather than 2.15 s with 9 hosts,
        64 chunks and an origin of 2.6 host links (`make measure
        ARGS=weights_window`).
    gap_share
        Once the chunks that only the origin holds are no more than this share
        of the hosts that may read from it, a host without a read there also
        reads one of those for which it is the first reader; 0 disables it.
    spare_origin
        Whether a host also reads one chunk at a time from the origin once
        every chunk has left it, as long as more hosts report an incomplete
        version than a complete one. The uplinks of the hosts together carry
        less than their downlinks could receive: in the same model the last
        host completes the version after 5.35 s rather than 6.02 s, at the
        cost of 1.5 more copies from the origin.
    narrow_share
        Share of the link's rate below which it counts as narrow while several
        reads are in flight, see `InboundLink`; 0 disables the check.
    """

    chunk_s: float
    window_s: float
    poll_s: float
    stall_s: float
    reads_at_once: int = 3
    reads_of_one_peer: int = 1
    origin_reads: int = 1
    neighbours: int = 12
    starved_s: float = 0
    origin_wait_s: float = MAX_ORIGIN_WAIT_S
    even_turns: bool = False
    gap_share: float = 0
    spare_origin: bool = False
    narrow_share: float = 0
    order: ChunkOrder = ChunkOrder.RAREST


def derive_pacing(
    *, size: int, chunk_bytes: int, link_bytes_per_s: float
) -> PacingConfig:
    """Derive the limits from the sizes and the host's link.

    A host's link carries two copies in a window.
    """
    chunk_s = chunk_bytes / link_bytes_per_s
    copy_s = size / link_bytes_per_s
    return PacingConfig(
        chunk_s=chunk_s,
        window_s=max(2 * copy_s, MIN_WINDOW_S),
        poll_s=min(max(chunk_s, MIN_POLL_S), MAX_POLL_S),
        stall_s=max(STALL_CHUNK_TIMES * chunk_s, MIN_STALL_S),
    )
