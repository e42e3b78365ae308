"""Parses RESP2 from the network with hiredis, after checking the header of each value.

hiredis allocates a list of the length in the array header before any element has arrived. `*1000000000` takes
8 GB of address space, which no memory limit detects, and each garbage collection then scans it for seconds.
hiredis does not check the two bytes after a string either and skips them, whatever they are.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import hiredis

# Elements of one array; commands have 5 and replies 3.
MAX_ARRAY_PARTS = 64
# Length of a header, a number, a simple string or an error.
MAX_LINE_BYTES = 4096
# Length of a string above which it is passed on in chunks.
STREAMING_THRESHOLD_BYTES = 64 * 1024
# Maximum length of a value by the protocol.
MAX_VALUE_BYTES = 4 * 1024 * 1024
# Length of its buffered input from which on a parser is replaced once it is empty, as it keeps its buffer.
KEPT_BUFFER_BYTES = 1024
# Returned by `gets` when more bytes are needed, since None and False are values. Any, as values are.
INCOMPLETE: Any = object()
# Fed to hiredis in place of a large string.
LARGE_STRING_PLACEHOLDER = b"$0\r\n\r\n"
# Terminates each line and each string.
CRLF = b"\r\n"
# The most frequent headers and the number of bytes that follow each, the string and its CRLF.
FREQUENT_HEADS = {b"$%d" % length: length + 2 for length in range(512)} | {b"$-1": 0}
# The digit "0" as a byte; a number of several digits must not begin with it.
ZERO_DIGIT = 48
# Digits of a count; far more than any valid count has.
MAX_COUNT_DIGITS = 9


class RespReader:
    """Reads RESP2 values from a stream that arrives in chunks.

    Bytes that hiredis would skip as the end of a string reach it only after they have been checked.

    One element of an array may be a large string. Once its header has arrived, `large_string_bytes` is its
    length, and the following bytes are buffered until `pass_on` provides a sink for its chunks. In the value
    that `gets` returns, the string is empty. If it is the last element, `gets` returns the value as soon as
    the header has arrived, and `is_large_string_due` tells that its string has not.

    Attributes:
        gets: Returns the next complete value, or INCOMPLETE. After the last complete value it raises
            hiredis.ProtocolError if the stream is not RESP2 or a header exceeds the limits.
        large_string_bytes: Length of a large string that waits for `pass_on`; 0: none.
        buffered: The bytes of that string, and after it, that have arrived.
    """

    def __init__(
        self,
        max_string_bytes: int,
        large_part: tuple[int, int] = (0, -1),
        streaming_threshold: int = 0,
        *,
        max_total_parts: int | None = None,
    ) -> None:
        """Initialise a reader at the beginning of a stream.

        Args:
            max_string_bytes: Maximum length of a string that is not large.
            large_part: Number of elements of the arrays that may contain a large string, of up to
                MAX_VALUE_BYTES, and the index of that element, from 0. By default no array may.
            streaming_threshold: Length above which that string is large; 0: STREAMING_THRESHOLD_BYTES.
            max_total_parts: Maximum number of elements of an array and of those nested in it. An empty one
                takes many times the memory of its bytes. None: only each array has a limit.
        """
        part_count, part_index = large_part
        self.max_string_bytes = max_string_bytes
        self.large_array_parts = part_count
        self.parts_behind_large = part_count - part_index - 1
        self.streaming_threshold = streaming_threshold
        self.max_total_parts = max_total_parts
        self.total_parts = 0  # of the current array and those nested in it
        self.reader = hiredis.Reader(notEnoughData=INCOMPLETE)
        self.gets: Callable[[], Any] = self.reader.gets
        self.has_large_buffer = False  # whether the parser's buffer has grown beyond KEPT_BUFFER_BYTES
        self.broken = False  # the stream cannot be read any further
        self.partial_line = b""  # the beginning of an incomplete line
        self.bytes_to_skip = 0  # still to arrive of a string that is not large, with its CRLF
        # Elements of the current array (-1: it is nested), and elements whose header is still to arrive.
        self.array_parts = 0
        self.parts_due = 0
        # State of the large string.
        self.large_string_bytes = 0
        self.buffered = b""
        self.large_bytes_left = 0  # still to arrive of a string that is passed on, with its CRLF
        self.large_end = b""  # received bytes of its CRLF
        self.sink: Callable[[bytes], None] | None = None

    def feed(self, data: bytes) -> None:
        """Process the next bytes of the stream."""
        if self.large_string_bytes or self.broken or self.large_bytes_left or self.partial_line:
            if self.large_string_bytes or self.broken:
                self.buffered += data if self.large_string_bytes else b""
                return
            data = self._resume(data)
        offset = self.bytes_to_skip
        data_size = len(data)
        if offset and not may_end_at(data, offset):
            self._fail(b"")
            return
        while offset < data_size and (end := data.find(CRLF, offset)) >= 0:
            line = data[offset:end]
            length = FREQUENT_HEADS.get(line)
            if length is not None and length <= self.max_string_bytes:
                self.parts_due -= 1
            else:
                length = self._following_bytes(line)
                if length is None or self.exceeds_threshold(length) and self.is_large_part():
                    self._stop_at(data, offset, end, length)
                    return
            head_start = offset
            offset = end + 2 + length
            if length and not data.startswith(CRLF, offset - 2) and not may_end_at(data, offset):
                self._fail(data[:head_start])
                return
        self.bytes_to_skip = max(0, offset - data_size)
        self.partial_line = data[offset:]
        if len(self.partial_line) > MAX_LINE_BYTES + 1:  # the CR of its end may have arrived
            self._fail(data[:offset])
        else:
            self.reader.feed(data[:offset])
            self.has_large_buffer = self.has_large_buffer or self.reader.len() > KEPT_BUFFER_BYTES

    def pass_on(self, sink: Callable[[bytes], None]) -> None:
        """Pass the current large string to `sink` as it arrives.

        The last call passes the CRLF after the string; no chunk of the string itself equals CRLF.
        """
        self.sink = sink
        self.large_bytes_left = self.large_string_bytes + 2
        self.large_string_bytes = 0
        self.large_end = b""
        data = self.buffered
        self.buffered = b""
        self.feed(data)

    def discard_sink(self) -> None:
        """Drop the sink and what it refers to, because the stream is not read any further."""
        self.sink = None

    def exceeds_threshold(self, length: int) -> bool:
        """Return whether a string, of which `length` bytes with its CRLF are due, is large."""
        return length > (self.streaming_threshold or STREAMING_THRESHOLD_BYTES) + len(CRLF)

    def release_buffer(self) -> None:
        """Replace a parser whose buffer has grown, unless it holds input; it would keep its size."""
        if self.has_large_buffer and not self.broken and not self.has_begun_value():
            self.has_large_buffer = False
            self.reader = hiredis.Reader(notEnoughData=INCOMPLETE)
            self.gets = self.reader.gets

    def is_large_part(self) -> bool:
        """Return whether the element of the last header may be a large string."""
        return self.parts_due == self.parts_behind_large and self.array_parts == self.large_array_parts

    def is_large_string_due(self) -> bool:
        """Return whether the value that `gets` returned last ends with a large string still to be read."""
        return self.large_string_bytes > 0 and not self.parts_behind_large and not self.reader.has_data()

    def is_in_large_part(self) -> bool:
        """Return whether an element that may be a large string has begun and is incomplete."""
        return self.is_large_part() and (
            self.bytes_to_skip > 0 or self.large_bytes_left > 0 or self.large_string_bytes > 0
        )

    def has_data(self) -> bool:
        """Return whether bytes wait that no value has consumed, or the stream is malformed."""
        return (
            self.broken
            or bool(self.partial_line)
            or self.bytes_to_skip > 0
            or self.large_string_bytes > 0
            or self.large_bytes_left > 0
            or self.reader.has_data()
        )

    def has_begun_value(self) -> bool:
        """Return whether a value has begun, also if the parser has consumed all of its bytes so far."""
        return self.has_data() or self.parts_due > 0

    def _resume(self, data: bytes) -> bytes:
        """Pass on the bytes of the large string. Return the other bytes, after an incomplete line."""
        if self.large_bytes_left:
            data = self._pass_chunk(data)
        return self.partial_line + data if self.partial_line else data

    def _stop_at(self, data: bytes, offset: int, end: int, length: int | None) -> None:
        """Stop at the header `data[offset:end]` of a large string, or without `length` of malformed data."""
        if length is None:
            self._fail(data[:offset])
            return
        self.reader.feed(data[:offset])
        if not self.parts_behind_large:
            self.reader.feed(LARGE_STRING_PLACEHOLDER)
        self.large_string_bytes = length - 2
        self.buffered = data[end + 2 :]
        self.partial_line = b""
        self.bytes_to_skip = 0

    def _fail(self, valid: bytes) -> None:
        """Stop reading; `gets` still returns the values that are complete with the bytes `valid`."""
        self.reader.feed(valid)
        self.broken = True
        self.partial_line = b""
        self.bytes_to_skip = 0
        self.gets = self._gets_last

    def _gets_last(self) -> Any:
        """Return the next value of a malformed stream; after the last, raise hiredis.ProtocolError."""
        value = self.reader.gets()
        if value is INCOMPLETE:
            raise hiredis.ProtocolError("the stream cannot go on")
        return value

    def _following_bytes(self, line: bytes) -> int | None:
        """Return how many bytes of a string follow this line, or None if the line is malformed."""
        kind = line[:1]
        if kind == b"*":
            return self._following_array_head(line)
        self.parts_due -= 1
        if kind == b"$":
            length = parse_count(line[1:])
            if length is None:
                return None
            if length > self.max_string_bytes and not (length <= MAX_VALUE_BYTES and self.is_large_part()):
                return None
            return length + 2 if length >= 0 else 0
        return 0 if kind in (b"+", b"-", b":") and len(line) <= MAX_LINE_BYTES else None

    def _following_array_head(self, line: bytes) -> int | None:
        """Store the length of an array. Return 0, or None if the header is malformed."""
        count = parse_count(line[1:])
        if count is None:
            return None
        if self.parts_due <= 0:
            self.array_parts = count
            self.parts_due = count
            self.total_parts = count
        else:  # a nested array, which may not contain a large string
            self.array_parts = -1
            self.parts_due += max(0, count) - 1
            self.total_parts += count
            if self.max_total_parts is not None and self.total_parts > self.max_total_parts:
                return None
        return 0 if count <= MAX_ARRAY_PARTS else None

    def _pass_chunk(self, data: bytes) -> bytes:
        """Pass on the bytes of the large string. Return the bytes after it."""
        assert self.sink is not None
        chunk = data[: self.large_bytes_left] if len(data) > self.large_bytes_left else data
        self.large_bytes_left -= len(chunk)
        if self.large_bytes_left >= 2:
            self._emit(chunk)
            return b""
        # Number of bytes of this chunk that belong to the string itself.
        string_bytes = len(chunk) - (2 - self.large_bytes_left) + len(self.large_end)
        self.large_end += chunk[string_bytes:] if string_bytes > 0 else chunk
        if string_bytes > 0:
            self._emit(chunk[:string_bytes])
        if not CRLF.startswith(self.large_end):
            self._fail(b"")
            return b""
        if self.large_bytes_left:
            return b""
        self.sink(CRLF)
        self.sink = None
        if self.parts_behind_large:
            self.reader.feed(LARGE_STRING_PLACEHOLDER)
        return data[len(chunk) :]

    def _emit(self, string: bytes) -> None:
        """Pass a chunk to the sink, in two parts if it equals CRLF, which would signal the end."""
        assert self.sink is not None
        for chunk in (string[:1], string[1:]) if string == CRLF else (string,):
            self.sink(chunk)


def parse_count(digits: bytes) -> int | None:
    """Return the number in a header, -1 or plain decimal digits; None if it is malformed."""
    if digits.isdigit() and (digits[0] != ZERO_DIGIT or len(digits) == 1) and len(digits) <= MAX_COUNT_DIGITS:
        return int(digits)
    return -1 if digits == b"-1" else None


def may_end_at(data: bytes, offset: int) -> bool:
    """Return whether the bytes before `offset` are CRLF, as far as `data` contains them.

    If `offset` is 1, the CR may have arrived before `data`.
    """
    return CRLF.startswith(data[offset - 2 : offset]) if offset > 1 else data[:1] in (b"\n", b"")
