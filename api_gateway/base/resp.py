"""RESP2 from the network: hiredis, behind a check of what each value announces.

hiredis makes a list as long as an array's head says before any part of it has arrived: `*1000000000` costs
8 GB of address space, which no memory limit notices, and each garbage collection then walks it for seconds.
Nor does it check the two bytes behind a string: it steps over them, whatever they are.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import hiredis

# Parts of one array: commands have 5 and replies 3.
MAX_ARRAY_PARTS = 64
# Bytes of a head, a number, a simple string or an error.
MAX_LINE_BYTES = 4096
# Bytes of a string above which it is passed on in pieces.
STREAMING_THRESHOLD_BYTES = 64 * 1024
# Bytes that a value may have by the protocol.
MAX_VALUE_BYTES = 4 * 1024 * 1024
# What `gets` returns when more bytes are needed; None and False are values. Of any type, as these.
INCOMPLETE: Any = object()
# Given to hiredis in the place of a large string.
LARGE_STRING_PLACEHOLDER = b"$0\r\n\r\n"
# Ends each line and each string.
CRLF = b"\r\n"
# The heads that are most frequent, and how many bytes follow each: the string and its END.
FREQUENT_HEADS = {b"$%d" % length: length + 2 for length in range(512)} | {b"$-1": 0}
# The digit "0" as a byte: it begins no number of more than one digit.
ZERO_DIGIT = 48
# Digits of a count; far more than any count here has.
MAX_COUNT_DIGITS = 9


class RespReader:
    """Reads RESP2 values from a stream that comes in pieces.

    Nothing that hiredis could take for the end of a string reaches it before it is known to be one.

    One part of an array may be a large string. Once it is announced, `begun` is its length, and what follows
    is buffered until `pass_on` says where its pieces go. In the value that `gets` returns then, it is empty.

    Attributes:
        gets: Returns the next complete value, or NO_REPLY. After the last complete one it raises
            hiredis.ProtocolError, if the stream is not RESP2 or announces what is not allowed here.
        begun: Length in bytes of a large string that waits for `pass_on`; 0: none.
        buffered: What has arrived of that string, and behind it.
    """

    def __init__(self, max_string_bytes: int, large_part: tuple[int, int] = (0, -1)) -> None:
        """Create a reader at the beginning of a stream.

        Args:
            max_string_bytes: Bytes of a string that is not large.
            large_part: Of how many parts an array is that may have a large string of up to MOST_LARGE bytes,
                and which part of it, counted from 0. By default there is none.
        """
        part_count, part_index = large_part
        self.max_string_bytes = max_string_bytes
        self.large_array_parts = part_count
        self.parts_behind_large = part_count - part_index - 1
        self.reader = hiredis.Reader(notEnoughData=INCOMPLETE)
        self.gets: Callable[[], Any] = self.reader.gets
        self.broken = False  # the stream cannot go on
        self.partial_line = b""  # a line that is not complete yet
        self.bytes_to_skip = 0  # still to arrive of a string that is not large
        # The array that is read: its parts (-1: not a plain one), and how many were not announced yet.
        self.array_parts = 0
        self.parts_due = 0
        # The large string.
        self.large_string_bytes = 0
        self.buffered = b""
        self.large_bytes_left = 0  # still to arrive of one that is passed on, END included
        self.large_end = b""  # what has arrived of its END
        self.sink: Callable[[bytes], None] | None = None

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the stream."""
        if self.large_string_bytes or self.broken or self.large_bytes_left or self.partial_line:
            if self.large_string_bytes or self.broken:
                self.buffered += data if self.large_string_bytes else b""
                return
            data = self._resume(data)
        at = self.bytes_to_skip
        size = len(data)
        if at and not may_end_at(data, at):
            self._fail(b"")
            return
        while at < size and (end := data.find(CRLF, at)) >= 0:
            line = data[at:end]
            length = FREQUENT_HEADS.get(line)
            if length is not None and length <= self.max_string_bytes:
                self.parts_due -= 1
            else:
                length = self._following_bytes(line)
                if length is None or length > STREAMING_THRESHOLD_BYTES + 2 and self.is_large_part():
                    self._stop_at(data, at, end, length)
                    return
            head = at
            at = end + 2 + length
            if length and not data.startswith(CRLF, at - 2) and not may_end_at(data, at):
                self._fail(data[:head])
                return
        self.bytes_to_skip = max(0, at - size)
        self.partial_line = data[at:]
        if len(self.partial_line) > MAX_LINE_BYTES + 1:  # its CR may have arrived
            self._fail(data[:at])
        else:
            self.reader.feed(data[:at])

    def pass_on(self, sink: Callable[[bytes], None]) -> None:
        """Pass the large string that has begun to `sink` as it arrives.

        The last call has END, behind the string; no piece of the string itself equals it.
        """
        self.sink = sink
        self.large_bytes_left = self.large_string_bytes + 2
        self.large_string_bytes = 0
        self.large_end = b""
        data = self.buffered
        self.buffered = b""
        self.feed(data)

    def is_large_part(self) -> bool:
        """Return whether the part that was announced last may be a large string."""
        return self.parts_due == self.parts_behind_large and self.array_parts == self.large_array_parts

    def is_in_large_part(self) -> bool:
        """Return whether a part that may be a large string was announced and is not complete."""
        return self.is_large_part() and (
            self.bytes_to_skip > 0 or self.large_bytes_left > 0 or self.large_string_bytes > 0
        )

    def has_data(self) -> bool:
        """Return whether a value has begun and is not complete, or the stream cannot go on."""
        return (
            self.broken
            or bool(self.partial_line)
            or self.bytes_to_skip > 0
            or self.large_string_bytes > 0
            or self.large_bytes_left > 0
            or self.reader.has_data()
        )

    def _resume(self, data: bytes) -> bytes:
        """Pass on what belongs to the large string; returns the rest, behind the line that had begun."""
        if self.large_bytes_left:
            data = self._pass_piece(data)
        return self.partial_line + data if self.partial_line else data

    def _stop_at(self, data: bytes, at: int, end: int, length: int | None) -> None:
        """Stop at the head `data[at:end]`: it announces a large string, or without `length` is malformed."""
        if length is None:
            self._fail(data[:at])
            return
        self.reader.feed(data[:at])
        self.large_string_bytes = length - 2
        self.buffered = data[end + 2 :]
        self.partial_line = b""
        self.bytes_to_skip = 0

    def _fail(self, valid: bytes) -> None:
        """Read nothing more; the values that are complete with `valid` still come out."""
        self.reader.feed(valid)
        self.broken = True
        self.partial_line = b""
        self.bytes_to_skip = 0
        self.gets = self._gets_last

    def _gets_last(self) -> Any:
        """Return the next value of a broken stream; after the last one raise hiredis.ProtocolError."""
        value = self.reader.gets()
        if value is INCOMPLETE:
            raise hiredis.ProtocolError("the stream cannot go on")
        return value

    def _following_bytes(self, line: bytes) -> int | None:
        """Return how many bytes of a string follow this line, or None where the stream cannot go on."""
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
        """Note the parts of an array; returns 0, or None where the stream cannot go on."""
        count = parse_count(line[1:])
        if count is None:
            return None
        if self.parts_due <= 0:
            self.array_parts = count
            self.parts_due = count
        else:  # it nests: that is no plain array, and holds nothing large
            self.array_parts = -1
            self.parts_due += max(0, count) - 1
        return 0 if count <= MAX_ARRAY_PARTS else None

    def _pass_piece(self, data: bytes) -> bytes:
        """Pass on what belongs to the large string; returns what stands behind it."""
        assert self.sink is not None
        taken = data[: self.large_bytes_left] if len(data) > self.large_bytes_left else data
        self.large_bytes_left -= len(taken)
        if self.large_bytes_left >= 2:
            self._emit(taken)
            return b""
        # How many bytes of this piece belong to the string itself.
        string_bytes = len(taken) - (2 - self.large_bytes_left) + len(self.large_end)
        self.large_end += taken[string_bytes:] if string_bytes > 0 else taken
        if string_bytes > 0:
            self._emit(taken[:string_bytes])
        if not CRLF.startswith(self.large_end):
            self._fail(b"")
            return b""
        if self.large_bytes_left:
            return b""
        self.sink(CRLF)
        self.reader.feed(LARGE_STRING_PLACEHOLDER)
        return data[len(taken) :]

    def _emit(self, string: bytes) -> None:
        """Pass a piece to the sink; in two if it equals END, which tells the sink the end of the string."""
        assert self.sink is not None
        for piece in (string[:1], string[1:]) if string == CRLF else (string,):
            self.sink(piece)


def parse_count(digits: bytes) -> int | None:
    """Return the number of a head: -1, or decimal digits and nothing else; None where it is none."""
    if digits.isdigit() and (digits[0] != ZERO_DIGIT or len(digits) == 1) and len(digits) <= MAX_COUNT_DIGITS:
        return int(digits)
    return -1 if digits == b"-1" else None


def may_end_at(data: bytes, at: int) -> bool:
    """Return whether the bytes before `at` are END, as far as they are in `data`.

    If `at` is 1, its CR may have arrived before `data`.
    """
    return CRLF.startswith(data[at - 2 : at]) if at > 1 else data[:1] in (b"\n", b"")
