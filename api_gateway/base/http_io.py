"""Reads and answers HTTP calls with aiohttp's server, within bounds of bytes and of time."""

from __future__ import annotations

import asyncio

from aiohttp import web

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_body(request: web.BaseRequest, max_bytes: int, timeout_s: float) -> bytes:
    """Return the body of a request, or just so much that it is known to be larger than the bound.

    Args:
        request: The call.
        max_bytes: The bound.
        timeout_s: Time limit in seconds.

    Raises:
        TimeoutError: The body does not come within the time limit.
    """
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
        request.transport.write(CONTINUE)
    body = bytearray()
    async with asyncio.timeout(timeout_s):
        while len(body) <= max_bytes and (piece := await request.content.readany()):
            body += piece
    return bytes(body)


async def write_response(request: web.BaseRequest, answer: web.Response, timeout_s: float) -> None:
    """Write an answer; a caller that does not take it within `timeout_s` seconds is cut off."""
    try:
        async with asyncio.timeout(timeout_s):
            await answer.prepare(request)
            await answer.write_eof()
    except ConnectionError:
        pass
    except TimeoutError:
        if request.transport is not None:
            request.transport.abort()
