"""Stand-in of a replica of a plain service, one process each.

usage: replica.py OPTIONS, with a JSON object:
  id, address, journal  its id, IP:PORT, and the file of its runs
  born                  start, Unix ms (only shown in the journal)
  slots, queue          requests at once, and that wait
  work_ms               work of a plain request
  events, gap_ms        events of a stream, and the time between two
  size                  bytes of a plain answer
  unframed              share of the answers without length and chunks
  garble                [[from, to], ..] Unix times in which it does that
  slow                  [[from, to], ..] Unix times in which it reads slowly
  read_kbps             KB a second that it then reads of a body

Paths that contain "/stream" are streams, all others are plain. A request with
another X-Expect-Replica gets 421, one beyond slots and queue 503; both say
X-Not-Executed. The journal gets a line when a run begins and when it ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import sys
import time

import socket

from wire import Cut, encode, read_head

options = json.loads(sys.argv[1])
ID = options['id']
slots = asyncio.Semaphore(options.get('slots', 16))
waiting = 0
journal = open(options['journal'], 'a', buffering=1)


def note(**fields) -> None:
    journal.write(json.dumps({'t': round(time.time(), 4), 'replica': ID, **fields}) + '\n')


def is_unframed(request_id: str) -> bool:
    now = time.time()
    if not any(a <= now < b for a, b in options.get('garble', [])):
        return False
    number = int.from_bytes(hashlib.sha256(request_id.encode()).digest()[:4], 'big')
    return number / 2**32 < options.get('unframed', 0)


async def read_request(reader):
    """Read a request; the body slowly in the times of ``slow``."""
    head = await read_head(reader)
    if head is None:
        return None
    left, parts = int(head.get('Content-Length', '0') or 0), []
    while left:
        part = await reader.read(min(left, 32768))
        if not part:
            raise Cut('within a body')
        left -= len(part)
        parts.append(len(part))
        if any(a <= time.time() < b for a, b in options.get('slow', [])):
            await asyncio.sleep(len(part) / 1000 / options['read_kbps'])
    head.body = b'' if not parts else str(sum(parts)).encode()
    return head


async def serve(reader, writer) -> None:
    try:
        while request := await read_request(reader):
            if not await answer(request, writer):
                break
    except (ConnectionError, Cut, asyncio.IncompleteReadError):
        pass
    finally:
        with contextlib.suppress(Exception):
            writer.close()


async def answer(request, writer) -> bool:
    """Answer a request; return whether the connection is kept."""
    global waiting
    arrived = round(time.time(), 4)
    request_id = request.get('X-Attempt-Id')
    common = [('X-Attempt-Id', request_id), ('X-Replica-Id', ID)]
    if request.target == '/health':
        writer.write(encode('HTTP/1.1 200 OK', [('X-Replica-Id', ID)], b'{}'))
        await writer.drain()
        return True
    if request.get('X-Expect-Replica', ID) != ID:
        note(kind='421', id=request_id, expected=request.get('X-Expect-Replica'))
        writer.write(encode('HTTP/1.1 421 X', [*common, ('X-Not-Executed', '1')], b''))
        await writer.drain()
        return True
    if slots.locked() and waiting >= options.get('queue', 32):
        note(kind='full', id=request_id, at=arrived)
        writer.write(encode('HTTP/1.1 503 X', [*common, ('X-Not-Executed', '1')], b''))
        await writer.drain()
        return True
    waiting += 1
    try:
        await slots.acquire()
    finally:
        waiting -= 1
    try:
        return await run(request, request_id, common, writer, arrived)
    finally:
        slots.release()


async def run(request, request_id, common, writer, arrived) -> bool:
    unframed = is_unframed(request_id)
    after = int(request.get('Last-Event-Id') or 0)
    note(kind='run', id=request_id, at=arrived, target=request.target, after=after,
         framing='connection' if unframed else 'own')
    common = [*common, ('X-Replica-Seal', f'{ID}.{request_id}')]
    if unframed:
        common.append(('Connection', 'close'))
    if '/stream' in request.target:
        common.append(('Content-Type', 'text/event-stream'))
        if not unframed:
            common.append(('Transfer-Encoding', 'chunked'))
        writer.write(encode('HTTP/1.1 200 OK', common))
        count = options.get('events', 20)
        for number in range(after + 1, count + 1):
            await asyncio.sleep(options.get('gap_ms', 60) / 1000)
            event = f'id: {number}\ndata: {request_id} {number} of {count}\n\n'.encode()
            if not unframed:
                event = b'%x\r\n%s\r\n' % (len(event), event)
            writer.write(event)
            await writer.drain()
            if writer.transport.is_closing():
                note(kind='left', id=request_id, at=number)
                return False
        if not unframed:
            writer.write(b'0\r\n\r\n')
    else:
        half_s = options.get('work_ms', 60) / 2000
        size = options.get('size', 800)
        text = f'{request_id} of {ID} '
        body = (text * (size // len(text) + 1))[: size - 4].encode() + b' end'
        await asyncio.sleep(half_s)
        if unframed:
            writer.write(encode('HTTP/1.1 200 OK', common) + body[: size // 2])
            await writer.drain()
            await asyncio.sleep(half_s)
            writer.write(body[size // 2 :])
        else:
            first = encode('HTTP/1.1 200 OK', common, body)
            writer.write(first[: len(first) - size // 2])
            await writer.drain()
            await asyncio.sleep(half_s)
            writer.write(first[len(first) - size // 2 :])
    await writer.drain()
    note(kind='end', id=request_id)
    return not unframed


async def main() -> None:
    ip, _, port = options['address'].rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Windows are small, so that a replica that does not read blocks the writer.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.bind((ip, int(port)))
    server = await asyncio.start_server(serve, sock=sock, limit=65536, backlog=512)
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main())
