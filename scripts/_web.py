"""HTTP calls of a run to what it started."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING, Any

from _process import FleetError
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse

if TYPE_CHECKING:
    from collections.abc import Mapping


class Web:
    """Calls to control and admin addresses."""

    def __init__(self) -> None:
        self._client = AsyncHTTPClient(force_instance=True, max_clients=100)

    async def fetch(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        timeout_s: float = 5,
    ) -> HTTPResponse:
        """Call and return any answer; OSError or HTTPError if none came."""
        return await self._client.fetch(
            url,
            method=method,
            body=body,
            allow_nonstandard_methods=True,
            raise_error=False,
            request_timeout=timeout_s,
            connect_timeout=timeout_s,
        )

    async def json(
        self,
        method: str,
        url: str,
        sent: Mapping[str, Any] | None = None,
    ) -> Any:
        """Call and decode a JSON answer with status 200."""
        body = None if sent is None else json.dumps(sent).encode()
        answer = await self.fetch(method, url, body)
        if answer.code != 200:
            raise FleetError(method, url, f'{answer.code} {answer.body!r}')
        return json.loads(answer.body)

    async def tried_json(self, url: str) -> Any:
        """Read JSON, or None from a peer that doesn't answer well."""
        with contextlib.suppress(Exception):
            return await self.json('GET', url)
        return None

    async def tried_answer(self, url: str) -> bool:
        """Tell whether a peer answers with 200."""
        try:
            answer = await self.fetch('GET', url)
        except (OSError, HTTPError):
            return False
        return answer.code == 200

    def close(self) -> None:
        """Close the client."""
        self._client.close()
