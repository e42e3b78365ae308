"""Tests that a list read entry by entry gives the same result as one read at once, in bounded memory."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from api_gateway.base import entry_stream
from api_gateway.base.entry_stream import EntryStream

WORDS = st.text(max_size=8)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | WORDS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(WORDS, inner, max_size=3),
    max_leaves=6,
)


def read_all(body):
    entries = EntryStream(body)
    return list(entries), entries.head


@given(
    st.lists(VALUES, max_size=8),
    st.dictionaries(WORDS, VALUES, max_size=4),
    st.integers(0, 4),
    st.sampled_from([None, 0, 2, "\t"]),
    st.booleans(),
    st.integers(1, 40),
)
def test_entries_equal_those_of_json_loads_for_any_format_and_read_size(
    servers, other_fields, servers_index, indent, ascii, read_bytes
):
    other_fields.pop("servers", None)
    pairs = list(other_fields.items())
    pairs.insert(servers_index, ("servers", servers))
    body = json.dumps(dict(pairs), indent=indent, ensure_ascii=ascii).encode("utf-8", "surrogatepass")
    try:
        body.decode()
    except UnicodeDecodeError:
        return
    original, entry_stream.READ_BYTES = entry_stream.READ_BYTES, read_bytes
    try:
        assert read_all(body) == (servers, other_fields)
    finally:
        entry_stream.READ_BYTES = original


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b" ",
        b"{",
        b"[]",
        b"null",
        b"{}",
        b'{"version":1}',
        b'{"servers":{}}',
        b'{"servers":null}',
        b'{"servers":[',
        b'{"servers":[1',
        b'{"servers":[1,',
        b'{"servers":[1]',
        b'{"servers":[1]]',
        b'{"servers":[1 2]}',
        b'{"servers":[1,]}',
        b'{"servers":[,1]}',
        b'{"servers":[1]}x',
        b'{"servers":[1],}',
        b'{"servers":[1]}{}',
        b'{"servers":[],"servers":[]}',
        b'{"servers":[{]}',
        b'{"servers":[{"id":}]}',
        b'{"a" "servers":[]}',
        b'{1:2,"servers":[]}',
        b'{"servers":["\xff"]}',
        b'{"servers":["\xc3',
        b"\xff\xfe",
        b'{"servers":[' + b"[" * 100000,
        b'{"a":' * 100000,
    ],
)
@pytest.mark.parametrize("read_bytes", [1, 7, 65536])
def test_malformed_lists_raise_value_error(body, read_bytes, monkeypatch):
    monkeypatch.setattr(entry_stream, "READ_BYTES", read_bytes)
    with pytest.raises(ValueError):
        read_all(body)


def test_unterminated_value_is_rejected_without_buffering_it(monkeypatch):
    monkeypatch.setattr(entry_stream, "READ_BYTES", 1000)
    monkeypatch.setattr(entry_stream, "MAX_VALUE_CHARS", 5000)
    entries = EntryStream(b'{"servers":["' + b"x" * 100_000)
    with pytest.raises(ValueError):
        list(entries)
    assert entries.body_index <= 8000


def test_fields_before_the_entries_are_known_at_the_first_entry():
    entries = EntryStream(b'{"version":7,"full":true,"servers":[{"id":"a"},{"id":"b"}],"epoch":"e"}')
    iterator = iter(entries)
    assert next(iterator) == {"id": "a"} and entries.head == {"version": 7, "full": True}
    assert list(iterator) == [{"id": "b"}] and entries.head["epoch"] == "e"
