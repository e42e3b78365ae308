"""The clock of a gateway's decisions, which never steps, and how far the machine's wall clock is from it."""

from __future__ import annotations

import json
import logging
import time
from contextlib import suppress
from pathlib import Path

from api_gateway.base.shared_file import SharedFile

# Seconds; a wall clock that moves by more between two checks has been stepped.
STEP_THRESHOLD_S = 0.25
# Holds another text after each boot of the machine, when the monotonic clock begins anew.
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")

log = logging.getLogger(__name__)


def read_boot_id() -> str:
    """Return what tells this boot of the machine from others. Raises OSError."""
    return BOOT_ID_PATH.read_text(encoding="ascii").strip()


def read_epoch(shared_file: SharedFile, boot_id: str) -> float | None:
    """Return the epoch that a process stored since this boot; None where there is none to be read.

    Raises:
        OSError: The file cannot be read.
    """
    try:
        raw = json.loads(shared_file.read() or "{}")
        return float(raw["zero"]) if raw["boot"] == boot_id else None
    except (ValueError, KeyError, TypeError):
        return None


class GatewayClock:
    """Seconds of Unix time as the wall clock had it when the gateway's first process began, monotonic since.

    With a folder the processes of one gateway on this machine share that epoch, so that times which one of
    them stores mean the same to the next, however the wall clock was stepped between them.
    """

    def __init__(self, folder: Path | None = None, name: str = "") -> None:
        """Take the stored epoch or store a new one; what cannot be stored is this process's own.

        Args:
            folder: Where the processes of this gateway keep their files; None: nothing is shared.
            name: The gateway's, which begins the file's name.
        """
        # Unix time in seconds at which the monotonic clock was 0.
        self.epoch = time.time() - time.monotonic()
        # Seconds by which the wall clock was ahead of this one at the last check.
        self.wall_offset = 0.0
        self.shared_file = SharedFile(folder / f"{name}-clock.json" if folder else None)
        with suppress(OSError):
            self.share_epoch()

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.epoch + time.monotonic()

    def share_epoch(self) -> None:
        """Take the epoch that is stored, or store this one. Raises OSError."""
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
