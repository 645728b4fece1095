"""Faults that a run can inject, as values."""

from __future__ import annotations

from typing import TYPE_CHECKING

from _process import Host, Outside, Process
from attrs import frozen

if TYPE_CHECKING:
    pass


@frozen
class Kill:
    """SIGKILL of a process, which is restarted when the fault ends."""

    process: Process


@frozen
class Freeze:
    """SIGSTOP of a process, resumed (SIGCONT) when the fault ends."""

    process: Process


@frozen
class StandinFault:
    """A fault that a stand-in simulates."""

    outside: Outside
    name: str
    count: int


@frozen
class SharedKill:
    """SIGKILL of the platform, the origin or the store.

    After the restart they hold the same data, but the platform numbers its
    revisions from the start.
    """

    outside: Outside


@frozen
class Restart:
    """SIGTERM of hosts one after the other, each restarted."""

    hosts: tuple[Host, ...]


@frozen
class Cut:
    """Network partition between two groups of processes."""

    one: frozenset[str]
    other: frozenset[str]

    @property
    def pairs(self) -> list[frozenset[str]]:
        """Return the pairs of processes that are cut."""
        return [
            frozenset((one, other)) for one in self.one for other in self.other
        ]


@frozen
class OneWay:
    """Bytes from one process to another stall; the connection isn't reset."""

    source: str
    target: str


@frozen
class Slow:
    """Every chunk between two processes is delayed."""

    one: str
    other: str
    delay_s: float


Fault = (
    Kill | Freeze | StandinFault | SharedKill | Restart | Cut | OneWay | Slow
)


def describe_fault(fault: Fault) -> str:
    """Return the description of a fault for the log."""
    match fault:
        case Kill(process=process):
            return f'kill {process.name}'
        case Freeze(process=process):
            return f'freeze {process.name}'
        case StandinFault(outside=outside, name=name, count=count):
            return f'{outside.process.name} {name} x{count}'
        case SharedKill(outside=outside):
            return f'kill {outside.process.name}'
        case Restart(hosts=hosts):
            return f'restart {" ".join(host.name for host in hosts)}'
        case Cut(one=one, other=other):
            return f'cut {" ".join(sorted(one))} from {" ".join(sorted(other))}'
        case OneWay(source=source, target=target):
            return f'one way {source} to {target}'
        case Slow(one=one, other=other, delay_s=delay_s):
            return f'slow {one} and {other} by {delay_s:.2f}'


def affected_target(fault: Fault) -> str:
    """Return the name of what a fault affects.

    Two faults with the same name aren't injected at once. A link and the
    processes at its ends may be faulty at once.
    """
    match fault:
        case Kill(process=process) | Freeze(process=process):
            return process.name
        case StandinFault(outside=outside) | SharedKill(outside=outside):
            return outside.process.name
        case Restart(hosts=(host,)):
            return host.name
        case Restart():
            return 'all'
        case Cut() | OneWay() | Slow():
            return describe_fault(fault)


def processes_of(outside: Outside | None) -> tuple[Process, ...]:
    return () if outside is None else (outside.process,)
