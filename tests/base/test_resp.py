"""Tests of the RESP2 reader: chunked input, malformed input and limits on header values."""

import hiredis
import pytest

from api_gateway.base.resp import CRLF, INCOMPLETE, MAX_ARRAY_PARTS, RespReader

STREAM = b"*2\r\n$4\r\n*9\r\n\r\n$-1\r\n:7\r\n+yes\r\n$0\r\n\r\n*-1\r\n*1\r\n*1\r\n$3\r\na\r\n\r\n"
VALUES = [[b"*9\r\n", None], 7, b"yes", b"", None, [[b"a\r\n"]]]


def read_available(reader):
    values = []
    while (value := reader.gets()) is not INCOMPLETE:
        values.append(value)
    return values


@pytest.mark.parametrize("chunk_size", [1, 2, 3, 7, len(STREAM)])
def test_values_are_complete_for_any_chunk_size(chunk_size):
    reader, values = RespReader(100), []
    for offset in range(0, len(STREAM), chunk_size):
        reader.feed(STREAM[offset : offset + chunk_size])
        values += read_available(reader)
    assert values == VALUES
    assert not reader.has_data()


@pytest.mark.parametrize(
    "bad",
    [
        b"*%d\r\n" % (MAX_ARRAY_PARTS + 1),
        b"*1\r\n*1000000000\r\n",
        b"$101\r\n",
        b"?\r\n",
        b"~1000000000\r\n",
        b"$x\r\n",
        b"+" + b"x" * 9000,
    ],
)
@pytest.mark.parametrize("chunk_size", [1, 9000])
def test_values_before_a_malformed_header_are_returned(bad, chunk_size):
    reader, values = RespReader(100), []
    with pytest.raises(hiredis.ProtocolError):
        for offset in range(0, len(bad) + 4, chunk_size):
            reader.feed((b":1\r\n" + bad)[offset : offset + chunk_size])
            while (value := reader.gets()) is not INCOMPLETE:
                values.append(value)
    assert values == [1]


BAD_TERMINATORS = b"*3\r\n$4\r\nabcdef$-1\r\n$-1\r\n"


@pytest.mark.parametrize(
    "bad",
    [
        BAD_TERMINATORS,
        b"$4\r\nabcd\r\r",
        b"$4\r\nabcd\n\n",
        b"$4\r\nabcde\r\n",
        b"$4\r\nabc\r\n\r\n",
        b"$0\r\n\r:",
        b"*1\r\n$70000\r\n" + b"x" * 70000 + b"\n\r",
        b"*2\r\n:1\r\n$4\r\nabcd\rx",
    ],
)
@pytest.mark.parametrize("chunk_size", [1, 2, 3, 7, 90000])
def test_string_with_a_wrong_terminator_is_rejected(bad, chunk_size):
    text, reader, values = b":1\r\n" + bad + b"\r\n:2\r\n", RespReader(80000), []
    with pytest.raises(hiredis.ProtocolError):
        for offset in range(0, len(text), chunk_size):
            reader.feed(text[offset : offset + chunk_size])
            while (value := reader.gets()) is not INCOMPLETE:
                values.append(value)
    assert values == [1] and reader.has_data()


@pytest.mark.parametrize("header", [b"$+70000", b"$ 70000", b"$070000", b"$7_0000", b"$70000 ", b"$70000\n"])
def test_length_of_a_large_string_must_be_a_plain_number(header):
    reader = RespReader(100, (1, 0))
    reader.feed(b"*1\r\n" + header + b"\r\n")
    with pytest.raises(hiredis.ProtocolError):
        reader.gets()
    assert not reader.large_string_bytes


@pytest.mark.parametrize(
    "outer", [b"*1\r\n*1\r\n", b"*2\r\n*1\r\n:1\r\n", b"*3\r\n*-1\r\n", b"*2\r\n:1\r\n*1\r\n"]
)
def test_nested_array_may_not_contain_a_large_string(outer):
    reader = RespReader(100, (3, 0))
    reader.feed(outer + b"*3\r\n$70000\r\n")
    with pytest.raises(hiredis.ProtocolError):
        reader.gets()
    assert not reader.large_string_bytes


def test_no_chunk_of_a_large_string_equals_its_terminator():
    body, reader, chunks = b"\r\n" * 35000, RespReader(100, (1, 0)), []
    reader.feed(b"*1\r\n$70000\r\n")
    reader.pass_on(chunks.append)
    for text in (body[:2], body[2:-2], body[-2:]):
        reader.feed(text)
        assert CRLF not in chunks
    reader.feed(CRLF)
    assert b"".join(chunks) == body + CRLF and chunks[-1] == CRLF and reader.gets() == [b""]


# Guards against a parser that is replaced after a long element, when the rest of its array has not begun.
@pytest.mark.parametrize("size", [100, 8192, 20_000, 60_000])
@pytest.mark.parametrize("nested", [False, True])
def test_an_incomplete_array_survives_the_release_of_a_grown_buffer(size, nested):
    reader = RespReader(100_000)
    text = b"$%d\r\n%s\r\n" % (size, b"x" * size)
    first = b"*3\r\n" + (b"*1\r\n" if nested else b"") + text
    for start in range(0, len(first), 4096):
        reader.feed(first[start : start + 4096])
        assert reader.gets() is INCOMPLETE
        reader.release_buffer()
        assert reader.has_begun_value()
    reader.feed(b"$1\r\na\r\n")
    assert reader.gets() is INCOMPLETE and reader.has_begun_value()
    reader.feed(b"$1\r\nb\r\n")
    long_part = b"x" * size
    assert reader.gets() == [[long_part] if nested else long_part, b"a", b"b"]
    assert not reader.has_begun_value()


# Guards against idle connections that each keep the buffer of the longest command that they have read.
@pytest.mark.parametrize("size", [2_000, 12_000, 60_000])
def test_a_parser_that_has_grown_is_replaced_once_it_is_empty(size):
    reader = RespReader(100_000)
    grown = reader.reader
    text = b"*1\r\n$%d\r\n%s\r\n" % (size, b"x" * size)
    for start in range(0, len(text), 4096):
        reader.feed(text[start : start + 4096])
    assert reader.gets() == [b"x" * size]
    reader.release_buffer()
    assert reader.reader is not grown
