"""Read a process's settings again when they may have changed."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Protocol

from attrs import fields

from crowrudder_model import CrowrudderError
from crowrudder_model.fleet import Node

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.process import Runtime

LOOK_S = 2.0
"""Between two looks at the file: it may change without a signal, and what it
says is in force within a few seconds."""

AT_ONCE = frozenset(('seeds',))
"""What is followed while a process runs; the rest it takes at its start."""


class SettingsSource(Protocol):
    """Where a process's settings stand."""

    def read(self) -> bytes:
        """Read them as they are now.

        Raises
        ------
        CrowrudderError
            When they can't be read.
        """

    def decode(self, payload: bytes) -> Node:
        """Decode them.

        Raises
        ------
        CrowrudderError
            When they aren't the settings of a process.
        """


class SettingsWatch:
    """Owns what was read last, and tells of changes.

    What goes wrong without it: seeds are replaced, a process that lost all its
    peers asks the old ones for ever. Bad settings change nothing: those read
    before stay in force, and the log says what is wrong.
    """

    def __init__(
        self,
        runtime: Runtime,
        node: Node,
        source: SettingsSource,
        on_node: Callable[[Node], None],
    ) -> None:
        self._runtime = runtime
        self._node = node
        self._source = source
        self._on_node = on_node
        self._payload: bytes | None = None

    async def watch(self) -> None:
        """Look after a signal, and now and then."""
        asked = self._runtime.reload_asked
        while True:
            self.look()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_S):
                    await asked.wait()
            asked.clear()

    def look(self) -> None:
        """Take what changed."""
        try:
            payload = self._source.read()
            if payload == self._payload:
                return
            self._payload = payload
            node = self._source.decode(payload)
        except CrowrudderError as exc:
            self._runtime.log.error(
                'settings refused; those read before stay in force',
                extra={'step': 'reload', 'reason': str(exc)},
            )
            return
        self._take(node)

    def _take(self, node: Node) -> None:
        changed = {
            each.name
            for each in fields(Node)
            if getattr(node, each.name) != getattr(self._node, each.name)
        }
        if not changed:
            return
        self._node = node
        self._runtime.log.info(
            'settings read again',
            extra={
                'step': 'reload',
                'in_force': sorted(changed & AT_ONCE),
                'from_next_start': sorted(changed - AT_ONCE),
            },
        )
        self._on_node(node)
