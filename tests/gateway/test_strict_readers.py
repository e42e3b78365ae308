"""Tests that the parsers of all inputs reject whatever the protocol does not allow.

Each parser is compared with a simple reference implementation of the protocol in this module, which reads the
whole input at once. Inputs are mutated by a byte, and streams are split at arbitrary positions.
"""

import asyncio
import json
import math
import sys
from dataclasses import replace

import hiredis
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from netkit import SETTINGS, Node, StubHost, command, gateway_config, on_loop, write_command

from api_gateway import interface as api
from api_gateway.base import resp
from api_gateway.base.endpoint_list import read_list
from api_gateway.base.resp import INCOMPLETE, RespReader
from api_gateway.control import config_candidate as candidate
from api_gateway.control import config_history
from api_gateway.control.host_overrides import decode_overrides
from api_gateway.counter_client import MAX_ANSWER_BYTES, Call, CounterConnection
from api_gateway.discovery.fetcher import BrokenConnectionError, FetchConnection, Fetcher
from api_gateway.gateway.request_parser import ANSWER_RESERVE_S, BadRequestError, parse_request
from api_gateway.membership.messages import decode_datagram
from api_gateway.settings_parser import read_settings
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.connection import read_reply
from api_gateway.upstream.load_report import parse_load_report

REPLY_WITHOUT_TERMINATOR = b"*3\r\n$4\r\nabcdef$-1\r\n$-1\r\n"  # no CRLF follows the value
DIGITS = set(b"0123456789")

seeded = settings(derandomize=True, deadline=None, database=None, max_examples=250)


class SplitReplyHost(StubHost):
    """Sends its reply in two parts."""

    split_at = 0

    async def answer_to(self, arguments):
        self.writers[-1].write(REPLY_WITHOUT_TERMINATOR[: self.split_at])
        await asyncio.sleep(0.01 if self.split_at else 0)
        return REPLY_WITHOUT_TERMINATOR[self.split_at :]


@pytest.mark.parametrize(
    "request_command", [command(), write_command(service_class=b"note")], ids=["read", "note"]
)
@pytest.mark.parametrize("split_at", [0, 9, 12, 13, 14, 15, 17, 22])
@on_loop
async def test_a_value_without_its_terminator_is_not_served(request_command, split_at, tmp_path):
    async with SplitReplyHost() as host, Node(host, path=tmp_path) as node:
        host.split_at = split_at
        answer = await node.send_command(request_command)
        assert answer.startswith(b"-") and host.commands, answer


class TruncatingHost(StubHost):
    """Closes the connection within a large value, right after a piece that looks like its terminator."""

    async def answer_to(self, arguments):
        writer = self.writers[-1]
        for piece in (b"*3\r\n$70000\r\n" + b"v" * 100, b"\r\n"):
            writer.write(piece)
            await asyncio.sleep(0.05)
        return b""


@on_loop
async def test_a_truncated_large_value_is_not_complete(tmp_path):
    async with TruncatingHost() as host, Node(host, path=tmp_path) as node:
        events, dispatch = [], node.node.dispatcher.dispatch
        node.node.dispatcher.dispatch = lambda event: (events.append(event), dispatch(event))
        reader, writer = await node.connect()
        writer.write(command())
        assert await reader.read() == b"$70000\r\n" + b"v" * 100 + b"\r\n"  # then the connection closes
        assert [event.result for event in events if isinstance(event, api.AttemptEnded)] == ["reset"]


def split_stream(stream, cuts):
    offsets = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    return [stream[start:end] for start, end in zip(offsets, offsets[1:], strict=False)]


def split_into_bytes(stream):
    """Return the first 300 bytes one by one, and the rest."""
    return [stream[offset : offset + 1] for offset in range(300)] + [stream[300:]]


def mutate(stream, change):
    """Insert, remove or replace one byte, or change nothing."""
    kind, offset, byte = change
    offset %= len(stream) + 1
    return (
        stream[:offset]
        + {"more": byte, "less": b"", "other": byte, "none": stream[offset : offset + 1]}[kind]
        + (stream[offset if kind == "more" else offset + 1 :])
    )


BYTES = st.sampled_from([bytes([byte]) for byte in b"\r\n$*:+-?0123456789 ax_.e\x00\xff"])
CHANGES = st.tuples(st.sampled_from(["more", "less", "other", "other", "none"]), st.integers(0, 2000), BYTES)
CUTS = st.lists(st.integers(0, 2000), max_size=6)


