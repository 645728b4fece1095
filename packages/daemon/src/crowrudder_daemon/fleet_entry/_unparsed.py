"""Refusal of a request on a new connection, without an HTTP server."""

from __future__ import annotations

import contextlib
import socket
from http import HTTPStatus

MAX_PEEKED_BYTES = 65_536
_END_OF_HEAD = b'\r\n\r\n'


def peek_request_head(sock: socket.socket) -> dict[str, str] | None:
    """Return the headers of a request that has arrived as a whole.

    Return None if any byte of it may still be under way: the refusal of a
    request that is still being sent can be lost, as its connection is reset.
    Names are in title case. The bytes stay in the socket.
    """
    try:
        peeked = sock.recv(MAX_PEEKED_BYTES, socket.MSG_PEEK)
    except OSError:
        # Nothing has arrived, or the caller has left.
        return None
    head, end, body = peeked.partition(_END_OF_HEAD)
    if not end or len(peeked) == MAX_PEEKED_BYTES:
        return None
    _, *lines = head.decode('latin-1').split('\r\n')
    fields = [line.partition(':') for line in lines]
    headers = {name.strip().title(): text.strip() for name, _, text in fields}
    length = headers.get('Content-Length', '0')
    is_whole = (
        'Transfer-Encoding' not in headers
        and length.isascii()
        and length.isdigit()
        and len(body) == int(length)
    )
    return headers if is_whole else None


def refuse_unparsed(
    sock: socket.socket, headers: list[tuple[str, str]], body: bytes
) -> None:
    """Take the request off a non-blocking socket, answer it and close."""
    status = HTTPStatus.SERVICE_UNAVAILABLE
    lines = [f'HTTP/1.1 {status.value} {status.phrase}']
    lines += [f'{name}: {text}' for name, text in headers]
    lines += [f'Content-Length: {len(body)}', 'Connection: close', '\r\n']
    # A caller that has left needs no answer.
    with contextlib.suppress(OSError):
        # Closing a socket with unread bytes would reset the connection.
        sock.recv(MAX_PEEKED_BYTES)
        sock.send('\r\n'.join(lines).encode('latin-1') + body)
    sock.close()
