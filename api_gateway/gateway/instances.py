"""Which processes of this gateway run: there are two while a new version takes over from the last one."""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import tempfile
from pathlib import Path

log = logging.getLogger(__name__)

# No descriptor is open.
CLOSED = -1


class GatewayInstances:
    """The processes of one gateway, each known to the others by a file of its own that it locks.

    The lock ends with the process, however that ends. `NAME-life-*` are the files; `NAME-starting-*` is one
    before it is locked.
    """

    def __init__(self, folder: Path | None, name: str) -> None:
        """Name the files, without making one.

        Args:
            folder: Where the processes of this gateway keep their files; None: they don't know each other.
            name: The gateway's.
        """
        self.folder = folder
        self.name = name
        self.prefix = f"{name}-life-"
        self.lock_descriptor = CLOSED
        self.path = ""
        self.last_count = 0

    def register(self) -> None:
        """Make this process known; where its file cannot be made it serves all the same."""
        if self.folder is None:
            return
        try:
            # Locked before it has the name by which others find it: they would remove it as a dead one's.
            self.lock_descriptor, new_path = tempfile.mkstemp(
                prefix=f"{self.name}-starting-", dir=self.folder
            )
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX)
            self.path = str(self.folder / (self.prefix + new_path.rpartition("-")[2]))
            os.rename(new_path, self.path)
        except OSError as err:
            log.error("process not registered folder=%s error=%s", self.folder, err)

    def count_others(self) -> int:
        """Return how many other processes run, and remove the files of those that ended.

        As many as last time where that cannot be seen, as without a descriptor.
        """
        if self.folder is None:
            return 0
        try:
            paths = [path for path in self.folder.glob(self.prefix + "*") if str(path) != self.path]
            self.last_count = sum(self.is_running(path) for path in paths)
        except OSError as err:
            log.debug("processes not counted folder=%s error=%s", self.folder, err)
        return self.last_count

    def is_running(self, path: Path) -> bool:
        """Return whether the process of this file runs, and remove the file if not.

        Raises:
            OSError: It cannot be seen.
        """
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except (FileNotFoundError, PermissionError):  # it has just ended, or is none of this gateway's
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        else:
            path.unlink(missing_ok=True)
            return False
        finally:
            os.close(descriptor)

    def unregister(self) -> None:
        """Let the others know that this process ends; twice is no harm."""
        if self.lock_descriptor == CLOSED:
            return
        with contextlib.suppress(OSError):
            os.unlink(self.path)
        os.close(self.lock_descriptor)
        self.lock_descriptor = CLOSED
