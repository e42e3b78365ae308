"""Tests of the HTTP client: connection reuse, answer framings and malformed answers."""

import asyncio
import json

import pytest
from netkit import on_loop

from api_gateway.discovery import fetcher as fetch
from api_gateway.discovery.fetcher import BrokenConnectionError, Fetcher, StatusError

BODY = json.dumps({"a": 1}).encode()
WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
CLOSING = WITH_LENGTH.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (
    BODY[:3],
    len(BODY) - 3,
    BODY[3:],
)
UNTIL_CLOSE = b"HTTP/1.0 200 OK\r\n\r\n" + BODY


class ScriptedServer:
    """A server that sends a scripted answer for each request, in one piece or byte by byte."""

    def __init__(self, *answers, bytewise=False, closes=False, hangs=False):
        self.hangs = hangs
        self.answers, self.bytewise, self.closes = list(answers), bytewise, closes
        self.request_heads, self.connections, self.writers = [], 0, []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        while self.answers:
            try:
                self.request_heads.append(await reader.readuntil(b"\r\n\r\n"))
            except (OSError, asyncio.IncompleteReadError):
                break
            answer = self.answers.pop(0)
            for piece in [bytes([byte]) for byte in answer] if self.bytewise else [answer]:
                writer.write(piece)
                await asyncio.sleep(0)
            if self.hangs:
                await asyncio.Event().wait()
            if self.closes or not answer.startswith(b"HTTP/1.1") or b"close" in answer:
                break
        writer.close()


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize(
    "answer, connections", [(WITH_LENGTH, 1), (CHUNKED, 1), (CLOSING, 3), (UNTIL_CLOSE, 3)]
)
@on_loop
async def test_all_answer_framings_are_read_and_connections_are_reused_if_possible(
    answer, connections, bytewise
):
    async with ScriptedServer(answer, answer, answer, bytewise=bytewise) as scripted:
        fetcher = Fetcher()
        assert [await fetcher.get(scripted.address, "/v1?a=1", 2.0) for _ in range(3)] == [{"a": 1}] * 3
        assert scripted.connections == connections
        assert (
            scripted.request_heads[0].startswith(b"GET /v1?a=1 HTTP/1.1\r\n")
            and b"Host: 127.0.0.1:" in scripted.request_heads[0]
        )
        fetcher.close()


@on_loop
async def test_a_call_on_a_closed_idle_connection_is_repeated_on_a_new_one():
    async with ScriptedServer(WITH_LENGTH, WITH_LENGTH, closes=True) as scripted:
        fetcher = Fetcher()
        assert await fetcher.get(scripted.address, "/", 2.0) == {"a": 1}
        assert await fetcher.get(scripted.address, "/", 2.0) == {"a": 1}
        assert scripted.connections == 2
        fetcher.close()


@pytest.mark.parametrize(
    "answer, error",
    [
        (b"", BrokenConnectionError),
        (WITH_LENGTH[:-1], BrokenConnectionError),
        (WITH_LENGTH[:10], BrokenConnectionError),
        (b"what\r\n\r\n", BrokenConnectionError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]", ValueError),
        (b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", StatusError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + b"1" * 3000, BrokenConnectionError),
        (b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 50000, BrokenConnectionError),
    ],
)
@on_loop
async def test_a_malformed_answer_raises_and_the_next_call_succeeds(answer, error, monkeypatch):
    monkeypatch.setattr(fetch, "MAX_BODY_BYTES", 2000)
    async with ScriptedServer(answer, WITH_LENGTH, closes=True) as scripted:
        fetcher = Fetcher()
        with pytest.raises(error):
            await fetcher.get(scripted.address, "/", 2.0)
        assert await fetcher.get(scripted.address, "/", 2.0) == {"a": 1}
        fetcher.close()


@on_loop
async def test_a_call_that_times_out_leaves_no_connection():
    async with ScriptedServer(WITH_LENGTH[:5], hangs=True) as scripted:
        fetcher = Fetcher()
        with pytest.raises(TimeoutError):
            await fetcher.get(scripted.address, "/", 0.1)
        assert fetcher.idle_connection is None
        with pytest.raises(OSError):
            await fetcher.get(("127.0.0.1", 1), "/", 1.0)


@pytest.mark.parametrize(
    "head, piece",
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-More: y\r\n"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", b" "),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\n \r\n"),
    ],
    ids=["head", "body", "chunks"],
)
@on_loop
async def test_an_endless_answer_in_pieces_times_out(head, piece):
    """The time limit covers the whole call, so that no piece restarts it."""

    async def answer(reader, writer):
        writer.write(head)
        while not writer.is_closing():
            writer.write(piece)
            await asyncio.sleep(0.01)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    fetcher = Fetcher()
    with pytest.raises(TimeoutError):
        await fetcher.get(server.sockets[0].getsockname(), "/", 0.2)
    assert fetcher.idle_connection is None
    server.close()


@on_loop
async def test_concurrent_calls_get_their_own_answers():
    answers = [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % number for number in range(5)]
    async with ScriptedServer(*answers) as scripted:
        fetcher = Fetcher()
        received = await asyncio.gather(*(fetcher.get(scripted.address, "/", 2.0) for _ in range(5)))
        assert sorted(received) == [0, 1, 2, 3, 4] and scripted.connections == 5
        assert fetcher.idle_connection is not None
        fetcher.close()


def test_error_names_in_replies_to_operators_are_stable():
    assert f"{StatusError.__name__} {StatusError(503)}" == "Refused status 503"
    assert f"{BrokenConnectionError.__name__} {BrokenConnectionError('gone')}" == "Broken gone"
