"""RESP2 from the network: hiredis, behind a check of what each value announces.

hiredis makes a list as long as an array's head says before any part of it has come: `*1000000000` costs 8 GB
of address space, which no memory limit notices, and each garbage collection then walks it for seconds. Nor
does it look at the two bytes behind a string: it steps over them, whatever they are.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import hiredis

MOST_PARTS = 64  # of one array: commands have 5 and answers 3
MOST_LINE = 4096  # bytes of a head, a number, a simple string or an error
SMALL = 64 * 1024  # bytes of a string above which it is passed on in pieces
MOST_LARGE = 4 * 1024 * 1024  # bytes that a value holds by the protocol
NO_REPLY: Any = object()  # hiredis: more bytes are needed (None and False are values)
PLACE = b"$0\r\n\r\n"  # stands for a large string in what hiredis gives
END = b"\r\n"
SHORT = {b"$%d" % n: n + 2 for n in range(512)} | {b"$-1": 0}  # what follows the heads that come most
ZERO, MOST_DIGITS = 48, 9  # the byte that no number of more digits begins with; far more than any has


class Reader:
    """gets() gives what came whole, then raises hiredis.ProtocolError where the stream is no RESP2 or
    announces an array or a string (above `most` bytes) that nobody here sends. Nothing that hiredis could
    take for the end of a string reaches it before it is known to be one.

    Part `large[1]` of an array of `large[0]` parts may hold up to MOST_LARGE bytes. Once such a one is
    announced, `begun` is its length and nothing more is read until pass_on() says where its pieces go."""

    def __init__(self, most: int, large: tuple[int, int] = (0, -1)) -> None:
        self.most, self.large, self.reader = most, large, hiredis.Reader(notEnoughData=NO_REPLY)
        self.gets: Callable[[], Any] = self.reader.gets
        self.broken = False  # the stream cannot go on
        self.line, self.skip = b"", 0  # a line that is not whole yet; bytes to come of a bulk string
        self.parts = self.due = 0  # of the array that is read: how many, and how many were not announced yet
        self.due_behind = large[0] - large[1] - 1  # parts behind the large one
        self.begun, self.left = 0, 0  # length of a large string that waits; bytes to come of one that is read
        self.held, self.end = b"", b""  # what stands behind the head of one that waits; the last two bytes
        self.sink: Callable[[bytes], None] | None = None

    def feed(self, data: bytes) -> None:
        if self.begun or self.broken:
            if self.begun:
                self.held += data
            return
        if self.left:
            data = self.piece(data)
        if self.line:
            data = self.line + data
        at, size = self.skip, len(data)
        if at and not ends(data, at):
            self.fail(b"")
            return
        while at < size and (end := data.find(END, at)) >= 0:
            line = data[at:end]
            length = SHORT.get(line)
            if length is not None and length <= self.most:
                self.due -= 1
            else:
                length = self.follows(line)
                if length is None:
                    self.fail(data[:at])
                    return
                if length > SMALL + 2 and self.at_large():
                    self.reader.feed(data[:at])
                    self.begun, self.held, self.line, self.skip = length - 2, data[end + 2 :], b"", 0
                    return
            head, at = at, end + 2 + length
            if length and not data.startswith(END, at - 2) and not ends(data, at):
                self.fail(data[:head])
                return
        self.skip, self.line = max(0, at - size), data[at:]
        if len(self.line) > MOST_LINE + 1:  # its CR may have come
            self.fail(data[:at])
        else:
            self.reader.feed(data[:at])

    def fail(self, sound: bytes) -> None:
        """Nothing more is read; what came whole before, with `sound`, still comes out."""
        self.reader.feed(sound)
        self.broken, self.line, self.skip, self.gets = True, b"", 0, self.last

    def last(self) -> Any:
        value = self.reader.gets()
        if value is NO_REPLY:
            raise hiredis.ProtocolError("the stream cannot go on")
        return value

    def follows(self, line: bytes) -> int | None:
        """Bytes of a bulk string behind this line; None where the stream cannot go on."""
        kind = line[:1]
        if kind == b"$" or kind == b"*":
            count = read_count(line[1:])
            if count is None:
                return None
            if kind == b"*":
                if self.due <= 0:
                    self.parts = self.due = count
                else:  # it nests; one that does all the same holds nothing large
                    self.parts, self.due = -1, self.due - 1 + max(0, count)
                return 0 if count <= MOST_PARTS else None
            self.due -= 1
            if count > self.most and not (count <= MOST_LARGE and self.at_large()):
                return None
            return count + 2 if count >= 0 else 0
        self.due -= 1
        return 0 if kind in (b"+", b"-", b":") and len(line) <= MOST_LINE else None

    def at_large(self) -> bool:
        """Whether the part that was announced last may be a large one."""
        return self.due == self.due_behind and self.parts == self.large[0]

    def pass_on(self, sink: Callable[[bytes], None]) -> None:
        """The large string that has begun goes to `sink` as it comes, its END last."""
        self.sink, self.left, self.begun, self.end = sink, self.begun + 2, 0, b""
        data, self.held = self.held, b""
        self.feed(data)

    def piece(self, data: bytes) -> bytes:
        """Passes on what belongs to the large string; what stands behind it."""
        assert self.sink is not None
        taken = data[: self.left] if len(data) > self.left else data
        self.left -= len(taken)
        if self.left >= 2:
            self.give(taken)
            return b""
        value = len(taken) - (2 - self.left) + len(self.end)  # bytes of the string itself in this piece
        self.end += taken[value:] if value > 0 else taken
        if value > 0:
            self.give(taken[:value])
        if not END.startswith(self.end):
            self.fail(b"")
            return b""
        if self.left:
            return b""
        self.sink(END)
        self.reader.feed(PLACE)
        return data[len(taken) :]

    def give(self, string: bytes) -> None:
        """To the sink, which knows the end of the string by END: no piece of the string itself is that."""
        assert self.sink is not None
        for piece in (string[:1], string[1:]) if string == END else (string,):
            self.sink(piece)

    def in_last(self) -> bool:
        """Whether the last part of an array that may hold a large one has been announced and is not whole."""
        return self.at_large() and (self.skip > 0 or self.left > 0 or self.begun > 0)

    def has_data(self) -> bool:
        return (
            self.broken
            or bool(self.line)
            or self.skip > 0
            or self.begun > 0
            or self.left > 0
            or self.reader.has_data()
        )


def read_count(digits: bytes) -> int | None:
    """The number of a head: -1, or decimal digits and nothing else; None where it is none."""
    if digits.isdigit() and (digits[0] != ZERO or len(digits) == 1) and len(digits) <= MOST_DIGITS:
        return int(digits)
    return -1 if digits == b"-1" else None


def ends(data: bytes, at: int) -> bool:
    """Whether the bytes before `at` are END, as far as they are in `data`: its CR may have come before it."""
    return END.startswith(data[at - 2 : at]) if at > 1 else data[:1] in (b"\n", b"")
