"""The aggregate that decides which orders an engine may be sent."""

from __future__ import annotations

from attrs import define, field, frozen

from crowrudder_core.orders._fencing import FencingNumber
from crowrudder_model import InvariantError


@frozen(kw_only=True)
class Target:
    """What an engine should serve by the configuration in force."""

    generation: int
    digest: str
    model: str
    version: str


@frozen(kw_only=True)
class EngineRead:
    """The state that an engine reported."""

    model: str
    version: str
    fence: int
    loading: str = ''


@frozen
class Loaded:
    """The engine already serves the target."""


@frozen(kw_only=True)
class Outdated:
    """The engine has accepted orders of a newer configuration than ours."""

    generation: int


@frozen(kw_only=True)
class SendOrder:
    """Order the target with this fencing number."""

    fence: int


@define
class EngineOrders:
    """Decide on orders from the engine's state; nothing is stored.

    This guards against an outdated agent: it is paused while its host gets a
    new agent and a newer version, then resumes and orders the version that it
    still considers current. The replica would go back to the earlier version.
    The number is read back from the engine and raised, but never above the
    range of the agent's own configuration: an agent that reads a newer
    configuration's number sends no order at all.
    """

    seen: FencingNumber = field(factory=FencingNumber)

    def on_read(
        self,
        read: EngineRead,
        target: Target,
    ) -> Loaded | Outdated | SendOrder:
        """Decide what to do after reading the engine's state."""
        self.seen = max(self.seen, FencingNumber.unpack(read.fence))
        first = FencingNumber.first_of(target.generation, target.digest)
        if first.configuration < self.seen.configuration:
            return Outdated(generation=self.seen.generation)
        if _is_loaded(read, target):
            return Loaded()
        number = max(first, self.seen).raised()
        if number.configuration != first.configuration or number < self.seen:
            raise InvariantError('a fencing number decreased', step='order')
        self.seen = number
        return SendOrder(fence=number.packed)

    @staticmethod
    def confirms(read: EngineRead, target: Target) -> bool:
        """Return whether the state read after an order shows the target."""
        return _is_loaded(read, target)


def _is_loaded(read: EngineRead, target: Target) -> bool:
    found = (read.model, read.version)
    return found == (target.model, target.version) and not read.loading
