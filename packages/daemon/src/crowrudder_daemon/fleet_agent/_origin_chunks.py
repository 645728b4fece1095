"""Adapter that lets a collector read one version from the origin."""

from __future__ import annotations

from typing import TYPE_CHECKING

from crowrudder_daemon.chunks import NoSourceError
from crowrudder_daemon.http import NotConnectedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from crowrudder_daemon.fleet.ports import WeightsOriginPort


class OriginChunks:
    """Reads the chunks of one version from the origin."""

    def __init__(
        self,
        origin: WeightsOriginPort,
        address: Callable[[], str],
        model: str,
        version: int,
    ) -> None:
        self._origin = origin
        self._address = address
        self._model = model
        self._version = version

    async def chunk(
        self,
        version: str,
        index: int,
        on_piece: Callable[[int], None],
    ) -> bytes:
        try:
            return await self._origin.chunk(
                self._address(),
                self._model,
                self._version,
                index,
                on_bytes=on_piece,
            )
        except NotConnectedError as exc:
            raise NoSourceError(
                exc.message, step=exc.step, peer=exc.peer
            ) from exc

    def on_bad_store_chunk(self) -> None:
        """Do nothing: there is no store in front of the origin."""
