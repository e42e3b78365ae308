"""Reads request bodies and writes responses with aiohttp's server, within size and time limits."""

from __future__ import annotations

import asyncio

from aiohttp import web

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_body(request: web.BaseRequest, max_bytes: int, timeout_s: float) -> bytes:
    """Return the body of a request; a longer body is read only until it exceeds `max_bytes`.

    Args:
        request: The request.
        max_bytes: Maximum size of the body.
        timeout_s: Time limit in seconds.

    Raises:
        TimeoutError: The body does not arrive within the time limit.
    """
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport is not None:
        request.transport.write(CONTINUE)
    body = bytearray()
    async with asyncio.timeout(timeout_s):
        while len(body) <= max_bytes and (chunk := await request.content.readany()):
            body += chunk
    return bytes(body)


async def write_response(request: web.BaseRequest, response: web.Response, timeout_s: float) -> None:
    """Write a response; abort the connection if the client does not read it within `timeout_s` seconds."""
    try:
        async with asyncio.timeout(timeout_s):
            await response.prepare(request)
            await response.write_eof()
    except ConnectionError:
        pass
    except TimeoutError:
        if request.transport is not None:
            request.transport.abort()
