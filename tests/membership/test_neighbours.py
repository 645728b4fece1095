"""With whom processes exchange: nobody left out, whoever dies."""

from __future__ import annotations

from collections import Counter
from random import Random

from crowrudder_core.membership import NEIGHBOURS, neighbours_of
from support.bundles import fleet

HOSTS = [each.host for each in fleet(600)]


def reached(links: dict[str, list[str]], start: str) -> tuple[int, int]:
    """Count the hosts that a push reaches, and its hops."""
    seen, front, hops = {start}, [start], 0
    while front:
        told = {peer for host in front for peer in links[host]}
        front = sorted(told - seen)
        seen.update(front)
        hops += bool(front)
    return len(seen), hops


def links_of(hosts: list[str]) -> dict[str, list[str]]:
    return {host: neighbours_of(host, hosts) for host in hosts}


class TestNeighbours:
    def test_few_and_never_oneself(self) -> None:
        for host, peers in links_of(HOSTS).items():
            assert len(set(peers)) == NEIGHBOURS
            assert host not in peers

    def test_everyone_is_called_by_someone(self) -> None:
        called = Counter(
            peer for peers in links_of(HOSTS).values() for peer in peers
        )
        assert called.keys() == set(HOSTS)

    def test_a_push_reaches_all_in_few_hops(self) -> None:
        count, hops = reached(links_of(HOSTS), HOSTS[0])
        assert count == len(HOSTS)
        assert hops <= 7

    def test_half_of_the_hosts_die(self) -> None:
        """Before anyone suspects anyone, most are still reached at once."""
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

    def test_a_host_that_comes_moves_few_links(self) -> None:
        before, after = links_of(HOSTS), links_of([*HOSTS, 'host-new'])
        moved = sum(len(set(after[host]) - set(before[host])) for host in HOSTS)
        assert moved < 3 * NEIGHBOURS
