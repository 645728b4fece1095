"""Reload a process's settings when they may have changed."""

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

CHECK_INTERVAL_S = 2.0
"""Seconds between two checks of the file. It may change without a signal, and
its settings are to take effect within a few seconds."""

RELOADED_FIELDS = frozenset(('seeds',))
"""Fields that are applied while a process runs; others at its next start."""


class SettingsSource(Protocol):
    """The source of a process's settings."""

    def read(self) -> bytes:
        """Read the current settings.

        Raises
        ------
        CrowrudderError
            If they can't be read.
        """

    def decode(self, payload: bytes) -> Node:
        """Decode the settings.

        Raises
        ------
        CrowrudderError
            If they aren't the settings of a process.
        """


class SettingsWatch:
    """Owns the settings that were read last, and reports changes.

    Without it, a process that has lost all its peers would contact replaced
    seeds forever. Invalid settings change nothing: the previous ones stay in
    force, and the reason is logged.
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
        """Check the settings after each signal, and periodically."""
        reload_requested = self._runtime.reload_requested
        while True:
            self.check_once()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await reload_requested.wait()
            reload_requested.clear()

    def check_once(self) -> None:
        """Read the settings and apply changes."""
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
        self._apply_changes(node)

    def _apply_changes(self, node: Node) -> None:
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
                'in_force': sorted(changed & RELOADED_FIELDS),
                'from_next_start': sorted(changed - RELOADED_FIELDS),
            },
        )
        self._on_node(node)