# RESP2

# Smaller than in resp.py, whose limits would make the tests slow.
MAX_STRING_BYTES, THRESHOLD_BYTES, MAX_LARGE_STRING_BYTES = 700, 600, 900


class MalformedStreamError(Exception):
    """The stream does not follow the protocol."""


class IncompleteStreamError(Exception):
    """The stream ends within a value."""


class ReferenceReader:
    """Reads all values of a RESP stream at once.

    Attributes:
        values: The complete values.
        large_data: The bytes of large strings, which are passed on and replaced by empty strings.
        complete_count: Number of complete large strings.
        is_malformed: Whether the stream does not follow the protocol after these values.
    """

    def __init__(self, stream, large):
        self.stream, self.offset, self.large, self.is_nested = stream, 0, large, False
        self.values, self.large_data, self.complete_count, self.is_malformed = [], b"", 0, False
        try:
            while True:
                self.values.append(self.value(None))
        except MalformedStreamError:
            self.is_malformed = True
        except IncompleteStreamError:
            pass

    def value(self, position):
        end = self.stream.find(b"\r\n", self.offset)
        line = self.stream[self.offset : end if end >= 0 else None]
        if len(line) > resp.MAX_LINE_BYTES + (end < 0):
            raise MalformedStreamError
        if end < 0:
            raise IncompleteStreamError
        self.offset = end + 2
        kind, text = line[:1], line[1:]
        if kind in (b"+", b"-"):
            if b"\r" in text or b"\n" in text:
                raise MalformedStreamError
            return ("error", text.decode("utf-8", "replace")) if kind == b"-" else text
        if kind == b":":
            return self.number(text, -(2**63), 2**63 - 1)
        if kind == b"$":
            may_be_large = position == self.large and not self.is_nested
            return self.string(
                self.number(text, -1, MAX_LARGE_STRING_BYTES if may_be_large else MAX_STRING_BYTES),
                may_be_large,
            )
        if kind == b"*":
            count = self.number(text, -1, resp.MAX_ARRAY_PARTS)
            # No string after a nested array can be large, even if that array is empty.
            self.is_nested = position is not None
            positions = [(count, n) if position is None else (-1, -1) for n in range(count)]
            return None if count < 0 else [self.value(part_position) for part_position in positions]
        raise MalformedStreamError

    def number(self, text, minimum, maximum):
        digits = text.removeprefix(b"-")
        is_plain = digits and set(digits) <= DIGITS and (digits[:1] != b"0" or text == b"0")
        if not is_plain or not minimum <= int(text) <= maximum:
            raise MalformedStreamError
        return int(text)

    def string(self, length, may_be_large):
        if length < 0:
            return None
        text, end = (
            self.stream[self.offset : self.offset + length],
            self.stream[self.offset + length : self.offset + length + 2],
        )
        is_large = may_be_large and length > THRESHOLD_BYTES
        self.large_data += text if is_large else b""
        if not b"\r\n".startswith(end):
            raise MalformedStreamError
        if len(end) < 2:
            raise IncompleteStreamError
        self.large_data, self.complete_count = (
            self.large_data + (end if is_large else b""),
            self.complete_count + is_large,
        )
        self.offset += length + 2
        return b"" if is_large else text


def read_pieces(pieces, large):
    """Read the pieces with `RespReader`; return the values, the large string data and `is_malformed`."""
    reader, values, large_data = RespReader(MAX_STRING_BYTES, large), [], []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(resp, "STREAMING_THRESHOLD_BYTES", THRESHOLD_BYTES)
        patch.setattr(resp, "MAX_VALUE_BYTES", MAX_LARGE_STRING_BYTES)
        return values, large_data, feed(reader, pieces, values, large_data)


def feed(reader, pieces, values, large_data):
    """Feed the pieces to the reader and return whether the stream is malformed."""
    try:
        for piece in pieces:
            reader.feed(piece)
            while True:
                while (value := reader.gets()) is not INCOMPLETE:
                    values.append(value)
                if not reader.large_string_bytes:
                    break
                reader.pass_on(large_data.append)
    except hiredis.ProtocolError:
        return True
    return False


