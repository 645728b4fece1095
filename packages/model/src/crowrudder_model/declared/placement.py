"""Deterministic assignment of services to hosts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from crowrudder_model._member import Member
from crowrudder_model._rendezvous import score
from crowrudder_model.declared._declaration import Declaration
from crowrudder_model.declared._parts import Service


def place(
    declaration: Declaration,
    members: Iterable[Member],
) -> dict[str, Service]:
    """Return the service of each host that has one.

    The result depends only on the arguments, so that processes with the same
    bundle and members agree without communication. Hosts are ranked by
    rendezvous hashing, so that a host that joins or leaves moves few others.
    """
    agents = [member for member in members if _is_live_agent(member)]
    placed: dict[str, Service] = {}
    for service in sorted(declaration.services, key=lambda item: item.name):
        if service.is_engine:
            chosen = _engines(service, agents, placed)
        else:
            chosen = _plain_hosts(service, agents)
        placed.update(dict.fromkeys(chosen, service))
    return placed


def eligible(service: Service, members: Iterable[Member]) -> list[Member]:
    """Return the live engine hosts on which the service may run."""
    return [
        member
        for member in members
        if _is_live_agent(member)
        and member.upstream == 'engine'
        and (not service.regions or member.region in service.regions)
        and (
            not service.failure_domains
            or member.failure_domain in service.failure_domains
        )
    ]


def _is_live_agent(member: Member) -> bool:
    return member.role == 'agent' and member.state == 'live'


def _engines(
    service: Service,
    agents: list[Member],
    placed: dict[str, Service],
) -> list[str]:
    free = [
        member
        for member in eligible(service, agents)
        if member.host not in placed
    ]
    order = _interleave_failure_domains(service.name, free)
    return order[: service.replicas] if service.replicas else order


def _plain_hosts(service: Service, agents: list[Member]) -> list[str]:
    wanted = f'plain:{service.name}'
    return [agent.host for agent in agents if agent.upstream == wanted]


def _interleave_failure_domains(
    service: str, members: list[Member]
) -> list[str]:
    """Order hosts so that each prefix of the list is spread evenly.

    The failure of one failure domain then costs no more than its share.
    """
    next_round: Counter[str] = Counter()
    ranked_hosts = []
    for rank, domain in sorted(
        (_rank(service, member), member.failure_domain) for member in members
    ):
        ranked_hosts.append((next_round[domain], rank))
        next_round[domain] += 1
    return [host for _, (_, host) in sorted(ranked_hosts)]


def _rank(service: str, member: Member) -> tuple[int, str]:
    return -score(service, member.host), member.host
