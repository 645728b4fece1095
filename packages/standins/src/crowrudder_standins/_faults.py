"""Fault injection for the stand-ins, and the errors that end a call early."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import define, field


class RefusedError(Exception):
    """Refuses a call with a status and an error."""

    def __init__(self, status: int, error: str, **more: Any) -> None:
        super().__init__(error)
        self.status = status
        self.answer = {'error': error, **more}


class DropError(Exception):
    """Closes the connection: with a reset, or else in an orderly way."""

    def __init__(self, *, is_reset: bool = False) -> None:
        super().__init__()
        self.is_reset = is_reset


@define
class Fault:
    """A fault that affects ``count`` more requests, or all when it is None.

    ``amount`` is in seconds, a share or a revision, depending on the fault;
    0 means the stand-in's default.
    """

    name: str
    count: int | None = None
    amount: float = 0


@define
class FaultSwitch:
    """The active faults; lets calls wait until one is switched off."""

    active: dict[str, Fault] = field(factory=dict)
    _changed: asyncio.Event = field(factory=asyncio.Event)

    def switch_on(self, fault: Fault) -> None:
        self.active[fault.name] = fault

    def switch_off(self, name: str) -> None:
        """Switch a fault off, or all of them for an empty name."""
        for fault_name in [name] if name else list(self.active):
            self.active.pop(fault_name, None)
        self._changed.set()
        self._changed = asyncio.Event()

    def peek(self, name: str) -> Fault | None:
        return self.active.get(name)

    def take(self, name: str) -> Fault | None:
        """Return the fault if it affects this request, and count the request."""
        fault = self.active.get(name)
        if fault is not None and fault.count is not None:
            fault.count -= 1
            if fault.count <= 0:
                self.switch_off(name)
        return fault

    async def wait_cleared(self, name: str) -> None:
        while name in self.active:
            await self._changed.wait()


def flip_first_bit(chunk: bytes) -> bytes:
    """Flip a bit of the first byte."""
    return bytes((chunk[0] ^ 1,)) + chunk[1:]
