"""Long lists, entry by entry: the same as at once, and never more than one entry held as objects."""

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


def read(body):
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
def test_a_list_is_read_as_it_is_at_once_however_it_is_written_and_cut(
    servers, beside, place, indent, ascii, window
):
    beside.pop("servers", None)
    pairs = list(beside.items())
    pairs.insert(place, ("servers", servers))
    body = json.dumps(dict(pairs), indent=indent, ensure_ascii=ascii).encode("utf-8", "surrogatepass")
    try:
        body.decode()
    except UnicodeDecodeError:
        return
    last, entry_stream.READ_BYTES = entry_stream.READ_BYTES, window
    try:
        assert read(body) == (servers, beside)
    finally:
        entry_stream.READ_BYTES = last


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
@pytest.mark.parametrize("window", [1, 7, 65536])
def test_what_is_no_list_is_told_so(body, window, monkeypatch):
    monkeypatch.setattr(entry_stream, "READ_BYTES", window)
    with pytest.raises(ValueError):
        read(body)


def test_text_without_end_is_given_up_and_not_gathered(monkeypatch):
    monkeypatch.setattr(entry_stream, "READ_BYTES", 1000)
    monkeypatch.setattr(entry_stream, "MAX_VALUE_CHARS", 5000)
    entries = EntryStream(b'{"servers":["' + b"x" * 100_000)
    with pytest.raises(ValueError):
        list(entries)
    assert entries.body_index <= 8000


def test_what_stands_before_the_entries_is_known_at_the_first_of_them():
    entries = EntryStream(b'{"version":7,"full":true,"servers":[{"id":"a"},{"id":"b"}],"epoch":"e"}')
    each = iter(entries)
    assert next(each) == {"id": "a"} and entries.head == {"version": 7, "full": True}
    assert list(each) == [{"id": "b"}] and entries.head["epoch"] == "e"