def normalize(value):
    if isinstance(value, list):
        return [normalize(part) for part in value]
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
        REPLY_WITHOUT_TERMINATOR,
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
def test_resp_streams_are_parsed_like_the_reference_for_any_split(stream, change, cuts, large):
    stream = mutate(stream, change)
    reference = ReferenceReader(stream, large)
    for pieces in ([stream], split_stream(stream, cuts), split_into_bytes(stream)):
        values, large_data, is_malformed = read_pieces(pieces, large)
        assert (normalize(values), b"".join(large_data), is_malformed) == (
            reference.values,
            reference.large_data,
            reference.is_malformed,
        )
        # The CRLF at the end of a large string is passed on as a piece, by which its end is recognized.
        assert large_data.count(b"\r\n") == reference.complete_count


@given(ANSWERS | ARRAYS, CHANGES)
@seeded
def test_only_an_array_of_value_usage_and_load_report_is_a_reply(stream, change):
    values, _, _ = read_pieces([mutate(stream, change)], (0, -1))
    for value in values:
        attempt = Attempt("h", b"", lambda _: None)
        is_valid = (
            isinstance(value, list)
            and len(value) == 3
            and isinstance(value[0], bytes)
            and not isinstance(value[1], hiredis.ReplyError)
            and not isinstance(value[2], hiredis.ReplyError | list)
        )
        assert (read_reply(attempt, value) == "ok") == is_valid
        assert attempt.value == (value[0] if is_valid else b"")


# Fields of commands and replies


def reference_number(text):
    """Return a number without sign, or None if the text is not one."""
    return None if text[:1] in ("+", "-") or not text.isascii() else reference_total(text.encode())


def reference_count(text):
    return int(text) if text and set(text.encode()) <= DIGITS else None


def reference_request(customer, id, verb, text):
    """Return the values of a command, or None if a client may not send it."""
    fields = {}
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not equals or name in fields:
            return None
        fields[name] = value
    if len(customer) != 16 or set(customer) - set("0123456789abcdefABCDEF") or not id:
        return None
    deadline_ms, units = reference_count(fields.get("d", "")), reference_number(fields.get("units", ""))
    first, spread = reference_count(fields.get("first", "")), reference_count(fields.get("spread", ""))
    if None in (deadline_ms, units, first, spread) or int(customer, 16) >= 2**33 or deadline_ms > 3_600_000:
        return None
    if fields.get("c") not in ("read", "write", "note") or fields.get("t") not in ("p", "small"):
        return None
    if (verb == "API.WRITE") != (fields["c"] != "read") or fields["c"] == "write" and not fields.get("k"):
        return None
    if (
        not 0 < units <= PARSED_SETTINGS.max_request_units
        or not 1 <= spread <= PARSED_SETTINGS.gateway_count
        or not 0 <= first < PARSED_SETTINGS.gateway_count
    ):
        return None
    return fields["c"], fields["t"], deadline_ms, units, first, spread, fields.get("r") == "1"


