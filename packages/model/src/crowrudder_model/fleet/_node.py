"""Start-up parameters of a process: identity, addresses and limits."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True)
class NodeLocation:
    """Location of a host, and the region of each failure domain by name."""

    failure_domain: str = ''
    region: str = ''
    regions: tuple[tuple[str, str], ...] = ()

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain, or '' if it is unknown."""
        return dict(self.regions).get(failure_domain, '')


@frozen(kw_only=True)
class Bounds:
    """Time and retry bounds that the fleet's operators set.

    Parameters
    ----------
    config_s
        From the publication of a change until it is in force.
    leaving_s
        From an upstream's notice that it leaves until it gets no more requests.
    stop_s
        From SIGTERM to SIGKILL.
    version_s
        From a version's publication until no request begins on an older one.
    answer_ttl_s
        Maximum time for which a caller caches which entry to use.
    event_delay_s
        Maximum delay of a stream's event on its way to the caller.
    settle_s
        Time after a disturbance of a process, such as its start, during which
        these bounds do not apply to it.
    retry_share, retry_extra, retry_window_s
        Retry budget of a service in each window: a share of its requests plus
        a fixed number. Only sends beyond the first of a request count.
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
    """A process: its names, addresses, limits and seed hosts.

    Parameters
    ----------
    callers, ready, directory
        Listen addresses (`IP:PORT`) for callers, for readiness checks and for
        callers that look up an entry; empty if this process doesn't serve it.
    peer_ports
        First and last port for traffic between processes of the fleet; the
        same on every host.
    seeds
        IP addresses of the hosts to contact first; they may be outdated or
        down.
    platform
        Address at which configuration, upstreams and versions are published.
    upstream, service
        The engine on the host of this process, and its service.
    link_bytes_per_s
        Bandwidth of the host's link in each direction.
    memory_bytes
        Memory limit of the process.
    """

    host: str
    role: str
    ip: str
    place: NodeLocation = NodeLocation()
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
        """The UDP port for datagrams between processes."""
        return self.peer_ports[0]

    @property
    def rpc_port(self) -> int:
        """The TCP port for RPC between processes."""
        return self.peer_ports[0] + 1

    @property
    def metrics_port(self) -> int:
        """The TCP port for metrics and the other admin endpoints."""
        return self.peer_ports[1]
