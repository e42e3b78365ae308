"""Reads a long endpoint list entry by entry, so that no more than one entry is in memory as objects."""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Iterator
from typing import Any

READ_BYTES = 64 * 1024  # of a list, decoded at once
MAX_VALUE_CHARS = 256 * 1024  # that one entry, or a value beside the entries, may take
VALUE_ENDS = tuple(" \t\r\n:,]}")  # what may follow a value
SPACE = re.compile(r"[ \t\r\n]*")


class EntryStream:
    """Iterates over the entries of a list, each JSON of any shape.

    `head` has the values that stand beside the entries, as far as they have been read: all of them after the
    last entry. Iterating raises ValueError where the text is no endpoint list.
    """

    def __init__(self, body: bytes | bytearray) -> None:
        """Initialise the stream.

        Args:
            body: The text of the list.
        """
        self.body = body
        self.body_index = 0  # bytes that are decoded
        self.head: dict[str, Any] = {}
        self.decoder = codecs.getincrementaldecoder("utf-8")()
        self.scan = json.JSONDecoder().raw_decode
        self.text = ""  # decoded and not dropped yet
        self.text_index = 0  # characters of it that are read

    def __iter__(self) -> Iterator[Any]:
        """Yield the entries."""
        self._skip("{")
        has_entries = False
        is_done = self._peek() == "}"
        while not is_done:
            name = self._read_value()
            if not isinstance(name, str):
                raise ValueError("not a list of hosts: a name that is none")
            self._skip(":")
            if name != "servers":
                self.head[name] = self._read_value()
            elif has_entries or self._peek() != "[":
                raise ValueError("not a list of hosts: servers is no list, or stands twice")
            else:
                has_entries = True
                yield from self._read_entries()
            is_done = self._skip(",}") == "}"
        if not has_entries or self._peek():
            raise ValueError("not a list of hosts: no servers in it, or more behind it")

    def _read_entries(self) -> Iterator[Any]:
        self._skip("[")
        is_done = self._peek() == "]"
        if is_done:
            self._skip("]")
        while not is_done:
            yield self._read_value()
            is_done = self._skip(",]") == "]"

    def _decode_more(self) -> bool:
        """Return whether there was more text to decode."""
        if self.body_index >= len(self.body):
            return False
        piece = self.body[self.body_index : self.body_index + READ_BYTES]
        self.body_index += len(piece)
        decoded = self.decoder.decode(piece, final=self.body_index >= len(self.body))
        self.text = self.text[self.text_index :] + decoded
        self.text_index = 0
        return True

    def _decode_more_of_value(self) -> bool:
        """Return whether there was more text for a value that is incomplete and not too long."""
        return len(self.text) - self.text_index <= MAX_VALUE_CHARS and self._decode_more()

    def _peek(self) -> str:
        """Return the next character that is no space; nothing at the end."""
        while True:
            self.text_index = SPACE.match(self.text, self.text_index).end()  # type: ignore[union-attr]
            if self.text_index < len(self.text):
                return self.text[self.text_index]
            if not self._decode_more():
                return ""

    def _skip(self, allowed: str) -> str:
        """Read one of these characters."""
        char = self._peek()
        if not char or char not in allowed:
            raise ValueError(f"not a list of hosts: {char or 'the end'!r} where one of {allowed!r} was due")
        self.text_index += 1
        return char

    def _read_value(self) -> Any:
        self._peek()
        while True:
            try:
                value, end = self.scan(self.text, self.text_index)
                # Where no end follows a number may go on.
                if self.text[end : end + 1] in VALUE_ENDS or not self._decode_more_of_value():
                    self.text_index = end
                    return value
            except json.JSONDecodeError:
                if not self._decode_more_of_value():
                    raise
            except RecursionError as err:
                raise ValueError("not a list of hosts: nested without end") from err
