"""The times and counts by which a transfer goes."""

from __future__ import annotations

from attrs import frozen

from crowrudder_core.transfer._planner import ChunkOrder

ORIGIN_LINKS = 2
"""What the origin's link carries, in machine links: 4 copies to 2."""

SHORTEST_POLL_S = 0.2
"""A question costs a tenth of a millisecond or more on either side.

Every chunk carries what its two hosts hold as well, so that small chunks need
no questions at the same rate.
"""

LONGEST_POLL_S = 1.0
SHORTEST_STALL_S = 1.0
STALL_CHUNKS = 12
LONGEST_ORIGIN_WAIT_S = 8.0
SHORTEST_WINDOW_S = 30.0


@frozen(kw_only=True)
class Pace:
    """How a transfer behaves in time; seconds unless a name says otherwise.

    Parameters
    ----------
    chunk_s
        Time that a chunk takes on the machine's link.
    window_s
        Time in which the origin's link carries its capped number of copies.
    poll_s
        Between two questions to a peer that is being read from.
    stall_s
        Without a byte, after which a read is given up.
    reads_at_once, reads_of_one_peer
        Chunks on their way to this host, and those of one source.
    neighbours
        Hosts that a host asks for their chunks.
    starved_s
        Without any chunk for so long, while none is on its way, a host reads
        one from the origin that no other host holds, whosever turn it is; 0
        for never.
    origin_wait_s
        Longest time for which an origin that failed is left alone.
    even_turns
        Whether each host has as many chunks to read first at the origin as
        any other. Without it some have twice as many, and the last chunk is
        out later: 9 hosts, 64 chunks, an origin of 2.6 host links (`make
        measure ARGS=weights_window`): 2.15 s in place of 2.37 s.
    gap_share
        Once no more chunks than this share of the hosts are at the origin
        alone, a host that has none of its own to read there reads one of
        those; 0 for never.
    spare_origin
        Whether, once every chunk is out and as long as more hosts are heard
        to lack some than to hold all, a host reads one chunk at a time from the origin beside those from
        other hosts. Together the hosts' links carry less than all of them
        could take in: same model, the last host holds the version after
        5.35 s in place of 6.02 s, for 1.5 copies more from the origin.
    narrow_share
        Part of the host's link below which it counts as narrow while several
        reads are under way, see `Inflow`; 0 for never.
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
    origin_wait_s: float = LONGEST_ORIGIN_WAIT_S
    even_turns: bool = False
    gap_share: float = 0
    spare_origin: bool = False
    narrow_share: float = 0
    order: ChunkOrder = ChunkOrder.RAREST


def pace_for(*, size: int, chunk_bytes: int, link_bytes_per_s: float) -> Pace:
    """Derive the times from the sizes and the machine's link.

    A machine's link carries two copies a window.
    """
    chunk_s = chunk_bytes / link_bytes_per_s
    copy_s = size / link_bytes_per_s
    return Pace(
        chunk_s=chunk_s,
        window_s=max(2 * copy_s, SHORTEST_WINDOW_S),
        poll_s=min(max(chunk_s, SHORTEST_POLL_S), LONGEST_POLL_S),
        stall_s=max(STALL_CHUNKS * chunk_s, SHORTEST_STALL_S),
    )
