"""Which layers of an engine are known to consist of sound chunks."""

from __future__ import annotations

from attrs import define, field, frozen

_NO_ORDERS = -1


@frozen
class _OrderCount:
    """An incarnation and how many orders it had accepted."""

    started_ms: int
    orders: int


@define
class OrderProofs:
    """Tells whether an engine's layers may make tokens.

    An order without a response may be accepted at any later time, of chunks that
    are no longer sound. Once the engine counts more orders than before the send,
    its layers aren't proved until a response in time proves a later order.
    """

    _proved_up_to: _OrderCount | None = field(default=None, init=False)
    _last_send: _OrderCount | None = field(default=None, init=False)

    def on_sending(self, started_ms: int, orders: int) -> None:
        """Record that an order is sent to an incarnation that took ``orders``."""
        self._last_send = _OrderCount(started_ms, orders)
        if self.is_proved(started_ms, orders):
            self._proved_up_to = self._last_send

    def may_have_pending(self, started_ms: int, orders: int) -> bool:
        """Return whether an earlier order at this count may still be accepted."""
        return self._last_send == _OrderCount(started_ms, orders)

    def on_late(self, started_ms: int) -> None:
        """Record an acceptance that may have come too late for the chunks."""
        self._proved_up_to = _OrderCount(started_ms, _NO_ORDERS)

    def on_proved(self) -> None:
        """Record that all layers of the engine were taken in time."""
        self._proved_up_to = None

    def is_proved(self, started_ms: int, orders: int) -> bool:
        """Return whether the layers of an engine with so many orders are proved.

        Example
        -------
        >>> proofs = OrderProofs()
        >>> proofs.on_sending(started_ms=7, orders=2)
        >>> proofs.is_proved(7, 2), proofs.is_proved(7, 3), proofs.is_proved(8, 3)
        (True, False, True)
        """
        limit = self._proved_up_to
        if limit is None or limit.started_ms != started_ms:
            return True
        return orders <= limit.orders
