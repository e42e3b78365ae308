"""The clock of a gateway's decisions, which never steps, and what is seen of the machine's wall clock."""

from __future__ import annotations

import json
import logging
import time
from contextlib import suppress
from pathlib import Path

from api_gateway.base.shared_file import Kept

STEP = 0.25  # s; a wall clock that moves by more between two looks has been stepped
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")  # another one with each start of the machine

log = logging.getLogger(__name__)


def boot_id() -> str:
    """Raises OSError."""
    return BOOT_ID.read_text(encoding="ascii").strip()


def read_zero(kept: Kept, boot: str) -> float | None:
    """The beginning that was kept in this life of the machine; None where there is none to be read."""
    try:
        told = json.loads(kept.read() or "{}")
        return float(told["zero"]) if told["boot"] == boot else None
    except (ValueError, KeyError, TypeError):
        return None


class Clock:
    """Seconds of Unix time as the wall clock had it when the gateway's first process on this machine began,
    and monotonic from there on.

    With a folder the processes of one gateway share that beginning, so that times which one of them writes
    down mean the same to the next, however the wall clock was stepped between them.
    """

    def __init__(self, folder: Path | None = None, name: str = "") -> None:
        self.zero = time.time() - time.monotonic()
        self.wall_offset = 0.0  # s by which the wall clock was ahead of this one at the last look
        self.kept = Kept(folder / f"{name}-clock.json" if folder else None)
        with suppress(OSError):  # then it is this process's own
            self.share()

    def __call__(self) -> float:
        return self.zero + time.monotonic()

    def share(self) -> None:
        """Takes the beginning that is kept, or keeps this one. Raises OSError."""
        if self.kept.path is None:
            return
        boot = boot_id()
        with self.kept.locked():
            zero = read_zero(self.kept, boot)
            if zero is not None:
                self.zero = zero
            else:
                self.kept.write(json.dumps({"boot": boot, "zero": self.zero}))

    def wall_stepped(self) -> bool:
        """Whether the wall clock has stepped since the last look."""
        last, self.wall_offset = self.wall_offset, time.time() - self()
        return abs(self.wall_offset - last) > STEP
