"""What is read from clients, hosts, the counter and discovery: nothing is stepped over unseen, wherever the
stream is cut.

Each reader is held against a plain slow one that is written here from the protocol's page: it reads a whole
stream at once, and takes nothing that it does not know."""

import asyncio
import json
import math
import sys
from dataclasses import replace

import hiredis
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from netkit import SETTINGS, Node, StubHost, command, on_loop, write_command
from netkit import gateway_config as configured

from api_gateway import interface as api
from api_gateway.base import resp
from api_gateway.base.endpoint_list import read_list
from api_gateway.base.resp import INCOMPLETE, RespReader
from api_gateway.control import config_candidate as candidate
from api_gateway.control import config_history
from api_gateway.control.host_overrides import decode_overrides
from api_gateway.counter_client import MAX_ANSWER_BYTES, Call
from api_gateway.counter_client import CounterConnection as CounterLine
from api_gateway.discovery.fetcher import BrokenConnectionError, FetchConnection, Fetcher
from api_gateway.gateway.request_parser import ANSWER_RESERVE_S, BadRequestError, parse_request
from api_gateway.membership.messages import decode_datagram as read_datagram
from api_gateway.settings_parser import read_settings
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.connection import read_reply
from api_gateway.upstream.load_report import parse_load_report

ENDS = b"*3\r\n$4\r\nabcdef$-1\r\n$-1\r\n"  # the value's end is no end
DIGITS = set(b"0123456789")

seeded = settings(derandomize=True, deadline=None, database=None, max_examples=250)


class Cut(StubHost):
    """Answers in two pieces."""

    at = 0

    async def answer_to(self, got):
        self.writers[-1].write(ENDS[: self.at])
        await asyncio.sleep(0.01 if self.at else 0)
        return ENDS[self.at :]


@pytest.mark.parametrize("ask", [command(), write_command(service_class=b"note")], ids=["read", "note"])
@pytest.mark.parametrize("at", [0, 9, 12, 13, 14, 15, 17, 22])
@on_loop
async def test_a_value_whose_end_is_no_end_is_not_served(ask, at, tmp_path):
    async with Cut() as host, Node(host, path=tmp_path) as node:
        host.at = at
        answer = await node.send_command(ask)
        assert answer.startswith(b"-") and host.commands, answer


class BrokenOff(StubHost):
    """Breaks off in a large value, right behind a piece that looks like its end."""

    async def answer_to(self, got):
        out = self.writers[-1]
        for piece in (b"*3\r\n$70000\r\n" + b"v" * 100, b"\r\n"):
            out.write(piece)
            await asyncio.sleep(0.05)
        return b""


@on_loop
async def test_a_large_value_that_breaks_off_is_not_whole(tmp_path):
    async with BrokenOff() as host, Node(host, path=tmp_path) as node:
        outcomes, feed = [], node.node.dispatcher.dispatch
        node.node.dispatcher.dispatch = lambda event: (outcomes.append(event), feed(event))
        reader, writer = await node.connect()
        writer.write(command())
        assert await reader.read() == b"$70000\r\n" + b"v" * 100 + b"\r\n"  # and the end of the connection
        assert [event.result for event in outcomes if isinstance(event, api.AttemptEnded)] == ["reset"]


def pieces_of(stream, cuts):
    at = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    return [stream[a:b] for a, b in zip(at, at[1:], strict=False)]


def bytewise(stream):
    """The first bytes one by one."""
    return [stream[at : at + 1] for at in range(300)] + [stream[300:]]


def altered(stream, change):
    """With a byte more, less or another one."""
    kind, at, byte = change
    at %= len(stream) + 1
    return (
        stream[:at]
        + {"more": byte, "less": b"", "other": byte, "none": stream[at : at + 1]}[kind]
        + (stream[at if kind == "more" else at + 1 :])
    )


BYTES = st.sampled_from([bytes([byte]) for byte in b"\r\n$*:+-?0123456789 ax_.e\x00\xff"])
CHANGES = st.tuples(st.sampled_from(["more", "less", "other", "other", "none"]), st.integers(0, 2000), BYTES)
CUTS = st.lists(st.integers(0, 2000), max_size=6)


