"""Track the running processes of one gateway.

Two processes run while a new version takes over from the previous one.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import os
import tempfile
from pathlib import Path

log = logging.getLogger(__name__)

# Value of a descriptor attribute when no file is open.
NO_DESCRIPTOR = -1


class GatewayInstances:
    """Registers this process and counts the other processes of the same gateway.

    Each process holds a lock on its own file `NAME-life-*`. The kernel releases the lock when the process
    ends, however it ends. Until the file is locked its name is `NAME-starting-*`.
    """

    def __init__(self, folder: Path | None, name: str) -> None:
        """Store the file names without creating a file.

        Args:
            folder: The folder that the processes of this gateway share; None if they share none and cannot
                detect each other.
            name: The name of the gateway.
        """
        self.folder = folder
        self.name = name
        self.prefix = f"{name}-life-"
        self.lock_descriptor = NO_DESCRIPTOR
        self.path = ""
        self.last_count = 0

    def register(self) -> None:
        """Register this process. If its file cannot be created, the process serves clients nevertheless."""
        if self.folder is None:
            return
        try:
            # The file is locked before it gets its final name, because other processes would remove an
            # unlocked file as one of a process that has ended.
            self.lock_descriptor, new_path = tempfile.mkstemp(
                prefix=f"{self.name}-starting-", dir=self.folder
            )
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX)
            self.path = str(self.folder / (self.prefix + new_path.rpartition("-")[2]))
            os.rename(new_path, self.path)
        except OSError as err:
            log.error("process not registered folder=%s error=%s", self.folder, err)

    def count_others(self) -> int:
        """Return the number of other running processes and remove the files of those that have ended.

        If they cannot be counted, for instance because no descriptor is free, the last count is returned.
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
        """Return whether the process that owns this file is running, and remove the file if not.

        Raises:
            OSError: The file cannot be opened or locked for another reason.
        """
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        # The process has just ended or is not part of this gateway.
        except (FileNotFoundError, PermissionError):
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
        """Remove the registration of this process; further calls have no effect."""
        if self.lock_descriptor == NO_DESCRIPTOR:
            return
        with contextlib.suppress(OSError):
            os.unlink(self.path)
        os.close(self.lock_descriptor)
        self.lock_descriptor = NO_DESCRIPTOR
