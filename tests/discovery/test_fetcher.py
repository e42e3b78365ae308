"""Calls by HTTP: connections that are kept or not, answers of each form, and what cannot be an answer."""

import asyncio
import json

import pytest
from netkit import on_loop

from api_gateway.discovery import fetcher as fetch
from api_gateway.discovery.fetcher import BrokenConnectionError, Fetcher, StatusError

BODY = json.dumps({"a": 1}).encode()
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
CLOSING = WHOLE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (
    BODY[:3],
    len(BODY) - 3,
    BODY[3:],
)
TO_THE_END = b"HTTP/1.0 200 OK\r\n\r\n" + BODY


class Said:
    """Answers each call with the next of some texts, byte by byte or at once; None closes at once."""

    def __init__(self, *answers, bytewise=False, ends=False, holds=False):
        self.holds = holds
        self.answers, self.bytewise, self.ends = list(answers), bytewise, ends
        self.heads, self.connections, self.writers = [], 0, []

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
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            except (OSError, asyncio.IncompleteReadError):
                break
            answer = self.answers.pop(0)
            for piece in [bytes([byte]) for byte in answer] if self.bytewise else [answer]:
                writer.write(piece)
                await asyncio.sleep(0)
            if self.holds:
                await asyncio.Event().wait()
            if self.ends or not answer.startswith(b"HTTP/1.1") or b"close" in answer:
                break
        writer.close()


@pytest.mark.parametrize("bytewise", [False, True])
@pytest.mark.parametrize("answer, connections", [(WHOLE, 1), (CHUNKED, 1), (CLOSING, 3), (TO_THE_END, 3)])
@on_loop
async def test_answers_of_each_form_are_read_and_a_connection_is_kept_where_it_may_be(
    answer, connections, bytewise
):
    async with Said(answer, answer, answer, bytewise=bytewise) as said:
        fetcher = Fetcher()
        assert [await fetcher.get(said.address, "/v1?a=1", 2.0) for _ in range(3)] == [{"a": 1}] * 3
        assert said.connections == connections
        assert said.heads[0].startswith(b"GET /v1?a=1 HTTP/1.1\r\n") and b"Host: 127.0.0.1:" in said.heads[0]
        fetcher.close()


@on_loop
async def test_a_connection_that_was_closed_while_it_rested_costs_no_call():
    async with Said(WHOLE, WHOLE, ends=True) as said:
        fetcher = Fetcher()
        assert await fetcher.get(said.address, "/", 2.0) == {"a": 1}
        assert await fetcher.get(said.address, "/", 2.0) == {"a": 1}
        assert said.connections == 2
        fetcher.close()


@pytest.mark.parametrize(
    "answer, error",
    [
        (b"", BrokenConnectionError),
        (WHOLE[:-1], BrokenConnectionError),
        (WHOLE[:10], BrokenConnectionError),
        (b"what\r\n\r\n", BrokenConnectionError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]", ValueError),
        (b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", StatusError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + b"1" * 3000, BrokenConnectionError),
        (b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 50000, BrokenConnectionError),
    ],
)
@on_loop
async def test_what_is_no_answer_raises_and_the_next_call_begins_anew(answer, error, monkeypatch):
    monkeypatch.setattr(fetch, "MAX_BODY_BYTES", 2000)
    async with Said(answer, WHOLE, ends=True) as said:
        fetcher = Fetcher()
        with pytest.raises(error):
            await fetcher.get(said.address, "/", 2.0)
        assert await fetcher.get(said.address, "/", 2.0) == {"a": 1}
        fetcher.close()


@on_loop
async def test_a_call_is_given_up_after_its_time_and_leaves_no_connection():
    async with Said(WHOLE[:5], holds=True) as said:
        fetcher = Fetcher()
        with pytest.raises(TimeoutError):
            await fetcher.get(said.address, "/", 0.1)
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
async def test_an_answer_in_pieces_without_end_is_given_up_as_silence_is(head, piece):
    """Its time is that of the whole call: a piece does not begin it anew."""

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
async def test_calls_at_the_same_time_do_not_mix():
    answers = [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % n for n in range(5)]
    async with Said(*answers) as said:
        fetcher = Fetcher()
        told = await asyncio.gather(*(fetcher.get(said.address, "/", 2.0) for _ in range(5)))
        assert sorted(told) == [0, 1, 2, 3, 4] and said.connections == 5
        assert fetcher.idle_connection is not None
        fetcher.close()


def test_names_of_errors_in_an_operators_answer_stay():
    assert f"{StatusError.__name__} {StatusError(503)}" == "Refused status 503"
    assert f"{BrokenConnectionError.__name__} {BrokenConnectionError('gone')}" == "Broken gone"