# RESP2

MOST, SMALL, LARGE = 700, 600, 900  # as in resp.py, where a test would be slow with them


class Bad(Exception):
    """The stream is not what the page allows."""


class More(Exception):
    """The stream ends too early."""


class SlowReader:
    """All values of a stream; then `bad` if it cannot go on; what of large strings was passed on, and how
    many of them were whole."""

    def __init__(self, stream, large):
        self.stream, self.at, self.large, self.nested = stream, 0, large, False
        self.values, self.passed, self.whole, self.bad = [], b"", 0, False
        try:
            while True:
                self.values.append(self.value(None))
        except Bad:
            self.bad = True
        except More:
            pass

    def value(self, place):
        end = self.stream.find(b"\r\n", self.at)
        line = self.stream[self.at : end if end >= 0 else None]
        if len(line) > resp.MAX_LINE_BYTES + (end < 0):
            raise Bad
        if end < 0:
            raise More
        self.at = end + 2
        kind, text = line[:1], line[1:]
        if kind in (b"+", b"-"):
            if b"\r" in text or b"\n" in text:
                raise Bad
            return ("error", text.decode("utf-8", "replace")) if kind == b"-" else text
        if kind == b":":
            return self.number(text, -(2**63), 2**63 - 1)
        if kind == b"$":
            large = place == self.large and not self.nested
            return self.string(self.number(text, -1, LARGE if large else MOST), large)
        if kind == b"*":
            count = self.number(text, -1, resp.MAX_ARRAY_PARTS)
            self.nested = place is not None  # nothing behind an inner one is large, even if that is empty
            inner = [(count, n) if place is None else (-1, -1) for n in range(count)]
            return None if count < 0 else [self.value(one) for one in inner]
        raise Bad

    def number(self, text, least, most):
        digits = text.removeprefix(b"-")
        plain = digits and set(digits) <= DIGITS and (digits[:1] != b"0" or text == b"0")
        if not plain or not least <= int(text) <= most:
            raise Bad
        return int(text)

    def string(self, length, large):
        if length < 0:
            return None
        text, end = (
            self.stream[self.at : self.at + length],
            self.stream[self.at + length : self.at + length + 2],
        )
        passed = large and length > SMALL
        self.passed += text if passed else b""
        if not b"\r\n".startswith(end):
            raise Bad
        if len(end) < 2:
            raise More
        self.passed, self.whole = self.passed + (end if passed else b""), self.whole + passed
        self.at += length + 2
        return b"" if passed else text


def read_pieces(pieces, large):
    """The same of the program's reader, and the pieces of large strings."""
    reader, values, passed = RespReader(MOST, large), [], []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(resp, "STREAMING_THRESHOLD_BYTES", SMALL)
        patch.setattr(resp, "MAX_VALUE_BYTES", LARGE)
        return values, passed, feed(reader, pieces, values, passed)


def feed(reader, pieces, values, passed):
    """Whether the stream cannot go on."""
    try:
        for piece in pieces:
            reader.feed(piece)
            while True:
                while (value := reader.gets()) is not INCOMPLETE:
                    values.append(value)
                if not reader.large_string_bytes:
                    break
                reader.pass_on(passed.append)
    except hiredis.ProtocolError:
        return True
    return False


def plain(value):
    if isinstance(value, list):
        return [plain(part) for part in value]
    return ("error", str(value)) if isinstance(value, hiredis.ReplyError) else value


def bulk(text):
    return b"$-1\r\n" if text is None else b"$%d\r\n%s\r\n" % (len(text), text)


def array(parts):
    return b"*%d\r\n" % len(parts) + b"".join(parts)


