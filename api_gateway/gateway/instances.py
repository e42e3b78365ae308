"""Which processes of this gateway live: two do while a new version takes over."""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import tempfile
from pathlib import Path

log = logging.getLogger(__name__)


class Lives:
    """Each process holds the lock of a file of its own, which ends with it however it ends."""

    def __init__(self, folder: Path | None, name: str) -> None:
        self.folder, self.name, self.prefix = folder, name, f"{name}-life-"
        self.lock, self.path = -1, ""
        self.known = 0  # others at the last look

    def begin(self) -> None:
        if self.folder is None:
            return
        try:
            # Locked before it has the name by which others look for it: they would remove it as a dead one's.
            self.lock, made = tempfile.mkstemp(prefix=f"{self.name}-starting-", dir=self.folder)
            fcntl.flock(self.lock, fcntl.LOCK_EX)
            self.path = str(self.folder / (self.prefix + made.rpartition("-")[2]))
            os.rename(made, self.path)
        except OSError as err:  # it serves all the same, unseen by others
            log.error("%s: %s", self.folder, err)

    def others(self) -> int:
        """How many others live; as many as last time where nobody can tell, as without a descriptor. What
        earlier lives left behind is removed."""
        if self.folder is None:
            return 0
        try:
            paths = [path for path in self.folder.glob(self.prefix + "*") if str(path) != self.path]
            self.known = sum(self.held(path) for path in paths)
        except OSError as err:
            log.debug("%s: %s", self.folder, err)
        return self.known

    def held(self, path: Path) -> bool:
        try:
            file = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except (FileNotFoundError, PermissionError):  # it has just gone, or is none of ours
            return False
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        else:
            path.unlink(missing_ok=True)
            return False
        finally:
            os.close(file)

    def end(self) -> None:
        if self.lock >= 0:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
            os.close(self.lock)
            self.lock = -1
