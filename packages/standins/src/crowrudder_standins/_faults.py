"""Faults that a test switches on in a stand-in, and how calls end early."""

from __future__ import annotations

import asyncio
from typing import Any

from attrs import define, field


class RefusedError(Exception):
    """A call that is refused with a status and an error."""

    def __init__(self, status: int, error: str, **more: Any) -> None:
        super().__init__(error)
        self.status = status
        self.answer = {'error': error, **more}


class DropError(Exception):
    """The connection is to be closed without an end of the answer."""


@define
class Fault:
    """A fault that hits ``count`` more requests, or all when it is None.

    ``amount`` is in seconds, a share or a revision, as the fault needs it;
    0 means the stand-in's default.
    """

    name: str
    count: int | None = None
    amount: float = 0


@define
class FaultSwitch:
    """The faults that are on, and those who wait for one to end."""

    active: dict[str, Fault] = field(factory=dict)
    _changed: asyncio.Event = field(factory=asyncio.Event)

    def switch_on(self, fault: Fault) -> None:
        self.active[fault.name] = fault

    def switch_off(self, name: str) -> None:
        """Switch a fault off, or all of them for an empty name."""
        for each in [name] if name else list(self.active):
            self.active.pop(each, None)
        self._changed.set()
        self._changed = asyncio.Event()

    def peek(self, name: str) -> Fault | None:
        return self.active.get(name)

    def take(self, name: str) -> Fault | None:
        """Return the fault if it hits this request, and count the hit."""
        fault = self.active.get(name)
        if fault is not None and fault.count is not None:
            fault.count -= 1
            if fault.count <= 0:
                self.switch_off(name)
        return fault

    async def wait_off(self, name: str) -> None:
        while name in self.active:
            await self._changed.wait()


def spoil(chunk: bytes) -> bytes:
    """Flip a bit of the first byte."""
    return bytes((chunk[0] ^ 1,)) + chunk[1:]
