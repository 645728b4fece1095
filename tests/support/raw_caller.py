"""A caller that speaks a given version of HTTP and sees how an answer ends."""

from __future__ import annotations

import asyncio

from attrs import define

from support.fleet import HOST, KEY

TIMEOUT_S = 5


@define
class RawAnswer:
    """An answer as it came over the wire."""

    head: bytes = b''
    rest: bytes = b''
    was_reset: bool = False
    was_ended: bool = True

    @property
    def status(self):
        """The status, 0 without a head."""
        return int(self.head.split()[1]) if self.head else 0

    @property
    def is_chunked(self):
        return b'transfer-encoding: chunked' in self.head.lower()

    @property
    def body(self):
        return dechunked(self.rest)[0] if self.is_chunked else self.rest

    @property
    def looks_complete(self):
        """Whether a caller takes the answer for a whole one."""
        if self.was_reset or not self.was_ended or not self.head:
            return False
        if self.is_chunked:
            return dechunked(self.rest)[1]
        length = self.header(b'content-length')
        return length is None or int(length) == len(self.rest)

    def header(self, wanted):
        for line in self.head.lower().splitlines():
            name, _, text = line.partition(b':')
            if name == wanted:
                return text.strip()
        return None


def dechunked(text):
    """Return the body, and whether its last chunk has come."""
    body = b''
    while text:
        size, separator, text = text.partition(b'\r\n')
        if not separator:
            break
        count = int(size, 16)
        if not count:
            return body, True
        body += text[:count]
        text = text[count + 2 :]
    return body, False


async def ask_raw(
    address,
    path,
    *,
    version='1.1',
    method='POST',
    request_id='a',
    headers='',
    timeout_s=TIMEOUT_S,
):
    """Send a request and read until the connection ends, or for a time."""
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    connection = 'Connection: close\r\n' if version == '1.1' else ''
    body = 'body' if method == 'POST' else ''
    writer.write(
        f'{method} {path} HTTP/{version}\r\nHost: {HOST}\r\n'
        f'X-Attempt-Id: {request_id}\r\nX-Credential: {KEY}\r\n'
        f'X-Deadline-Ms: 3000\r\n{connection}{headers}'
        f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
    )
    received = b''
    was_reset = was_ended = False
    try:
        async with asyncio.timeout(timeout_s):
            while piece := await reader.read(65536):
                received += piece
        was_ended = True
    except ConnectionResetError:
        was_reset = was_ended = True
    except TimeoutError:
        was_ended = False
    finally:
        writer.close()
    head, _, rest = received.partition(b'\r\n\r\n')
    return RawAnswer(head, rest, was_reset, was_ended)
