"""Reading and answering calls with aiohttp's server, within bounds of bytes and of time."""

from __future__ import annotations

import asyncio

from aiohttp import web

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_body(request: web.BaseRequest, most: int, within: float) -> bytes:
    """All of it, or just so much that it is known to be larger than `most`. Raises TimeoutError where it does
    not come within so many seconds."""
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
        request.transport.write(CONTINUE)
    read = bytearray()
    async with asyncio.timeout(within):
        while len(read) <= most and (piece := await request.content.readany()):
            read += piece
    return bytes(read)


async def hand_out(request: web.BaseRequest, answer: web.Response, within: float) -> None:
    """Writes an answer; a caller that does not take it in that time is given up, one that has gone is
    left."""
    try:
        async with asyncio.timeout(within):
            await answer.prepare(request)
            await answer.write_eof()
    except ConnectionError:
        pass
    except TimeoutError:
        if request.transport is not None:
            request.transport.abort()
