"""A small file that the processes of a gateway share, read as a whole and replaced under a lock."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

# Inode, modification time in nanoseconds, and size in bytes.
FileSignature = tuple[int, int, int]


class SharedFile:
    """A text file, with `.new` and `.lock` files beside it.

    A process may die at any moment without harm, because its lock is then released and a reader sees either
    the complete old text or the complete new one.
    """

    def __init__(self, path: Path | None) -> None:
        """Initialise with the path of the file; with None nothing is stored or found."""
        self.path = path
        self.last_signature: FileSignature | None = None

    def signature(self) -> FileSignature | None:
        """Return a value that differs for each version of the file; None if the file is not accessible."""
        if self.path is None:
            return None
        try:
            status = self.path.stat()
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns, status.st_size

    def has_changed(self) -> bool:
        """Return whether another process has written the file since this one last read or wrote it."""
        return self.path is not None and self.signature() != self.last_signature

    def read(self) -> str | None:
        """Return the text, or None if nothing has been stored yet.

        Raises:
            OSError: It cannot be read, as without a descriptor; has_changed() stays true until it is read.
            ValueError: The text is not UTF-8.
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

        Must be called within locked(). A partly written file of a process that died is overwritten.

        Raises:
            OSError: The file cannot be replaced; it is unchanged.
        """
        if self.path is None:
            return
        new_path = self.path.with_suffix(".new")
        new_path.write_text(text, encoding="utf-8")
        new_path.replace(self.path)
        self.last_signature = self.signature()

    @contextmanager
    def locked(self) -> Iterator[None]:
        """Acquire the lock, waiting for it, and hold it within the context. Raises OSError."""
        if self.path is None:
            yield
            return
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        lock_fd = os.open(self.path.with_suffix(".lock"), flags, 0o600)
        try:
            fcntl.flock(lock_fd, fcntl.LOCK_EX)
            yield
        finally:
            os.close(lock_fd)
