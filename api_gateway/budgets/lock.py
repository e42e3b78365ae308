"""A lock that at most one process of a machine holds at a time."""

from __future__ import annotations

import fcntl
from pathlib import Path
from typing import IO


class FileLock:
    """An exclusive lock on a file.

    The kernel releases the lock when the process exits. A paused process still holds it.
    """

    def __init__(self, path: Path) -> None:
        """Create the lock without acquiring it; `path` is created at the first `acquire`."""
        self.path = path
        self.file: IO[str] | None = None

    def acquire(self) -> bool:
        """Try to acquire the lock without blocking; return whether this process holds it now.

        Raises:
            OSError: The file cannot be created.
        """
        if self.file is not None:
            return True
        file = open(self.path, "a")  # noqa: SIM115 - the file stays open as long as the lock is held
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            return False
        self.file = file
        return True

    def close(self) -> None:
        """Release the lock if this process holds it."""
        if self.file is not None:
            self.file.close()
            self.file = None