PARSED_SETTINGS = read_settings(SETTINGS)
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
FIELD_PAIRS = st.one_of(
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
DEFAULT_FIELDS = [("c", "read"), ("t", "p"), ("d", "480"), ("units", "1"), ("spread", "1"), ("first", "0")]


@given(
    CUSTOMERS,
    st.sampled_from(["API.READ", "API.WRITE"]),
    st.lists(FIELD_PAIRS, max_size=3),
    st.booleans(),
    CHANGES,
)
@seeded
def test_commands_are_parsed_like_the_reference(customer, verb, pairs, are_appended, change):
    """Duplicate fields and unusual numbers must be rejected, because hosts receive the fields unchanged."""
    overrides = dict(pairs)
    fields = (
        [*DEFAULT_FIELDS, *pairs]
        if are_appended
        else [*((name, overrides.pop(name, value)) for name, value in DEFAULT_FIELDS), *overrides.items()]
    )
    text = mutate(",".join(f"{name}={value}" for name, value in fields).encode(), change)
    try:
        expected = reference_request(customer, "r1", verb, text.decode())
    except UnicodeDecodeError:
        return
    arguments = [verb.encode(), customer.encode(), b"r1", text, *([b"BODY"] if verb == "API.WRITE" else [])]
    try:
        request = parse_request(arguments, PARSED_SETTINGS, 0.0)
    except BadRequestError:
        assert expected is None
        return
    assert expected == (
        request.service_class,
        request.plan,
        round(1000 * (request.time_left + ANSWER_RESERVE_S)),
        request.units,
        request.first_gateway,
        request.gateway_spread,
        request.is_retry,
    )


NAMES = {"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency"}


def reference_load_report(text):
    """Return the known fields that have a value, or no field if the report is invalid."""
    report, names = {}, []
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not equals or name in names:
            return {}
        number = reference_number(value) if value else 0.0
        if name in NAMES and number is None:
            return {}
        names.append(name)
        if name in NAMES and value:
            report[NAMES[name]] = number / 1000 if name == "avg_ms" else number
    return report


@given(st.lists(st.tuples(st.sampled_from([*NAMES, "odd"]), NUMBERS), max_size=4), CHANGES)
@seeded
def test_load_reports_are_parsed_like_the_reference(pairs, change):
    text = mutate(",".join(f"{name}={value}" for name, value in pairs).encode(), change)
    assert parse_load_report(text) == reference_load_report(text.decode("utf-8", "replace"))


# The counter


def reference_total(text):
    """Return a number in plain decimal or exponent notation, or None if the text is not one."""
    mantissa, *exponent = text.replace(b"E", b"e").split(b"e")
    integer, *fraction = mantissa[mantissa[:1] in (b"+", b"-") :].split(b".")
    digits = integer + b"".join(fraction)
    power = exponent[0][exponent[0][:1] in (b"+", b"-") :] if exponent else b"0"
    if len(exponent) > 1 or len(fraction) > 1 or not digits or not power:
        return None
    total = float(text) if set(digits + power) <= DIGITS else math.inf
    return total if math.isfinite(total) else None


def reference_counter_results(stream, calls):
    """Return the results of the calls, and whether the stream is malformed."""
    results = []
    while (end := stream.find(b"\n")) >= 0:
        line, stream = stream[:end], stream[end + 1 :]
        text = line.removesuffix(b"\r")
        if len(line) > MAX_ANSWER_BYTES or text == line or not calls:
            return results, True
        name, *calls = calls
        if text == b"pong" and name < 0:
            results.append((name, "ok", 0.0))
        elif name >= 0 and text.startswith(b"ok ") and (total := reference_total(text[3:])) is not None:
            results.append((name, "ok", total))
        elif name >= 0 and (text == b"busy" or text == b"error" or text.startswith(b"error ")):
            results.append((name, "full", 0.0))
        else:
            return results, True
    return results, len(stream) > MAX_ANSWER_BYTES


class MalformedAnswerError(Exception):
    pass


class RaisingCounterConnection(CounterConnection):
    def abort_after_malformed_answer(self):
        raise MalformedAnswerError


def read_counter_answers(pieces, calls):
    connection, results = RaisingCounterConnection(("127.0.0.1", 1)), []
    for name in calls:
        connection.unanswered_calls.append(Call(name, b"", lambda *result: results.append(result[:3])))
    try:
        for piece in pieces:
            connection.data_received(piece)
    except MalformedAnswerError:
        return results, True
    return results, False


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
ANSWER_LINES = st.one_of(
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
COUNTER_STREAMS = st.lists(
    st.tuples(ANSWER_LINES, st.sampled_from([b"\r\n"] * 9 + [b"\n"])).map(b"".join), max_size=4
).map(b"".join)


@given(COUNTER_STREAMS, CHANGES, CUTS, st.lists(st.sampled_from([-1, 1, 2, 3, 4, 5]), max_size=5))
@seeded
def test_counter_answers_are_parsed_like_the_reference_for_any_split(stream, change, cuts, calls):
    stream = mutate(stream, change)
    for pieces in ([stream], split_stream(stream, cuts), split_into_bytes(stream)):
        assert read_counter_answers(pieces, calls) == reference_counter_results(stream, calls)


# Discovery


def reference_chunked_body(body):
    """Return the content of a complete chunked body, or None if it is incomplete or malformed."""
    content = b""
    while True:
        header, end, rest = body.partition(b"\r\n")
        if b"\n" in header:  # h11 ends a header line at LF and then rejects it
            return None
        size = header.split(b";")[0].rstrip(b" \t") if b";" not in header else header.split(b";")[0]
        if not end or not 0 < len(size) <= 20 or not set(size) <= set(b"0123456789abcdefABCDEF"):
            return None
        length = int(size, 16)
        if not length:
            return content if rest.startswith((b"\r\n", b"\n")) else None  # HTTP permits accepting a bare LF
        if rest[length : length + 2] != b"\r\n":
            return None
        content, body = content + rest[:length], rest[length + 2 :]


class StubStream:
    """A stream reader that returns the given pieces, and a writer that discards everything."""

    def __init__(self, pieces):
        self.pieces = [piece for piece in pieces if piece]

    async def read(self, size):
        return self.pieces.pop(0) if self.pieces else b""

    def write(self, data):
        pass

    def at_eof(self):
        return not self.pieces


def fetch(pieces):
    stream = StubStream(pieces)
    connection = FetchConnection(("127.0.0.1", 1), stream, stream)
    try:
        return asyncio.run(connection.get("/"))
    except BrokenConnectionError:
        return None


BODIES = st.lists(
    st.sampled_from([b'{"version":', b"1}", b"\r\n", b"0\r\n\r\n", b"5", b"x" * 30]), max_size=4
)


@given(BODIES, CHANGES, CUTS, st.booleans(), st.integers(0, 40))
@settings(seeded, max_examples=150)
def test_an_incomplete_body_is_rejected_for_any_split(parts, change, cuts, is_chunked, missing_count):
    if is_chunked:
        original = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        header, body = b"Transfer-Encoding: chunked", mutate(original, change)
        body = body[: len(body) - missing_count] if missing_count < 10 else body
        expected = reference_chunked_body(body)
    else:
        original = b"".join(parts)
        header, body = b"Content-Length: %d" % len(original), mutate(original, change)
        body = body[: max(0, len(body) - missing_count)] if missing_count < 10 else body
        expected = body[: len(original)] if len(body) >= len(original) else None
    stream = b"HTTP/1.1 200 OK\r\n" + header + b"\r\n\r\n" + body
    for pieces in ([stream], split_stream(stream, cuts), split_into_bytes(stream)):
        fetched = fetch(pieces)
        assert fetched == expected or fetched is None and b"\n" in body.replace(b"\r\n", b"")


async def start_server(responses, calls):
    """Start a server that answers the first call with one response and later calls with another."""

    async def answer(reader, writer):
        calls.append(writer)
        response = responses[0] if len(calls) == 1 else responses[1]
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()


def json_response(text):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)


@pytest.mark.parametrize("is_immediate", [True, False])
@on_loop
async def test_a_surplus_response_is_not_used_for_the_next_call(is_immediate):
    one, stale, two = json_response(b"1"), json_response(b"0"), json_response(b"2")
    calls, fetcher = [], Fetcher()
    server, address = await start_server((one + stale if is_immediate else one, two), calls)
    assert await fetcher.get(address, "/", 2.0) == 1
    if not is_immediate:
        calls[0].write(stale)
        await asyncio.sleep(0.05)
    assert await fetcher.get(address, "/", 2.0) == 2
    fetcher.close()
    server.close()


@on_loop
async def test_json_that_is_nested_too_deeply_is_rejected():
    server, address = await start_server([json_response(b"[" * 100_000)], [])
    with pytest.raises(ValueError, match="deep"):
        await Fetcher().get(address, "/", 2.0)
    server.close()


ODD_VALUES = st.sampled_from(
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
    st.one_of(st.just({}), st.just({}), st.dictionaries(st.sampled_from(FIELDS), ODD_VALUES, max_size=2)),
)
LISTS = st.builds(
    lambda version, full, servers, odd: {"version": version, "full": full, "servers": servers} | odd,
    st.integers(0, 99),
    st.booleans(),
    st.lists(st.one_of(ENTRIES, ENTRIES, ENTRIES, ODD_VALUES), max_size=4),
    st.one_of(
        st.just({}),
        st.just({}),
        st.just({}),
        st.dictionaries(st.sampled_from(["version", "full", "servers", "epoch"]), ODD_VALUES, max_size=1),
    ),
)


def is_valid_number(value):
    return type(value) in (int, float) and 0 <= value <= sys.float_info.max


def is_whole_number(value):
    return is_valid_number(value) and value == int(value)


def is_valid_address(address):
    host, colon, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
    return address in (None, "") or bool(host and port and set(port.encode()) <= DIGITS and int(port) < 65536)


def is_valid_entry(entry):
    return (
        isinstance(entry, dict)
        and isinstance(entry.get("id"), str)
        and entry["id"] != ""
        and isinstance(entry.get("zone", ""), str)
        and isinstance(entry.get("kind", ""), str)
        and entry.get("state") in ("up", "draining", "removed")
        and is_whole_number(entry.get("cell", 0))
        and is_valid_number(entry.get("weight", 1.0))
        and is_valid_address(entry.get("addr"))
        and (entry.get("started_ms") is None or is_valid_number(entry["started_ms"]))
    )


def reference_endpoint_list(document):
    """Return the version, and the state and address of each host, or None if the list is invalid."""
    if not isinstance(document, dict) or not isinstance(document.get("servers"), list):
        return None
    if not is_whole_number(document.get("version")):
        return None
    if not isinstance(document.get("full"), bool) or not isinstance(document.get("epoch", ""), str):
        return None
    valid = [entry for entry in document["servers"] if is_valid_entry(entry)]
    if len(valid) < len(document["servers"]) and not (valid and document["full"]):
        return None
    return document["version"], {entry["id"]: (entry["state"], entry.get("addr") or None) for entry in valid}


def read_endpoint_list(document):
    try:
        listing = read_list(document)
    except ValueError:
        return None
    wire_states = {"up": "up", "leaving": "draining", "down": "removed"}
    addresses = {
        id: f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        for id, (host, port) in listing.addresses.items()
    }
    hosts = listing.endpoint_list.endpoints
    assert len({host.id for host in hosts}) == len(hosts)
    assert all(math.isfinite(host.weight) and math.isfinite(host.started_at) for host in hosts)
    return listing.endpoint_list.version, {
        host.id: (wire_states[host.state], addresses.get(host.id)) for host in hosts
    }


@given(LISTS | ODD_VALUES)
@seeded
def test_endpoint_lists_are_parsed_like_the_reference(document):
    assert read_endpoint_list(json.loads(json.dumps(document))) == reference_endpoint_list(document)


# Shared files, candidate configurations and datagrams


def parse_or_none(parse, *args):
    """Return the parsed value, or None if the parser raises ValueError."""
    try:
        return parse(*args)
    except ValueError:
        return None


def is_valid_override(entry):
    return (
        isinstance(entry, dict)
        and type(entry.get("out")) is bool
        and (type(entry.get("at")) in (int, float) and abs(entry["at"]) <= sys.float_info.max)
    )


@given(
    st.dictionaries(
        st.sampled_from(["h1", "h2", ""]),
        st.one_of(
            ODD_VALUES,
            st.builds(
                lambda out, at, odd: {"out": out, "at": at} | odd,
                st.booleans(),
                st.floats(0, 2e9),
                st.one_of(
                    st.just({}), st.dictionaries(st.sampled_from(["out", "at", "x"]), ODD_VALUES, max_size=1)
                ),
            ),
        ),
        max_size=2,
    )
    | ODD_VALUES
)
@example({"h1": {"out": True, "at": 10**400}})
@seeded
def test_overrides_are_parsed_like_the_reference(document):
    is_valid = isinstance(document, dict) and all(map(is_valid_override, document.values()))
    overrides = is_valid and {
        host: api.EndpointOverride(host, entry["out"], float(entry["at"])) for host, entry in document.items()
    }
    assert parse_or_none(decode_overrides, json.dumps(document)) == (overrides if is_valid else None)


def reference_history(document):
    """Return the version numbers and the deadline of the pending confirmation, or None if it is invalid."""
    if not isinstance(document, list) or len(document) != 3:
        return None
    if not isinstance(document[0], str) or not isinstance(document[2], list):
        return None
    numbers = []
    for entry in document[2]:
        if not isinstance(entry, list) or len(entry) != 6:
            return None
        number, digest, created_at, origin, restored, content = entry
        if (
            type(number) is not int
            or type(created_at) not in (int, float)
            or abs(created_at) > sys.float_info.max
        ):
            return None
        if origin not in ("start", "signal", "call", "rollback", "expiry") or not isinstance(content, dict):
            return None
        if (
            digest != config_history.content_digest(json.dumps(content, sort_keys=True))
            or numbers
            and number <= numbers[-1]
        ):
            return None
        if restored is not None and type(restored) is not int:
            return None
        numbers.append(number)
    if not numbers:
        return None
    if document[1]:
        pending = document[1]
        if not isinstance(pending, dict) or set(pending) != {"number", "back", "until"}:
            return None
        if {type(pending[name]) for name in ("number", "back")} != {int} or pending["number"] != numbers[-1]:
            return None
        if (
            pending["back"] not in numbers
            or type(pending["until"]) not in (int, float)
            or (abs(pending["until"]) > sys.float_info.max)
        ):
            return None
    return numbers, document[1] and document[1]["until"]


@given(
    st.integers(1, 3),
    st.booleans(),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 5), ODD_VALUES), max_size=1),
    st.lists(st.tuples(st.sampled_from(["number", "back", "until", "x"]), ODD_VALUES), max_size=1),
    CHANGES,
    st.booleans(),
)
@seeded
def test_histories_are_parsed_like_the_reference(
    count, has_pending, odd_values, odd_pending_values, change, is_text_mutated
):
    history = config_history.ConfigHistory("f", (config_history.make_version(1, 5.0, "start", {"a": 1}),))
    for number in range(1, count):
        history = history.add({"a": number}, 5.0 + number, "call", None if number % 2 else 1)
    if has_pending:
        history = replace(history, pending=config_history.PendingConfirmation(count, 1, 99.0))
    text = history.encode()
    if is_text_mutated:
        text = mutate(text.encode(), change).decode("latin-1")
    else:
        document = json.loads(text)
        for index, part, value in odd_values:
            document[2][index % count][part] = value
        if has_pending:
            document[1].update(odd_pending_values)
        text = json.dumps(document)
    try:
        expected = reference_history(json.loads(text))
    except ValueError:
        expected = None
    decoded = parse_or_none(config_history.decode_history, text)
    assert expected == (
        decoded
        and ([version.number for version in decoded.versions], decoded.pending and decoded.pending.deadline)
    )


