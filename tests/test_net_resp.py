"""RESP2 values: whole and in pieces, and what they may announce."""

import hiredis
import pytest

from calicomast.net.resp import MOST_PARTS, NO_REPLY, Reader

STREAM = b"*2\r\n$4\r\n*9\r\n\r\n$-1\r\n:7\r\n+yes\r\n$0\r\n\r\n*-1\r\n*1\r\n*1\r\n$3\r\na\r\n\r\n"
VALUES = [[b"*9\r\n", None], 7, b"yes", b"", None, [[b"a\r\n"]]]


def drain(reader):
    values = []
    while (value := reader.gets()) is not NO_REPLY:
        values.append(value)
    return values


@pytest.mark.parametrize("size", [1, 2, 3, 7, len(STREAM)])
def test_values_come_out_whole_however_they_are_cut(size):
    reader, values = Reader(100), []
    for at in range(0, len(STREAM), size):
        reader.feed(STREAM[at:at + size])
        values += drain(reader)
    assert values == VALUES
    assert not reader.has_data()


@pytest.mark.parametrize("bad", [b"*%d\r\n" % (MOST_PARTS + 1), b"*1\r\n*1000000000\r\n", b"$101\r\n",
                                 b"?\r\n", b"~1000000000\r\n", b"$x\r\n", b"+" + b"x" * 9000])
@pytest.mark.parametrize("size", [1, 9000])
def test_what_stands_before_a_bad_head_still_comes_out(bad, size):
    reader, values = Reader(100), []
    with pytest.raises(hiredis.ProtocolError):
        for at in range(0, len(bad) + 4, size):
            reader.feed((b":1\r\n" + bad)[at:at + size])
            while (value := reader.gets()) is not NO_REPLY:
                values.append(value)
    assert values == [1]
