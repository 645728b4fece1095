"""HTTP client for the control and admin interfaces of a run."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING, Any

from _process import FleetError
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse

if TYPE_CHECKING:
    from collections.abc import Mapping


class Web:
    """Sends requests to control and admin addresses."""

    def __init__(self) -> None:
        self._client = AsyncHTTPClient(force_instance=True, max_clients=100)

    async def fetch(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        timeout_s: float = 5,
    ) -> HTTPResponse:
        """Send a request and return the answer, whatever its status.

        Raises
        ------
        OSError, HTTPError
            If no answer arrived.
        """
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
        """Send a request and return the JSON of an answer with status 200."""
        body = None if sent is None else json.dumps(sent).encode()
        answer = await self.fetch(method, url, body)
        if answer.code != 200:
            raise FleetError(method, url, f'{answer.code} {answer.body!r}')
        return json.loads(answer.body)

    async def tried_json(self, url: str) -> Any:
        """Return the JSON read from a URL, or None if that fails."""
        with contextlib.suppress(Exception):
            return await self.json('GET', url)
        return None

    async def tried_answer(self, url: str) -> bool:
        """Return whether a URL answers with status 200."""
        try:
            answer = await self.fetch('GET', url)
        except (OSError, HTTPError):
            return False
        return answer.code == 200

    def close(self) -> None:
        """Close the client."""
        self._client.close()