STRINGS = st.one_of(
    st.none(),
    st.lists(BYTES, max_size=12).map(b"".join),
    st.sampled_from(
        [b"", b"\r\n", b"$3\r\n", b"v" * 40, b"ab\r\n" * 150, b"\r\n" * 301, b"x" * 700, b"*1\r\n" * 200]
    ),
)
LINES = st.sampled_from([b":0\r\n", b":-17\r\n", b"+OK\r\n", b"-BUSY 5\r\n", b"*-1\r\n", b"*0\r\n"])
PARTS = st.one_of(STRINGS.map(bulk), STRINGS.map(bulk), LINES)
ARRAYS = st.lists(st.one_of(PARTS, PARTS, st.lists(PARTS, max_size=3).map(array)), max_size=5).map(array)
ANSWERS = st.tuples(STRINGS.map(bulk), PARTS, PARTS).map(array)
ODDITIES = st.sampled_from(
    [
        ENDS,
        b"PING\r\n",
        b"$04\r\nabcd\r\n",
        b"$-2\r\n",
        b":1 \r\n",
        b":1_0\r\n",
        b"$4\nabcd\n",
        b"*1\r\n*1\r\n*3\r\n$650\r\n",
        b"*3\r\n$+650\r\n",
        b"*3\r\n$0650\r\n",
    ]
)
STREAMS = st.lists(st.one_of(ANSWERS, ANSWERS, ARRAYS, LINES, ODDITIES), min_size=1, max_size=4).map(b"".join)


@given(STREAMS, CHANGES, CUTS, st.sampled_from([(3, 0), (3, 2), (0, -1)]))
@seeded
def test_resp_is_read_as_a_slow_reader_does_wherever_it_is_cut(stream, change, cuts, large):
    stream = altered(stream, change)
    slow = SlowReader(stream, large)
    for pieces in ([stream], pieces_of(stream, cuts), bytewise(stream)):
        values, passed, bad = read_pieces(pieces, large)
        assert (plain(values), b"".join(passed), bad) == (slow.values, slow.passed, slow.bad)
        assert passed.count(b"\r\n") == slow.whole  # by that the end of a large string is known


@given(ANSWERS | ARRAYS, CHANGES)
@seeded
def test_only_an_array_of_value_figures_and_report_is_an_answer(stream, change):
    values, _, _ = read_pieces([altered(stream, change)], (0, -1))
    for value in values:
        attempt = Attempt("h", b"", lambda _: None)
        sound = (
            isinstance(value, list)
            and len(value) == 3
            and isinstance(value[0], bytes)
            and not isinstance(value[1], hiredis.ReplyError)
            and not isinstance(value[2], hiredis.ReplyError | list)
        )
        assert (read_reply(attempt, value) == "ok") == sound
        assert attempt.value == (value[0] if sound else b"")


# What stands in commands and answers


def slow_number(text):
    """A number without sign; None where it is none."""
    return None if text[:1] in ("+", "-") or not text.isascii() else slow_total(text.encode())


def slow_count(text):
    return int(text) if text and set(text.encode()) <= DIGITS else None


def slow_request(customer, id, verb, text):
    """What a command asks for; None where it is none that a client may send."""
    fields = {}
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not equals or name in fields:
            return None
        fields[name] = value
    if len(customer) != 16 or set(customer) - set("0123456789abcdefABCDEF") or not id:
        return None
    left, units = slow_count(fields.get("d", "")), slow_number(fields.get("units", ""))
    first, spread = slow_count(fields.get("first", "")), slow_count(fields.get("spread", ""))
    if None in (left, units, first, spread) or int(customer, 16) >= 2**33 or left > 3_600_000:
        return None
    if fields.get("c") not in ("read", "write", "note") or fields.get("t") not in ("p", "small"):
        return None
    if (verb == "API.WRITE") != (fields["c"] != "read") or fields["c"] == "write" and not fields.get("k"):
        return None
    if (
        not 0 < units <= SET.max_request_units
        or not 1 <= spread <= SET.gateway_count
        or not 0 <= first < SET.gateway_count
    ):
        return None
    return fields["c"], fields["t"], left, units, first, spread, fields.get("r") == "1"


