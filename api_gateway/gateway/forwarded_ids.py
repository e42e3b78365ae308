"""Remembers the ids of requests that may have run, so that none of them runs a second time.

The protocol gives every request a new id. A client that left before its answer may nevertheless send its
request again, here or to the other process of an upgrade, and an endpoint would run it again.
"""

from __future__ import annotations

import fcntl
import hashlib
import logging
import os
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

# The table has this many buckets of so many ids each. A bucket that is full forgets its oldest id.
BUCKET_COUNT = 2048
BUCKET_SIZE = 8
FINGERPRINT_BYTES = 8
BUCKET_FORMAT = struct.Struct(f"={BUCKET_SIZE}Q")
TABLE_BYTES = BUCKET_COUNT * BUCKET_FORMAT.size
EMPTY = 0
NO_DESCRIPTOR = -1

log = logging.getLogger(__name__)


def fingerprint_of(request_id: str) -> int:
    """Return the number by which an id is remembered, which is never EMPTY."""
    digest = hashlib.blake2b(request_id.encode("latin-1", "replace"), digest_size=FINGERPRINT_BYTES).digest()
    return int.from_bytes(digest, "big") or 1


class ForwardedIds:
    """A table of ids of a fixed size, which the processes of a gateway share through a file.

    A process that dies leaves a valid table.
    """

    def __init__(self, path: Path | None) -> None:
        """Open the table.

        Args:
            path: The file; None if this process shares it with no other. If the file cannot be used, the
                table is private, too.
        """
        self._descriptor = NO_DESCRIPTOR
        self._private_table = bytearray()
        try:
            if path is not None:
                self._descriptor = open_table(path)
        except OSError as err:
            log.warning("forwarded ids are not shared path=%s error=%s", path, err)
        if self._descriptor == NO_DESCRIPTOR:
            self._private_table = bytearray(TABLE_BYTES)

    def __contains__(self, request_id: str) -> bool:
        """Return whether an id is remembered."""
        fingerprint = fingerprint_of(request_id)
        return fingerprint in self._read_bucket(fingerprint)

    def add(self, request_id: str) -> bool:
        """Remember an id; return False if it was remembered already, perhaps by another process."""
        fingerprint = fingerprint_of(request_id)
        with self._locked():
            bucket = self._read_bucket(fingerprint)
            if fingerprint in bucket:
                return False
            self._write_bucket(fingerprint, (fingerprint, *bucket[:-1]))
        return True

    def remove(self, request_id: str) -> None:
        """Forget an id whose request certainly never ran."""
        fingerprint = fingerprint_of(request_id)
        with self._locked():
            others = [other for other in self._read_bucket(fingerprint) if other != fingerprint]
            self._write_bucket(fingerprint, (*others, *[EMPTY] * (BUCKET_SIZE - len(others))))

    def close(self) -> None:
        """Close the file, which stays for the other processes; from now on the table is private and empty."""
        if self._descriptor != NO_DESCRIPTOR:
            os.close(self._descriptor)
            self._descriptor = NO_DESCRIPTOR
            self._private_table = bytearray(TABLE_BYTES)

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Lock the file, unless another process has: one that is stopped meanwhile must not stop this one."""
        if self._descriptor == NO_DESCRIPTOR:
            yield
            return
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            yield
            return
        try:
            yield
        finally:
            fcntl.flock(self._descriptor, fcntl.LOCK_UN)

    def _read_bucket(self, fingerprint: int) -> tuple[int, ...]:
        offset = bucket_offset(fingerprint)
        if self._descriptor == NO_DESCRIPTOR:
            return BUCKET_FORMAT.unpack_from(self._private_table, offset)
        return BUCKET_FORMAT.unpack(os.pread(self._descriptor, BUCKET_FORMAT.size, offset))

    def _write_bucket(self, fingerprint: int, bucket: tuple[int, ...]) -> None:
        offset = bucket_offset(fingerprint)
        if self._descriptor == NO_DESCRIPTOR:
            BUCKET_FORMAT.pack_into(self._private_table, offset, *bucket)
        else:
            os.pwrite(self._descriptor, BUCKET_FORMAT.pack(*bucket), offset)


def open_table(path: Path) -> int:
    """Open the file of a table, which is created empty if there is none, and return its descriptor.

    Raises:
        OSError: It cannot be opened or has no room.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        if os.fstat(descriptor).st_size != TABLE_BYTES:
            os.truncate(descriptor, 0)
            os.pwrite(descriptor, bytes(TABLE_BYTES), 0)
    except BaseException:
        os.close(descriptor)
        raise
    return descriptor


def bucket_offset(fingerprint: int) -> int:
    """Return where the bucket of an id begins in the table."""
    return fingerprint % BUCKET_COUNT * BUCKET_FORMAT.size
