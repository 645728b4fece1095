"""The aggregate that decides which orders an engine may be given."""

from __future__ import annotations

from attrs import define, field, frozen

from crowrudder_core.orders._fencing import FencingNumber
from crowrudder_model import InvariantError


@frozen(kw_only=True)
class Target:
    """What the configuration in force wants an engine to answer with."""

    generation: int
    digest: str
    model: str
    version: str


@frozen(kw_only=True)
class EngineRead:
    """What an engine said of itself."""

    model: str
    version: str
    fence: int
    loading: str = ''


@frozen
class Loaded:
    """The engine answers with the target already."""


@frozen(kw_only=True)
class Outdated:
    """The engine has taken orders of a newer configuration than ours."""

    generation: int


@frozen(kw_only=True)
class GiveOrder:
    """Order the target, with this fencing number."""

    fence: int


@define
class EngineOrders:
    """Decide on orders from what the engine says; nothing is stored.

    What goes wrong without it: an agent is frozen, its host gets a new agent
    and a newer version; the old agent wakes up and orders the version that it
    still believes in. It would be seen as replicas that go back a version. The
    number is read back from the engine and raised, but never above the share
    that the agent's own configuration has: an agent that finds a newer
    configuration's number gives no order at all.
    """

    seen: FencingNumber = field(factory=FencingNumber)

    def on_read(
        self,
        read: EngineRead,
        target: Target,
    ) -> Loaded | Outdated | GiveOrder:
        """Decide what to do after reading the engine's state."""
        self.seen = max(self.seen, FencingNumber.unpack(read.fence))
        first = FencingNumber.first_of(target.generation, target.digest)
        if first.configuration < self.seen.configuration:
            return Outdated(generation=self.seen.generation)
        if _is_loaded(read, target):
            return Loaded()
        number = max(first, self.seen).raised()
        if number.configuration != first.configuration or number < self.seen:
            raise InvariantError('a fencing number went back', step='order')
        self.seen = number
        return GiveOrder(fence=number.packed)

    @staticmethod
    def confirms(read: EngineRead, target: Target) -> bool:
        """Tell whether the state read after an order shows the target."""
        return _is_loaded(read, target)


def _is_loaded(read: EngineRead, target: Target) -> bool:
    found = (read.model, read.version)
    return found == (target.model, target.version) and not read.loading
