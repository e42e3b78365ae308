"""Reads a long endpoint list entry by entry, so that only one entry at a time is held as Python objects."""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Iterator
from typing import Any

READ_BYTES = 64 * 1024  # decoded per step
MAX_VALUE_CHARS = 256 * 1024  # maximum length of one entry or of another value of the list
VALUE_ENDS = tuple(" \t\r\n:,]}")  # characters that may follow a value
SPACE = re.compile(r"[ \t\r\n]*")


class EntryStream:
    """Iterates over the entries of a list, each of which may be any JSON value.

    `head` contains the other fields of the list that have been read so far, and all of them once iteration
    has ended. Iteration raises ValueError if the text is not an endpoint list.
    """

    def __init__(self, body: bytes | bytearray) -> None:
        """Start before the first entry.

        Args:
            body: The text of the list.
        """
        self.body = body
        self.body_index = 0  # number of bytes that are decoded
        self.head: dict[str, Any] = {}
        self.decoder = codecs.getincrementaldecoder("utf-8")()
        self.scan = json.JSONDecoder().raw_decode
        self.text = ""  # decoded text that is still buffered
        self.text_index = 0  # number of its characters that are read

    def __iter__(self) -> Iterator[Any]:
        """Yield the entries."""
        self._skip("{")
        has_servers = False
        is_done = self._peek() == "}"
        while not is_done:
            name = self._read_value()
            if not isinstance(name, str):
                raise ValueError("not a list of hosts: a name that is not a string")
            self._skip(":")
            if name != "servers":
                self.head[name] = self._read_value()
            elif has_servers or self._peek() != "[":
                raise ValueError("not a list of hosts: servers is not an array, or occurs twice")
            else:
                has_servers = True
                yield from self._read_entries()
            is_done = self._skip(",}") == "}"
        if not has_servers or self._peek():
            raise ValueError("not a list of hosts: servers is missing, or data follows the list")

    def _read_entries(self) -> Iterator[Any]:
        self._skip("[")
        is_done = self._peek() == "]"
        if is_done:
            self._skip("]")
        while not is_done:
            yield self._read_value()
            is_done = self._skip(",]") == "]"

    def _decode_more(self) -> bool:
        """Decode the next bytes. Return whether there were any."""
        if self.body_index >= len(self.body):
            return False
        chunk = self.body[self.body_index : self.body_index + READ_BYTES]
        self.body_index += len(chunk)
        decoded = self.decoder.decode(chunk, final=self.body_index >= len(self.body))
        self.text = self.text[self.text_index :] + decoded
        self.text_index = 0
        return True

    def _decode_more_of_value(self) -> bool:
        """Decode more of an incomplete value. Return whether there was more and the value is not too long."""
        return len(self.text) - self.text_index <= MAX_VALUE_CHARS and self._decode_more()

    def _peek(self) -> str:
        """Return the next character that is not white space, or an empty string at the end."""
        while True:
            self.text_index = SPACE.match(self.text, self.text_index).end()  # type: ignore[union-attr]
            if self.text_index < len(self.text):
                return self.text[self.text_index]
            if not self._decode_more():
                return ""

    def _skip(self, allowed: str) -> str:
        """Read and return one of the allowed characters. Raises ValueError for any other."""
        char = self._peek()
        if not char or char not in allowed:
            raise ValueError(f"not a list of hosts: {char or 'the end'!r} instead of one of {allowed!r}")
        self.text_index += 1
        return char

    def _read_value(self) -> Any:
        self._peek()
        while True:
            try:
                value, end = self.scan(self.text, self.text_index)
                # Unless a delimiter follows, more digits of a number may follow.
                if self.text[end : end + 1] in VALUE_ENDS or not self._decode_more_of_value():
                    self.text_index = end
                    return value
            except json.JSONDecodeError:
                if not self._decode_more_of_value():
                    raise
            except RecursionError as err:
                raise ValueError("not a list of hosts: nested too deeply") from err
