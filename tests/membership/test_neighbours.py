"""Gossip neighbours: all hosts are reached, also after failures."""

from __future__ import annotations

from collections import Counter
from random import Random

from crowrudder_core.membership import NEIGHBOURS, neighbours_of
from support.bundles import fleet

HOSTS = [each.host for each in fleet(600)]


def reached(links: dict[str, list[str]], start: str) -> tuple[int, int]:
    """Count the hosts that an update reaches, and its hops."""
    seen, frontier, hops = {start}, [start], 0
    while frontier:
        receivers = {peer for host in frontier for peer in links[host]}
        frontier = sorted(receivers - seen)
        seen.update(frontier)
        hops += bool(frontier)
    return len(seen), hops


def links_of(hosts: list[str]) -> dict[str, list[str]]:
    return {host: neighbours_of(host, hosts) for host in hosts}


class TestNeighbours:
    def test_few_neighbours_and_never_the_host_itself(self) -> None:
        for host, peers in links_of(HOSTS).items():
            assert len(set(peers)) == NEIGHBOURS
            assert host not in peers

    def test_every_host_is_called_by_some_host(self) -> None:
        called = Counter(
            peer for peers in links_of(HOSTS).values() for peer in peers
        )
        assert called.keys() == set(HOSTS)

    def test_update_reaches_all_hosts_in_few_hops(self) -> None:
        count, hops = reached(links_of(HOSTS), HOSTS[0])
        assert count == len(HOSTS)
        assert hops <= 7

    def test_update_reaches_most_hosts_if_half_of_them_die(self) -> None:
        """Before any suspicion is raised, most hosts are still reached."""
        dead = set(Random(1).sample(HOSTS, len(HOSTS) // 2))
        links = {
            host: [peer for peer in peers if peer not in dead]
            for host, peers in links_of(HOSTS).items()
        }
        alive = [host for host in HOSTS if host not in dead]
        count, _ = reached(links, alive[0])
        assert count > 0.8 * len(alive)
        chosen = {
            host: neighbours_of(host, HOSTS, suspects=dead) for host in alive
        }
        assert reached(chosen, alive[0])[0] == len(alive)

    def test_joining_host_changes_few_links(self) -> None:
        before, after = links_of(HOSTS), links_of([*HOSTS, 'host-new'])
        moved = sum(len(set(after[host]) - set(before[host])) for host in HOSTS)
        assert moved < 3 * NEIGHBOURS