SET = read_settings(SETTINGS)
NUMBERS = st.sampled_from(
    [
        "0",
        "1",
        "1",
        "1",
        "2",
        "480",
        "1_0",
        " 1",
        "1 ",
        "+1",
        "-1",
        "1.0",
        "1e0",
        "1e-3",
        ".5",
        "5.",
        "nan",
        "inf",
        "1e999",
        "0x1",
        "\u0663",
        "",
        "007",
        "3600001",
    ]
)
PAIRS = st.one_of(
    st.tuples(st.sampled_from(["d", "units", "spread", "first"]), NUMBERS),
    st.tuples(st.just("c"), st.sampled_from(["read", "write", "note", "odd", ""])),
    st.tuples(st.just("t"), st.sampled_from(["p", "small", "odd"])),
    st.tuples(st.sampled_from(["k", "r", "x", ""]), st.sampled_from(["1", "77", "", "a=b"])),
)
CUSTOMERS = st.sampled_from(
    ["00000000b4d65521"] * 8
    + [
        "00000001ffffffff",
        "0000000200000000",
        "0x0000000b4d6552",
        "0000_0000b4d6552",
        " 0000000b4d65521",
        "+0000000b4d65521",
        "00000000B4D65521",
        "0000000b4d65521",
        "00000000b4d6552g",
    ]
)
START = [("c", "read"), ("t", "p"), ("d", "480"), ("units", "1"), ("spread", "1"), ("first", "0")]


@given(
    CUSTOMERS, st.sampled_from(["API.READ", "API.WRITE"]), st.lists(PAIRS, max_size=3), st.booleans(), CHANGES
)
@seeded
def test_a_command_is_read_as_a_slow_reader_does(customer, verb, pairs, added, change):
    """Nothing stands twice, and a number is what a client may write for one: hosts get it as it came."""
    named = dict(pairs)
    listed = (
        [*START, *pairs]
        if added
        else [*((name, named.pop(name, value)) for name, value in START), *named.items()]
    )
    text = altered(",".join(f"{name}={value}" for name, value in listed).encode(), change)
    try:
        slow = slow_request(customer, "r1", verb, text.decode())
    except UnicodeDecodeError:
        return
    command = [verb.encode(), customer.encode(), b"r1", text, *([b"BODY"] if verb == "API.WRITE" else [])]
    try:
        read = parse_request(command, SET, 0.0)
    except BadRequestError:
        assert slow is None
        return
    assert slow == (
        read.service_class,
        read.plan,
        round(1000 * (read.time_left + ANSWER_RESERVE_S)),
        read.units,
        read.first_gateway,
        read.gateway_spread,
        read.is_retry,
    )


NAMES = {"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency"}


def slow_report(text):
    """The fields that are known and have a value; none where it is no report."""
    found, names = {}, []
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not equals or name in names:
            return {}
        number = slow_number(value) if value else 0.0
        if name in NAMES and number is None:
            return {}
        names.append(name)
        if name in NAMES and value:
            found[NAMES[name]] = number / 1000 if name == "avg_ms" else number
    return found


@given(st.lists(st.tuples(st.sampled_from([*NAMES, "odd"]), NUMBERS), max_size=4), CHANGES)
@seeded
def test_a_load_report_is_read_as_a_slow_reader_does(pairs, change):
    text = altered(",".join(f"{name}={value}" for name, value in pairs).encode(), change)
    assert parse_load_report(text) == slow_report(text.decode("utf-8", "replace"))


# The counter


def slow_total(text):
    """The number of a total, as a person would read it; None where it is none."""
    mantissa, *exponent = text.replace(b"E", b"e").split(b"e")
    whole, *fraction = mantissa[mantissa[:1] in (b"+", b"-") :].split(b".")
    digits = whole + b"".join(fraction)
    power = exponent[0][exponent[0][:1] in (b"+", b"-") :] if exponent else b"0"
    if len(exponent) > 1 or len(fraction) > 1 or not digits or not power:
        return None
    total = float(text) if set(digits + power) <= DIGITS else math.inf
    return total if math.isfinite(total) else None


def slow_answers(stream, calls):
    """What the calls are told by a stream, and whether it is spoilt."""
    told = []
    while (end := stream.find(b"\n")) >= 0:
        line, stream = stream[:end], stream[end + 1 :]
        text = line.removesuffix(b"\r")
        if len(line) > MAX_ANSWER_BYTES or text == line or not calls:
            return told, True
        name, *calls = calls
        if text == b"pong" and name < 0:
            told.append((name, "ok", 0.0))
        elif name >= 0 and text.startswith(b"ok ") and (total := slow_total(text[3:])) is not None:
            told.append((name, "ok", total))
        elif name >= 0 and (text == b"busy" or text == b"error" or text.startswith(b"error ")):
            told.append((name, "full", 0.0))
        else:
            return told, True
    return told, len(stream) > MAX_ANSWER_BYTES


