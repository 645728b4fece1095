"""Which host runs which service, worked out alike by every process."""

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
    """Give the service of each host that has one.

    Depends on nothing but its arguments, so that processes which know the
    same bundle and members agree without a word between them. A host that
    comes or goes moves few others: the order is a rendezvous order.
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
    """Give the live engine hosts on which the service may run."""
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
    order = _round_the_domains(service.name, free)
    return order[: service.replicas] if service.replicas else order


def _plain_hosts(service: Service, agents: list[Member]) -> list[str]:
    wanted = f'plain:{service.name}'
    return [agent.host for agent in agents if agent.upstream == wanted]


def _round_the_domains(service: str, members: list[Member]) -> list[str]:
    """Order hosts so that every start of the list is spread evenly.

    A failure domain that dies then takes no more than its share with it.
    """
    rounds: Counter[str] = Counter()
    turns = []
    for rank, domain in sorted(
        (_rank(service, member), member.failure_domain) for member in members
    ):
        turns.append((rounds[domain], rank))
        rounds[domain] += 1
    return [host for _, (_, host) in sorted(turns)]


def _rank(service: str, member: Member) -> tuple[int, str]:
    return -score(service, member.host), member.host
