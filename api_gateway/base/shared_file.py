"""One small file that the processes of a gateway share: read whole, and replaced whole under a lock."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

# Inode, time of the last change in nanoseconds, and size in bytes.
FileSignature = tuple[int, int, int]


class SharedFile:
    """A text file, with `.new` and `.lock` files beside it.

    A process dies at any moment without harm: the lock goes with it, and a reader sees either text whole.
    """

    def __init__(self, path: Path | None) -> None:
        """Name the file; None: nothing is stored and nothing is ever found."""
        self.path = path
        self.last_signature: FileSignature | None = None

    def signature(self) -> FileSignature | None:
        """Return what tells the present file from another one; None where there is none to be seen."""
        if self.path is None:
            return None
        try:
            status = self.path.stat()
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns, status.st_size

    def has_changed(self) -> bool:
        """Return whether another process has written since this one last read or wrote."""
        return self.path is not None and self.signature() != self.last_signature

    def read(self) -> str | None:
        """Return the text, or None where nothing was stored yet.

        Raises:
            OSError: As without a descriptor; the file counts as changed until it has been read.
            ValueError: It is not UTF-8.
        """
        signature = self.signature()
        try:
            data = self.path.read_bytes() if self.path else None
        except FileNotFoundError:
            data = None
        self.last_signature = signature
        return None if data is None else data.decode("utf-8")

    def write(self, text: str) -> None:
        """Replace the file.

        To be called in locked(): what a process that died left half written is simply written over.

        Raises:
            OSError: The file is as it was.
        """
        if self.path is None:
            return
        new_path = self.path.with_suffix(".new")
        new_path.write_text(text, encoding="utf-8")
        new_path.replace(self.path)
        self.last_signature = self.signature()

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Wait for the lock and hold it while the context lasts. Raises OSError."""
        if self.path is None:
            yield
            return
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        descriptor = os.open(self.path.with_suffix(".lock"), flags, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            yield
        finally:
            os.close(descriptor)
