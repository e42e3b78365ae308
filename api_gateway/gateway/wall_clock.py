"""Provide the clock for a gateway's decisions, which never steps, and its offset from the wall clock."""

from __future__ import annotations

import json
import logging
import time
from contextlib import suppress
from pathlib import Path

from api_gateway.base.shared_file import SharedFile

# A change of the wall clock offset by more than this many seconds between two checks counts as a step.
STEP_THRESHOLD_S = 0.25
# The content changes with each boot of the machine, which also restarts the monotonic clock.
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")

log = logging.getLogger(__name__)


def read_boot_id() -> str:
    """Return the identifier of the current boot of the machine.

    Raises:
        OSError: The identifier cannot be read.
    """
    return BOOT_ID_PATH.read_text(encoding="ascii").strip()


def read_epoch(shared_file: SharedFile, boot_id: str) -> float | None:
    """Return the epoch that a process has stored since this boot, or None if there is no valid one.

    Raises:
        OSError: The file cannot be read.
    """
    try:
        stored = json.loads(shared_file.read() or "{}")
        return float(stored["zero"]) if stored["boot"] == boot_id else None
    except (ValueError, KeyError, TypeError):
        return None


class GatewayClock:
    """Monotonic Unix time in seconds, set from the wall clock when the gateway's first process starts.

    The processes of one gateway on this machine share the epoch through a file in their shared folder. So
    timestamps stored by one process are valid in the next, even if the wall clock was stepped in between.
    """

    def __init__(self, folder: Path | None = None, name: str = "") -> None:
        """Load the stored epoch or store a new one, which is private to this process if storing fails.

        Args:
            folder: The folder that the processes of this gateway share; None to share no epoch.
            name: The name of the gateway, which is the prefix of the file name.
        """
        # Unix time in seconds at which the monotonic clock was 0.
        self.epoch = time.time() - time.monotonic()
        # Seconds by which the wall clock was ahead of this clock at the last check.
        self.wall_offset = 0.0
        self.shared_file = SharedFile(folder / f"{name}-clock.json" if folder else None)
        with suppress(OSError):
            self.load_or_store_epoch()

    def __call__(self) -> float:
        """Return the current time in seconds of Unix time."""
        return self.epoch + time.monotonic()

    def load_or_store_epoch(self) -> None:
        """Load the stored epoch, or store this one if there is none.

        Raises:
            OSError: The boot identifier or the shared file cannot be accessed.
        """
        if self.shared_file.path is None:
            return
        boot_id = read_boot_id()
        with self.shared_file.locked():
            epoch = read_epoch(self.shared_file, boot_id)
            if epoch is not None:
                self.epoch = epoch
            else:
                self.shared_file.write(json.dumps({"boot": boot_id, "zero": self.epoch}))

    def has_wall_clock_stepped(self) -> bool:
        """Return whether the wall clock has stepped since the last call."""
        previous = self.wall_offset
        self.wall_offset = time.time() - self()
        return abs(self.wall_offset - previous) > STEP_THRESHOLD_S
