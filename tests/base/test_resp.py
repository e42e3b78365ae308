"""RESP2 values: whole and in pieces, and what they may announce."""

import hiredis
import pytest

from api_gateway.base.resp import CRLF, INCOMPLETE, MAX_ARRAY_PARTS, RespReader

STREAM = b"*2\r\n$4\r\n*9\r\n\r\n$-1\r\n:7\r\n+yes\r\n$0\r\n\r\n*-1\r\n*1\r\n*1\r\n$3\r\na\r\n\r\n"
VALUES = [[b"*9\r\n", None], 7, b"yes", b"", None, [[b"a\r\n"]]]


def drain(reader):
    values = []
    while (value := reader.gets()) is not INCOMPLETE:
        values.append(value)
    return values


@pytest.mark.parametrize("size", [1, 2, 3, 7, len(STREAM)])
def test_values_come_out_whole_however_they_are_cut(size):
    reader, values = RespReader(100), []
    for at in range(0, len(STREAM), size):
        reader.feed(STREAM[at : at + size])
        values += drain(reader)
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
@pytest.mark.parametrize("size", [1, 9000])
def test_what_stands_before_a_bad_head_still_comes_out(bad, size):
    reader, values = RespReader(100), []
    with pytest.raises(hiredis.ProtocolError):
        for at in range(0, len(bad) + 4, size):
            reader.feed((b":1\r\n" + bad)[at : at + size])
            while (value := reader.gets()) is not INCOMPLETE:
                values.append(value)
    assert values == [1]


ENDS = b"*3\r\n$4\r\nabcdef$-1\r\n$-1\r\n"


@pytest.mark.parametrize(
    "bad",
    [
        ENDS,
        b"$4\r\nabcd\r\r",
        b"$4\r\nabcd\n\n",
        b"$4\r\nabcde\r\n",
        b"$4\r\nabc\r\n\r\n",
        b"$0\r\n\r:",
        b"*1\r\n$70000\r\n" + b"x" * 70000 + b"\n\r",
        b"*2\r\n:1\r\n$4\r\nabcd\rx",
    ],
)
@pytest.mark.parametrize("size", [1, 2, 3, 7, 90000])
def test_a_string_with_another_end_than_its_own_is_no_value(bad, size):
    text, reader, values = b":1\r\n" + bad + b"\r\n:2\r\n", RespReader(80000), []
    with pytest.raises(hiredis.ProtocolError):
        for at in range(0, len(text), size):
            reader.feed(text[at : at + size])
            while (value := reader.gets()) is not INCOMPLETE:
                values.append(value)
    assert values == [1] and reader.has_data()


@pytest.mark.parametrize("head", [b"$+70000", b"$ 70000", b"$070000", b"$7_0000", b"$70000 ", b"$70000\n"])
def test_the_head_of_a_large_string_is_a_plain_number(head):
    reader = RespReader(100, (1, 0))
    reader.feed(b"*1\r\n" + head + b"\r\n")
    with pytest.raises(hiredis.ProtocolError):
        reader.gets()
    assert not reader.large_string_bytes


@pytest.mark.parametrize(
    "outer", [b"*1\r\n*1\r\n", b"*2\r\n*1\r\n:1\r\n", b"*3\r\n*-1\r\n", b"*2\r\n:1\r\n*1\r\n"]
)
def test_nothing_large_stands_in_an_array_within_another(outer):
    reader = RespReader(100, (3, 0))
    reader.feed(outer + b"*3\r\n$70000\r\n")
    with pytest.raises(hiredis.ProtocolError):
        reader.gets()
    assert not reader.large_string_bytes


def test_no_piece_of_a_large_string_looks_like_its_end():
    body, reader, pieces = b"\r\n" * 35000, RespReader(100, (1, 0)), []
    reader.feed(b"*1\r\n$70000\r\n")
    reader.pass_on(pieces.append)
    for text in (body[:2], body[2:-2], body[-2:]):
        reader.feed(text)
        assert CRLF not in pieces
    reader.feed(CRLF)
    assert b"".join(pieces) == body + CRLF and pieces[-1] == CRLF and reader.gets() == [b""]