@given(
    st.sampled_from(["limits", "settings", "discovery", "counter"]),
    ODD_VALUES,
    st.sampled_from(["", "cores", "memory_mb", "sockets"]),
)
@example("limits", 10**400, "cores")
@example("limits", True, "cores")
@example("discovery", "h:\u0663", "")
@seeded
def test_invalid_values_of_a_candidate_are_rejected_without_an_exception(name, odd, inner_name):
    base = gateway_config([], 1, 2)
    document = json.loads(json.dumps(base))
    if inner_name and name == "limits":
        document[name][inner_name] = odd
    else:
        document[name] = odd
    parsed, faults = candidate.parse(json.dumps(document).encode())
    faults = faults or candidate.check(parsed, base)
    is_valid = (
        inner_name
        and name == "limits"
        and is_valid_number(odd)
        and odd > 0
        and (inner_name != "sockets" or odd == int(odd))
    )
    assert faults or is_valid or odd in ("10.0.0.1:6379", "[::1]:6379")


def is_valid_record(row):
    if not isinstance(row, list) or len(row) < 6 or len(row) > 7:
        return False
    name, host, port, incarnation, state, metadata = row[:6]
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
        and isinstance(metadata, dict)
        and isinstance(accusers, list)
        and len(accusers) <= 4
        and all(isinstance(accuser, str) and len(accuser) <= 128 for accuser in accusers)
    )


