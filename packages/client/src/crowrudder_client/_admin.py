"""HTTP client of the admin addresses of running processes."""

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

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 5.0
# Bounds the open connections on a fleet of thousands.
MAX_CONCURRENT_REQUESTS = 64
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_PORT = 65535
NO_RESPONSE_STATUS = 599
NOT_FOUND = 404
MAX_ERROR_CHARS = 200


@frozen
class AuditPage:
    """Events of a process's audit trail, and the number of the last one."""

    events: tuple[dict[str, Any], ...]
    last: int


class AdminClient:
    """Queries processes; returns a complete answer or raises ClientError."""

    def __init__(
        self,
        *,
        timeout_s: float = RESPONSE_TIMEOUT_S,
        max_concurrent: int = MAX_CONCURRENT_REQUESTS,
    ) -> None:
        self._timeout_s = timeout_s
        # The HTTP client counts the time in its own queue against the request
        # timeout, so that queued requests to healthy hosts would time out.
        self._request_slots = asyncio.Semaphore(max_concurrent)
        self._http: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=max_concurrent,
            max_body_size=MAX_RESPONSE_BYTES,
            max_buffer_size=MAX_RESPONSE_BYTES,
        )

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    async def members(self, admin: str) -> tuple[Member, ...]:
        """Return the members that the process knows."""
        encoded = await self._get(admin, '/members')
        try:
            return decode_members(encoded)[1]
        except MembersError as exc:
            raise UnreachableError(admin, 'GET /members', str(exc)) from exc

    async def status(self, admin: str) -> Status:
        """Return the status of a process."""
        encoded = await self._get(admin, '/status')
        return _decode(encoded, Status, admin, 'GET /status')

    async def bundle(self, admin: str) -> Bundle | None:
        """Return the bundle in force, or None before the first."""
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

    async def audit(self, admin: str, after: int) -> AuditPage:
        """Return the audit events after a sequence number."""
        encoded = await self._get(admin, '/audit', after=str(after))
        return _decode(encoded, AuditPage, admin, 'GET /audit')

    async def explain(
        self,
        admin: str,
        *,
        customer: str,
        model: str,
    ) -> dict[str, Any]:
        """Query an entry where a request would go, and why."""
        encoded = await self._get(
            admin,
            '/explain',
            customer=customer,
            model=model,
        )
        return _decode(encoded, dict[str, Any], admin, 'GET /explain')

    async def _get(self, admin: str, path: str, **query: str) -> bytes:
        request = HTTPRequest(
            url_concat(f'http://{admin}{path}', query),
            connect_timeout=min(CONNECT_TIMEOUT_S, self._timeout_s),
            request_timeout=self._timeout_s,
            follow_redirects=False,
        )
        operation = f'GET {path}'
        try:
            async with self._request_slots:
                answer = await self._http.fetch(request)
        except HTTPClientError as exc:
            if exc.code == NO_RESPONSE_STATUS or exc.response is None:
                raise UnreachableError(admin, operation, str(exc)) from exc
            reason = _error_message(exc.response.body) or exc.message or ''
            raise RejectedError(admin, operation, exc.code, reason) from exc
        except (OSError, ValueError) as exc:
            raise UnreachableError(admin, operation, str(exc)) from exc
        return answer.body


def parse_admin_address(text: str) -> str:
    """Return `text` if it is IP:PORT.

    Raises
    ------
    BadInputError
        when it is not an IPv4 address with a port.
    """
    address, _, port = text.rpartition(':')
    try:
        ipaddress.IPv4Address(address)
    except ValueError:
        port = ''
    if not (port.isdecimal() and 0 < int(port) <= MAX_PORT):
        reason = 'allowed: IP:PORT of an admin address, as 127.0.0.1:9001'
        raise BadInputError(f'address {text!r}', reason)
    return text


def _decode(encoded: bytes, answer_type: Any, peer: str, operation: str) -> Any:
    try:
        return msgspec.json.decode(encoded, type=answer_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        reason = f'the answer is not one of crowrudder: {exc}'
        raise UnreachableError(peer, operation, reason) from exc


def _error_message(body: bytes) -> str:
    """Return the message of an error body, or the start of the body."""
    try:
        found = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        found = None
    match found:
        case {'error': {'message': str(reason)}} | {'error': str(reason)}:
            return reason[:MAX_ERROR_CHARS]
        case _:
            return body[:MAX_ERROR_CHARS].decode(errors='replace')
