"""A right that one process of a machine has at a time."""

from __future__ import annotations

import fcntl
from pathlib import Path
from typing import IO


class FileLock:
    """An exclusive lock of a file.

    The kernel releases it when the process has ended, and not before: a process that is paused has it still.
    """

    def __init__(self, path: Path) -> None:
        """Takes nothing yet; `path` is made when the lock is first acquired."""
        self.path = path
        self.file: IO[str] | None = None

    def acquire(self) -> bool:
        """Returns whether this process has the lock now; does not wait.

        Raises:
            OSError: The file cannot be made.
        """
        if self.file is not None:
            return True
        file = open(self.path, "a")  # noqa: SIM115 - it stays open as long as the lock is held
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            return False
        self.file = file
        return True

    def close(self) -> None:
        """Releases the lock, if this process has it."""
        if self.file is not None:
            self.file.close()
            self.file = None
