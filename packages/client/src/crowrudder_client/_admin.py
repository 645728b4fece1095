"""Reading the admin addresses of running processes."""

from __future__ import annotations

import asyncio
import ipaddress
from typing import Any

import msgspec
from attrs import frozen
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.httputil import url_concat
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from crowrudder_client._errors import (
    BadInputError,
    RejectedError,
    UnreachableError,
)
from crowrudder_client._status import Status
from crowrudder_model._member import Member, MembersError, decode_members
from crowrudder_model.declared import Bundle, BundleError, decode_bundle

CONNECT_S = 2.0
ANSWER_S = 5.0
# Of a fleet of thousands, so many are asked at once.
AT_ONCE = 64
MOST_ANSWER_BYTES = 16 * 1024 * 1024
MOST_PORT = 65535
NO_ANSWER = 599
NOT_FOUND = 404
MOST_SHOWN = 200


@frozen
class Audited:
    """Events of a process's audit trail, as the process words them."""

    events: tuple[dict[str, Any], ...]
    last: int


class AdminClient:
    """Asks processes; an answer is whole or an error."""

    def __init__(
        self,
        *,
        answer_s: float = ANSWER_S,
        at_once: int = AT_ONCE,
    ) -> None:
        self._answer_s = answer_s
        # The HTTP client's own queue would count the wait for a turn as part
        # of the time to answer, and call healthy hosts unreachable.
        self._turns = asyncio.Semaphore(at_once)
        self._http: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=at_once,
            max_body_size=MOST_ANSWER_BYTES,
            max_buffer_size=MOST_ANSWER_BYTES,
        )

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def members(self, admin: str) -> tuple[Member, ...]:
        """Ask for the members that the process knows."""
        encoded = await self._get(admin, '/members')
        try:
            return decode_members(encoded)[1]
        except MembersError as exc:
            raise UnreachableError(admin, 'GET /members', str(exc)) from exc

    async def status(self, admin: str) -> Status:
        """Ask a process for its status."""
        encoded = await self._get(admin, '/status')
        return _decoded(encoded, Status, admin, 'GET /status')

    async def bundle(self, admin: str) -> Bundle | None:
        """Ask for the bundle in force; None before the first."""
        try:
            encoded = await self._get(admin, '/bundle')
        except RejectedError as exc:
            if exc.status == NOT_FOUND:
                return None
            raise
        try:
            return decode_bundle(encoded)
        except BundleError as exc:
            raise UnreachableError(admin, 'GET /bundle', str(exc)) from exc

    async def audit(self, admin: str, after: int) -> Audited:
        """Ask for the audit events after a number."""
        encoded = await self._get(admin, '/audit', after=str(after))
        return _decoded(encoded, Audited, admin, 'GET /audit')

    async def explain(
        self,
        admin: str,
        *,
        customer: str,
        model: str,
    ) -> dict[str, Any]:
        """Ask an entry where a request would go, and why."""
        encoded = await self._get(
            admin,
            '/explain',
            customer=customer,
            model=model,
        )
        return _decoded(encoded, dict[str, Any], admin, 'GET /explain')

    async def _get(self, admin: str, path: str, **query: str) -> bytes:
        req = HTTPRequest(
            url_concat(f'http://{admin}{path}', query),
            connect_timeout=min(CONNECT_S, self._answer_s),
            request_timeout=self._answer_s,
            follow_redirects=False,
        )
        step = f'GET {path}'
        try:
            async with self._turns:
                answer = await self._http.fetch(req)
        except HTTPClientError as exc:
            if exc.code == NO_ANSWER or exc.response is None:
                raise UnreachableError(admin, step, str(exc)) from exc
            why = _why(exc.response.body) or exc.message or ''
            raise RejectedError(admin, step, exc.code, why) from exc
        except (OSError, ValueError) as exc:
            raise UnreachableError(admin, step, str(exc)) from exc
        return answer.body


def admin_address(text: str) -> str:
    """Check that `text` is IP:PORT, and give it back.

    Raises
    ------
    BadInputError
        when it is no IP number with a port.
    """
    address, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(address)
    except ValueError:
        port = ''
    if not (port.isdecimal() and 0 < int(port) <= MOST_PORT):
        why = 'allowed: IP:PORT of an admin address, as 127.0.0.1:9001'
        raise BadInputError(f'address {text!r}', why)
    return text


def _decoded(encoded: bytes, wanted: Any, peer: str, step: str) -> Any:
    try:
        return msgspec.json.decode(encoded, type=wanted)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        why = f'the answer is not one of crowrudder: {exc}'
        raise UnreachableError(peer, step, why) from exc


def _why(body: bytes) -> str:
    """Take the message out of an error's body, if there is one."""
    try:
        found = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        found = None
    match found:
        case {'error': {'message': str(why)}} | {'error': str(why)}:
            return why[:MOST_SHOWN]
        case _:
            return body[:MOST_SHOWN].decode(errors='replace')