def is_valid_datagram(message):
    if not isinstance(message, dict) or message.get("c") != "c" or type(message.get("s")) is not int:
        return False
    address = message.get("a", ["h", 1])
    return (
        message.get("k") in ("ping", "ack", "ask", "sync", "more")
        and isinstance(message.get("f"), str)
        and isinstance(address, list)
        and len(address) == 2
        and isinstance(address[0], str)
        and type(address[1]) is int
        and 0 < address[1] < 65536
        and isinstance(message.get("r"), list)
        and all(map(is_valid_record, message["r"]))
    )


ROWS = st.builds(
    lambda odd: [odd.get(n, part) for n, part in enumerate(["m1", "h", 7, 3, 0, {}, ["m2"]])],
    st.one_of(st.just({}), st.dictionaries(st.integers(0, 6), ODD_VALUES, max_size=1)),
)


@given(
    st.builds(
        lambda rows, odd: {"c": "c", "k": "ping", "s": 1, "f": "m1", "r": rows} | odd,
        st.lists(ROWS | ODD_VALUES, max_size=2),
        st.one_of(st.just({}), st.dictionaries(st.sampled_from("cksfra"), ODD_VALUES, max_size=1)),
    )
    | ODD_VALUES
)
@seeded
def test_datagrams_are_validated_like_the_reference(message):
    data = json.dumps(message).encode()
    assert (parse_or_none(decode_datagram, "c", ("h", 1), data) is not None) == is_valid_datagram(
        json.loads(data)
    )
