"""The hosts that operators took out, kept where every process of this gateway finds them."""

from __future__ import annotations

import fcntl
import json
import logging
import os
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from api_gateway import interface as api

KEEP_BACK = 60.0  # s for which a host's return is told: it is warm long before

log = logging.getLogger(__name__)

Signature = tuple[int, int, int]


class UnknownHost(Exception):
    """No list has named this host."""


def read_bans(text: str) -> dict[str, api.EndpointOverride]:
    """Raises ValueError if it is not what write() makes."""
    told = json.loads(text)
    if not isinstance(told, dict):
        raise ValueError("not an object")
    bans = {}
    for host, entry in told.items():
        if not isinstance(entry, dict) or not isinstance(entry.get("out"), bool):
            raise ValueError(f"{host!r} is neither out nor back")
        at = entry.get("at")
        if isinstance(at, bool) or not isinstance(at, int | float) or not abs(at) <= sys.float_info.max:
            raise ValueError(f"{host!r} has no time")
        bans[host] = api.EndpointOverride(host, entry["out"], float(at))
    return bans


class Kept:
    """One small file that the processes of a gateway share: read whole, and replaced whole under a lock."""

    def __init__(self, path: Path | None) -> None:
        self.path = path
        self.seen: Signature | None = None

    def signature(self) -> Signature | None:
        if self.path is None:
            return None
        try:
            status = self.path.stat()
        except OSError:
            return None
        return status.st_ino, status.st_mtime_ns, status.st_size

    def changed(self) -> bool:
        """Whether another process has written since this one last read or wrote."""
        return self.path is not None and self.signature() != self.seen

    def read(self) -> str | None:
        """None where nothing was kept yet. Raises OSError, as without a descriptor, and is then to be read
        still; raises ValueError for what is no text."""
        seen = self.signature()
        try:
            data = self.path.read_bytes() if self.path else None
        except FileNotFoundError:
            data = None
        self.seen = seen
        return None if data is None else data.decode("utf-8")

    def write(self, text: str) -> None:
        """Under the lock, so that what an earlier life left half written is simply written over."""
        if self.path is None:
            return
        fresh = self.path.with_suffix(".new")
        fresh.write_text(text, encoding="utf-8")
        fresh.replace(self.path)
        self.seen = self.signature()

    @contextmanager
    def locked(self) -> Iterator[None]:
        if self.path is None:
            yield
            return
        lock = os.open(self.path.with_suffix(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield
        finally:
            os.close(lock)


class Bans:
    """Without a folder the bans last as long as the process."""

    def __init__(self, folder: Path | None, name: str) -> None:
        self.kept = Kept(folder / f"{name}-hosts-out.json" if folder else None)
        self.changed = self.kept.changed
        self.known: dict[str, api.EndpointOverride] = {}
        self.unread = False  # the file is there and cannot be read

    def read(self) -> dict[str, api.EndpointOverride]:
        """All that is known; a file that cannot be read, or is torn or foreign, changes nothing."""
        try:
            self.take()
        except OSError as err:
            if not self.unread:
                log.error("%s: %s; the hosts out stay as they were until it can be read", self.kept.path, err)
            self.unread = True
        return self.known

    def take(self) -> None:
        """Raises OSError."""
        try:
            text = self.kept.read()
            self.known = self.known if text is None else read_bans(text)
        except ValueError as err:
            log.error("%s: %s; the hosts out stay as they were", self.kept.path, err)
        self.unread = False

    def say(self, ban: api.EndpointOverride) -> None:
        """Raises OSError where it cannot be kept."""
        with self.kept.locked():
            self.take()  # else those that others said would be written over
            known = {**self.known, ban.endpoint_id: ban}
            self.known = {h: b for h, b in known.items() if b.ejected or ban.at - b.at < KEEP_BACK}
            self.kept.write(json.dumps({h: {"out": b.ejected, "at": b.at} for h, b in self.known.items()}))