class Spoilt(Exception):
    pass


class Heard(CounterLine):
    def abort_after_malformed_answer(self):
        raise Spoilt


def hear(pieces, calls):
    line, told = Heard(("127.0.0.1", 1)), []
    for name in calls:
        line.unanswered_calls.append(Call(name, b"", lambda *said: told.append(said[:3])))
    try:
        for piece in pieces:
            line.data_received(piece)
    except Spoilt:
        return told, True
    return told, False


TOTALS = st.one_of(
    st.floats(-1e9, 1e9).map(lambda total: b"%.7g" % total),
    st.sampled_from(
        [
            b"1e5",
            b"1e+09",
            b"-2.5",
            b"007",
            b".5",
            b"5.",
            b"nan",
            b"inf",
            b"-Infinity",
            b"1_0",
            b"1e999",
            b"0x1",
            b"1 0",
            b" 1",
            b"1 ",
            b"\t1",
            b"",
            b"--1",
            b"{}",
            b"1e",
            b"e5",
            b".",
            b"1.2.3",
            b"\xd9\xa3",
        ]
    ),
)
SAID = st.one_of(
    TOTALS.map(lambda total: b"ok " + total),
    st.sampled_from(
        [
            b"busy",
            b"error",
            b"error no such call",
            b"pong",
            b"ok",
            b"OK 1",
            b"busy 5",
            b"",
            b"okay 1",
            b"ok 1\r",
            b"ok 1\x0b",
            b"ok " + b"0" * 5000 + b"1",
        ]
    ),
)
TALK = st.lists(st.tuples(SAID, st.sampled_from([b"\r\n"] * 9 + [b"\n"])).map(b"".join), max_size=4).map(
    b"".join
)


@given(TALK, CHANGES, CUTS, st.lists(st.sampled_from([-1, 1, 2, 3, 4, 5]), max_size=5))
@seeded
def test_the_counter_is_read_as_a_slow_reader_does_wherever_it_is_cut(stream, change, cuts, calls):
    stream = altered(stream, change)
    for pieces in ([stream], pieces_of(stream, cuts), bytewise(stream)):
        assert hear(pieces, calls) == slow_answers(stream, calls)


# Discovery


def slow_chunks(body):
    """A chunked body that is whole; None where it is not."""
    found = b""
    while True:
        head, end, rest = body.partition(b"\r\n")
        if b"\n" in head:  # h11 ends a line of a head there, and refuses it
            return None
        size = head.split(b";")[0].rstrip(b" \t") if b";" not in head else head.split(b";")[0]
        if not end or not 0 < len(size) <= 20 or not set(size) <= set(b"0123456789abcdefABCDEF"):
            return None
        length = int(size, 16)
        if not length:
            return found if rest.startswith((b"\r\n", b"\n")) else None  # as HTTP lets a reader take that
        if rest[length : length + 2] != b"\r\n":
            return None
        found, body = found + rest[:length], rest[length + 2 :]


class Said:
    """A stream reader that is told what comes, and a writer that is told nothing."""

    def __init__(self, pieces):
        self.pieces = [piece for piece in pieces if piece]

    async def read(self, size):
        return self.pieces.pop(0) if self.pieces else b""

    def write(self, data):
        pass

    def at_eof(self):
        return not self.pieces


def fetch(pieces):
    said = Said(pieces)
    line = FetchConnection(("127.0.0.1", 1), said, said)
    try:
        return asyncio.run(line.get("/"))
    except BrokenConnectionError:
        return None


BODIES = st.lists(
    st.sampled_from([b'{"version":', b"1}", b"\r\n", b"0\r\n\r\n", b"5", b"x" * 30]), max_size=4
)


