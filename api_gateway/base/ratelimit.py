"""Log lines of which a peer could cause any number: one in a while, with how many were left out."""

from __future__ import annotations

import logging
from time import monotonic
from typing import Any

EVERY = 10.0  # s


class LimitedLog:
    def __init__(self, log: logging.Logger, every: float = EVERY) -> None:
        self.log, self.every = log, every
        self.next, self.left_out = 0.0, 0

    def say(self, level: int, text: str, *args: Any) -> None:
        now = monotonic()
        if now < self.next:
            self.left_out += 1
            return
        more = f" ({self.left_out} such lines before it are left out)" if self.left_out else ""
        self.next, self.left_out = now + self.every, 0
        self.log.log(level, text + more, *args)
