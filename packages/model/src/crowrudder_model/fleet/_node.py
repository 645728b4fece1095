"""What a process is told of itself and its surroundings at its start."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class NodePlace:
    """Where a host stands; regions of all failure domains by name."""

    failure_domain: str = ''
    region: str = ''
    regions: tuple[tuple[str, str], ...] = ()

    def region_of(self, failure_domain: str) -> str:
        """Give the region of a failure domain; empty where it isn't known."""
        return dict(self.regions).get(failure_domain, '')


@frozen(kw_only=True)
class Bounds:
    """Bounds within which the fleet's operators want things done.

    Parameters
    ----------
    config_s
        From a change's publication until it is in force.
    leaving_s
        From an upstream's notice until it gets no request any more.
    stop_s
        From SIGTERM to SIGKILL.
    version_s
        From a version's publication until nothing begins on an older one.
    answer_ttl_s
        Longest time that a caller keeps an answer on which entry to use.
    event_delay_s
        Longest delay of a stream's event on its way to the caller.
    settle_s
        After a disturbance of a process, its start included, until it is held
        to these bounds again.
    retry_share, retry_extra, retry_window_s
        In each window, a service may get at most so many arrivals beyond the
        first of each request: a share of the requests, and a fixed number.
    """

    config_s: float = 2
    leaving_s: float = 2
    stop_s: float = 8
    version_s: float = 8
    answer_ttl_s: float = 5
    event_delay_s: float = 0.12
    settle_s: float = 0
    retry_share: float = 0.1
    retry_extra: float = 10
    retry_window_s: float = 10


@frozen(kw_only=True)
class Node:
    """A process: its names, addresses, limits and where to begin to learn.

    Parameters
    ----------
    callers, ready, directory
        Where callers, readiness checks and callers that look for an entry are
        answered; `IP:PORT`, empty where it isn't this process's part.
    peer_ports
        First and last port that processes of the fleet may use among each
        other; the same on every host.
    seeds
        IP numbers of hosts to ask first; they may be old or down.
    platform
        Where configuration, upstreams and versions are published.
    upstream, service
        The engine beside this process and the service that it is in.
    link_bytes_per_s
        The host's link in each direction.
    memory_bytes
        Memory of the process.
    """

    host: str
    role: str
    ip: str
    place: NodePlace = NodePlace()
    callers: str = ''
    ready: str = ''
    directory: str = ''
    peer_ports: tuple[int, int] = (0, 0)
    seeds: tuple[str, ...] = ()
    platform: str = ''
    upstream: str = ''
    service: str = ''
    link_bytes_per_s: float = 0
    memory_bytes: int = 0
    bounds: Bounds = Bounds()

    @property
    def gossip_port(self) -> int:
        """The UDP port for words between processes."""
        return self.peer_ports[0]

    @property
    def rpc_port(self) -> int:
        """The TCP port for calls between processes."""
        return self.peer_ports[0] + 1

    @property
    def metrics_port(self) -> int:
        """The TCP port for metrics and the other admin addresses."""
        return self.peer_ports[1]