@given(BODIES, CHANGES, CUTS, st.booleans(), st.integers(0, 40))
@settings(seeded, max_examples=150)
def test_no_body_is_taken_that_is_not_whole_wherever_it_is_cut(parts, change, cuts, chunked, short):
    if chunked:
        whole = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        head, body = b"Transfer-Encoding: chunked", altered(whole, change)
        body = body[: len(body) - short] if short < 10 else body
        expected = slow_chunks(body)
    else:
        whole = b"".join(parts)
        head, body = b"Content-Length: %d" % len(whole), altered(whole, change)
        body = body[: max(0, len(body) - short)] if short < 10 else body
        expected = body[: len(whole)] if len(body) >= len(whole) else None
    stream = b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n" + body
    for pieces in ([stream], pieces_of(stream, cuts), bytewise(stream)):
        got = fetch(pieces)
        assert got == expected or got is None and b"\n" in body.replace(b"\r\n", b"")


async def serve(told, calls):
    """A server that answers the first call with one text and later ones with another."""

    async def answer(reader, writer):
        calls.append(writer)
        first = told[0] if len(calls) == 1 else told[1]
        await reader.readuntil(b"\r\n\r\n")
        writer.write(first)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()


def told_json(text):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)


@pytest.mark.parametrize("at_once", [True, False])
@on_loop
async def test_a_second_answer_is_not_taken_for_that_of_the_next_call(at_once):
    one, stale, two = told_json(b"1"), told_json(b"0"), told_json(b"2")
    calls, fetcher = [], Fetcher()
    server, address = await serve((one + stale if at_once else one, two), calls)
    assert await fetcher.get(address, "/", 2.0) == 1
    if not at_once:
        calls[0].write(stale)
        await asyncio.sleep(0.05)
    assert await fetcher.get(address, "/", 2.0) == 2
    fetcher.close()
    server.close()


@on_loop
async def test_json_that_nests_too_deeply_is_none():
    server, address = await serve([told_json(b"[" * 100_000)], [])
    with pytest.raises(ValueError, match="deep"):
        await Fetcher().get(address, "/", 2.0)
    server.close()


ODD = st.sampled_from(
    [
        None,
        True,
        False,
        0,
        -1,
        3,
        3.5,
        2.0,
        1e308,
        math.inf,
        -math.inf,
        math.nan,
        10**400,
        "",
        "x",
        "7",
        "up",
        "removed",
        [],
        {},
        [1],
        {"id": "h"},
        "10.0.0.1:6379",
        "10.0.0.1:66666",
        "[::1]:6379",
        "h:\u0663",
    ]
)
FIELDS = ["id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms"]
ENTRIES = st.builds(
    lambda name, state, odd: (
        {
            "id": name,
            "addr": "10.1.0.18:6379",
            "zone": "a",
            "kind": "m2",
            "cell": 3,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }
        | odd
    ),
    st.sampled_from(["a", "b", "c"]),
    st.sampled_from(["up", "draining", "removed"]),
    st.one_of(st.just({}), st.just({}), st.dictionaries(st.sampled_from(FIELDS), ODD, max_size=2)),
)
LISTS = st.builds(
    lambda version, full, servers, odd: {"version": version, "full": full, "servers": servers} | odd,
    st.integers(0, 99),
    st.booleans(),
    st.lists(st.one_of(ENTRIES, ENTRIES, ENTRIES, ODD), max_size=4),
    st.one_of(
        st.just({}),
        st.just({}),
        st.just({}),
        st.dictionaries(st.sampled_from(["version", "full", "servers", "epoch"]), ODD, max_size=1),
    ),
)


def number(value):
    return type(value) in (int, float) and 0 <= value <= sys.float_info.max


def whole(value):
    return number(value) and value == int(value)


def sound_place(place):
    host, colon, port = place.rpartition(":") if isinstance(place, str) else ("", "", "")
    return place in (None, "") or bool(host and port and set(port.encode()) <= DIGITS and int(port) < 65536)


def sound_entry(entry):
    return (
        isinstance(entry, dict)
        and isinstance(entry.get("id"), str)
        and entry["id"] != ""
        and isinstance(entry.get("zone", ""), str)
        and isinstance(entry.get("kind", ""), str)
        and entry.get("state") in ("up", "draining", "removed")
        and whole(entry.get("cell", 0))
        and number(entry.get("weight", 1.0))
        and sound_place(entry.get("addr"))
        and (entry.get("started_ms") is None or number(entry["started_ms"]))
    )


