"""Child processes of a run and the ports that they listen on."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import IO, TYPE_CHECKING, Any

from attrs import define, field, frozen

if TYPE_CHECKING:
    pass


LOOPBACK = '127.0.0.1'


# Below the ephemeral ports that the system uses for outgoing connections.
_PORT_RANGE = (12000, 32000)


_TAIL_LINES = 30


class FleetError(Exception):
    """A step of the fleet failed; names the step and the process."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f'{step}: {peer}: {reason}')


@define(eq=False)
class Process:
    """A child process with its log file."""

    name: str
    arguments: list[str]
    log_path: Path
    environment: dict[str, str] = field(factory=dict)
    _child: subprocess.Popen[bytes] | None = None
    _log_offset: int = 0

    def start(self) -> None:
        """Start it; the log of an earlier incarnation is kept."""
        log: IO[bytes]
        if self.log_path.exists():
            self._log_offset = self.log_path.stat().st_size
        with self.log_path.open('ab') as log:
            self._child = subprocess.Popen(
                self.arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **self.environment},
            )

    @property
    def running(self) -> bool:
        """Whether it has been started and hasn't ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def pid(self) -> int:
        """The id of the child process; 0 if it was not started."""
        return 0 if self._child is None else self._child.pid

    @property
    def exit_code(self) -> int | None:
        """The code with which it ended; negative for a signal."""
        return None if self._child is None else self._child.poll()

    def kill(self) -> None:
        """End it at once."""
        self._signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait()

    def freeze(self) -> None:
        """Suspend the process until `thaw`."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process."""
        self._signal(signal.SIGCONT)

    def hang_up(self) -> None:
        """Send SIGHUP: the settings may have changed."""
        self._signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Send SIGTERM, so that it drains and ends."""
        self._signal(signal.SIGTERM)

    async def ended(self, timeout_s: float) -> int | None:
        """Wait for the exit code; None on a timeout."""
        if self._child is None:
            return None
        try:
            return await asyncio.to_thread(self._child.wait, timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def has_logged(self, text: str) -> bool:
        """Return whether its latest incarnation has logged a text."""
        with self.log_path.open('rb') as log:
            log.seek(self._log_offset)
            return text.encode() in log.read()

    def tail(self) -> str:
        """Return the last lines of its log."""
        if not self.log_path.exists():
            return 'not started'
        lines = self.log_path.read_text(errors='replace').splitlines()
        return '\n'.join(lines[-_TAIL_LINES:])

    def _signal(self, number: signal.Signals) -> None:
        if self._child is not None and self.running:
            self._child.send_signal(number)


@frozen(eq=False)
class Outside:
    """A stand-in: its process, address and journal of runs.

    Daemons connect to the `listed_address`.
    """

    process: Process
    address: str
    journal_path: Path
    listed_address: str

    @property
    def url(self) -> str:
        """The base URL at which it answers."""
        return f'http://{self.address}'


@frozen(eq=False)
class Host:
    """A host of the fleet: one daemon and, for an agent, its upstream."""

    member: dict[str, Any]
    process: Process
    upstream: Outside | None = None

    @property
    def name(self) -> str:
        """The name in the member list."""
        return str(self.member['host'])

    @property
    def admin_url(self) -> str:
        """The base URL of its status and health."""
        return f'http://{LOOPBACK}:{self.member["admin_port"]}'

    @property
    def is_engine(self) -> bool:
        """Whether it is the agent of an engine."""
        return bool(self.member['upstream'] == 'engine')


def end_on_signal(number: signal.Signals) -> None:
    """Cancel the current task on a signal, so that it ends its processes.

    The default action would leave the child processes running.
    """
    task = asyncio.current_task()
    if task is not None:
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)


def program(name: str) -> str:
    """Return the path of an installed program beside this interpreter."""
    return str(Path(sys.executable).parent / name)


@define
class Ports:
    """Allocator of listener ports, each returned once."""

    _used: set[int] = field(factory=set)
    _rng: random.Random = field(factory=lambda: random.Random(os.getpid()))

    def free(self) -> int:
        """Return a port that nobody listens on."""
        while True:
            port = self._rng.randrange(*_PORT_RANGE)
            with socket.socket() as probe:
                if (
                    port in self._used
                    or probe.connect_ex((LOOPBACK, port)) == 0
                ):
                    continue
            self._used.add(port)
            return port
