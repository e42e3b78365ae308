"""A right that one process of a machine has at a time."""

from __future__ import annotations

import fcntl
from pathlib import Path
from typing import IO


class Lock:
    """Held by the lock of a file, which the kernel lets go of when the process has ended, and not before: one
    that is paused has it still."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file: IO[str] | None = None

    def take(self) -> bool:
        """Whether this process has it now. Raises OSError where there can be no such file."""
        if self.file is not None:
            return True
        file = open(self.path, "a")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            return False
        self.file = file
        return True

    def close(self) -> None:
        file, self.file = self.file, None
        if file is not None:
            file.close()