def slow_list(told):
    """Hosts and their places; None where the list cannot be used."""
    if not isinstance(told, dict) or not isinstance(told.get("servers"), list):
        return None
    if not whole(told.get("version")):
        return None
    if not isinstance(told.get("full"), bool) or not isinstance(told.get("epoch", ""), str):
        return None
    sound = [entry for entry in told["servers"] if sound_entry(entry)]
    if len(sound) < len(told["servers"]) and not (sound and told["full"]):
        return None
    return told["version"], {entry["id"]: (entry["state"], entry.get("addr") or None) for entry in sound}


def listed(told):
    try:
        read = read_list(told)
    except ValueError:
        return None
    words = {"up": "up", "leaving": "draining", "down": "removed"}
    places = {
        id: f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        for id, (host, port) in read.addresses.items()
    }
    hosts = read.endpoint_list.endpoints
    assert len({host.id for host in hosts}) == len(hosts)
    assert all(math.isfinite(host.weight) and math.isfinite(host.started_at) for host in hosts)
    return read.endpoint_list.version, {host.id: (words[host.state], places.get(host.id)) for host in hosts}


@given(LISTS | ODD)
@seeded
def test_lists_are_read_as_a_slow_reader_does(told):
    assert listed(json.loads(json.dumps(told))) == slow_list(told)


# Files that the processes of a gateway share, candidates, and datagrams


def taken(read, *args):
    """What a reader makes of it; None where it says that it is none."""
    try:
        return read(*args)
    except ValueError:
        return None


def slow_ban(entry):
    return (
        isinstance(entry, dict)
        and type(entry.get("out")) is bool
        and (type(entry.get("at")) in (int, float) and abs(entry["at"]) <= sys.float_info.max)
    )


@given(
    st.dictionaries(
        st.sampled_from(["h1", "h2", ""]),
        st.one_of(
            ODD,
            st.builds(
                lambda out, at, odd: {"out": out, "at": at} | odd,
                st.booleans(),
                st.floats(0, 2e9),
                st.one_of(st.just({}), st.dictionaries(st.sampled_from(["out", "at", "x"]), ODD, max_size=1)),
            ),
        ),
        max_size=2,
    )
    | ODD
)
@example({"h1": {"out": True, "at": 10**400}})
@seeded
def test_bans_are_read_as_a_slow_reader_does(told):
    sound = isinstance(told, dict) and all(map(slow_ban, told.values()))
    bans = sound and {
        host: api.EndpointOverride(host, entry["out"], float(entry["at"])) for host, entry in told.items()
    }
    assert taken(decode_overrides, json.dumps(told)) == (bans if sound else None)


def slow_history(told):
    """The numbers of its versions and the one that waits; None where it is no history."""
    if not isinstance(told, list) or len(told) != 3:
        return None
    if not isinstance(told[0], str) or not isinstance(told[2], list):
        return None
    numbers = []
    for entry in told[2]:
        if not isinstance(entry, list) or len(entry) != 6:
            return None
        number, digest, since, by, of, content = entry
        if type(number) is not int or type(since) not in (int, float) or abs(since) > sys.float_info.max:
            return None
        if by not in ("start", "signal", "call", "rollback", "expiry") or not isinstance(content, dict):
            return None
        if (
            digest != config_history.content_digest(json.dumps(content, sort_keys=True))
            or numbers
            and number <= numbers[-1]
        ):
            return None
        if of is not None and type(of) is not int:
            return None
        numbers.append(number)
    if not numbers:
        return None
    if told[1]:
        waits = told[1]
        if not isinstance(waits, dict) or set(waits) != {"number", "back", "until"}:
            return None
        if {type(waits[name]) for name in ("number", "back")} != {int} or waits["number"] != numbers[-1]:
            return None
        if (
            waits["back"] not in numbers
            or type(waits["until"]) not in (int, float)
            or (abs(waits["until"]) > sys.float_info.max)
        ):
            return None
    return numbers, told[1] and told[1]["until"]


