"""RESP2 from the network: hiredis, behind a check of what each value announces.

hiredis makes a list as long as an array's head says before any part of it has come: `*1000000000` costs 8 GB
of address space, which no memory limit notices, and each garbage collection then walks it for seconds.
"""

from __future__ import annotations

from typing import Any

import hiredis

MOST_PARTS = 64  # of one array: commands have 5 and answers 3
MOST_LINE = 4096  # bytes of a head, a number, a simple string or an error
NO_REPLY: Any = object()  # hiredis: more bytes are needed (None and False are values)
POISON = b"?"  # no value begins so: hiredis raises where it stands, behind what came whole before it


class Reader:
    """gets() gives what came whole, then raises hiredis.ProtocolError where the stream is no RESP2 or
    announces an array or a string (above `most` bytes) that nobody here sends."""

    def __init__(self, most: int) -> None:
        self.most, self.reader = most, hiredis.Reader(notEnoughData=NO_REPLY)
        self.gets = self.reader.gets
        self.line, self.skip = b"", 0  # a line that is not whole yet; bytes to come of a bulk string

    def feed(self, data: bytes) -> None:
        if self.line:
            data = self.line + data
        at, size = self.skip, len(data)
        while at < size and (end := data.find(b"\r\n", at)) >= 0:
            length = self.follows(data[at:end])
            if length is None:
                self.reader.feed(data[:at] + POISON)
                return
            at = end + 2 + length
        self.skip, self.line = max(0, at - size), data[at:]
        if len(self.line) > MOST_LINE:
            self.reader.feed(data[:at] + POISON)
        else:
            self.reader.feed(data[:at])

    def follows(self, line: bytes) -> int | None:
        """Bytes of a bulk string behind this line; None where the stream cannot go on."""
        kind = line[:1]
        if kind == b"$" or kind == b"*":
            try:
                count = int(line[1:])
            except ValueError:
                return None
            if kind == b"*":
                return 0 if count <= MOST_PARTS else None
            return None if count > self.most else count + 2 if count >= 0 else 0
        return 0 if kind in (b"+", b"-", b":") else None

    def has_data(self) -> bool:
        return bool(self.line) or self.reader.has_data()