@given(
    st.integers(1, 3),
    st.booleans(),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 5), ODD), max_size=1),
    st.lists(st.tuples(st.sampled_from(["number", "back", "until", "x"]), ODD), max_size=1),
    CHANGES,
    st.booleans(),
)
@seeded
def test_a_history_is_read_as_a_slow_reader_does(count, waits, odd, odd_waits, change, written):
    history = config_history.ConfigHistory("f", (config_history.make_version(1, 5.0, "start", {"a": 1}),))
    for number in range(1, count):
        history = history.add({"a": number}, 5.0 + number, "call", None if number % 2 else 1)
    if waits:
        history = replace(history, pending=config_history.PendingConfirmation(count, 1, 99.0))
    text = history.encode()
    if written:
        text = altered(text.encode(), change).decode("latin-1")
    else:
        told = json.loads(text)
        for at, part, value in odd:
            told[2][at % count][part] = value
        if waits:
            told[1].update(odd_waits)
        text = json.dumps(told)
    try:
        slow = slow_history(json.loads(text))
    except ValueError:
        slow = None
    read = taken(config_history.decode_history, text)
    assert slow == (read and ([v.number for v in read.versions], read.pending and read.pending.deadline))


@given(
    st.sampled_from(["limits", "settings", "discovery", "counter"]),
    ODD,
    st.sampled_from(["", "cores", "memory_mb", "sockets"]),
)
@example("limits", 10**400, "cores")
@example("limits", True, "cores")
@example("discovery", "h:\u0663", "")
@seeded
def test_no_odd_value_of_a_candidate_is_taken_or_breaks_the_call(name, odd, inner):
    base = configured([], 1, 2)
    tree = json.loads(json.dumps(base))
    if inner and name == "limits":
        tree[name][inner] = odd
    else:
        tree[name] = odd
    parsed, faults = candidate.parse(json.dumps(tree).encode())
    faults = faults or candidate.check(parsed, base)
    sound = inner and name == "limits" and number(odd) and odd > 0 and (inner != "sockets" or odd == int(odd))
    assert faults or sound or odd in ("10.0.0.1:6379", "[::1]:6379")


def slow_word(row):
    if not isinstance(row, list) or len(row) < 6 or len(row) > 7:
        return False
    name, host, port, incarnation, state, meta = row[:6]
    accusers = row[6] if len(row) > 6 else []
    return (
        isinstance(name, str)
        and 0 < len(name) <= 128
        and isinstance(host, str)
        and type(port) is int
        and 0 < port < 65536
        and type(incarnation) is int
        and 0 <= incarnation < 2**62
        and type(state) is int
        and 0 <= state <= 3
        and isinstance(meta, dict)
        and isinstance(accusers, list)
        and len(accusers) <= 4
        and all(isinstance(a, str) and len(a) <= 128 for a in accusers)
    )


def slow_datagram(told):
    if not isinstance(told, dict) or told.get("c") != "c" or type(told.get("s")) is not int:
        return False
    place = told.get("a", ["h", 1])
    return (
        told.get("k") in ("ping", "ack", "ask", "sync", "more")
        and isinstance(told.get("f"), str)
        and isinstance(place, list)
        and len(place) == 2
        and isinstance(place[0], str)
        and type(place[1]) is int
        and 0 < place[1] < 65536
        and isinstance(told.get("r"), list)
        and all(map(slow_word, told["r"]))
    )


ROWS = st.builds(
    lambda odd: [odd.get(n, part) for n, part in enumerate(["m1", "h", 7, 3, 0, {}, ["m2"]])],
    st.one_of(st.just({}), st.dictionaries(st.integers(0, 6), ODD, max_size=1)),
)


@given(
    st.builds(
        lambda rows, odd: {"c": "c", "k": "ping", "s": 1, "f": "m1", "r": rows} | odd,
        st.lists(ROWS | ODD, max_size=2),
        st.one_of(st.just({}), st.dictionaries(st.sampled_from("cksfra"), ODD, max_size=1)),
    )
    | ODD
)
@seeded
def test_datagrams_are_read_as_a_slow_reader_does(told):
    data = json.dumps(told).encode()
    assert (taken(read_datagram, "c", ("h", 1), data) is not None) == slow_datagram(json.loads(data))
