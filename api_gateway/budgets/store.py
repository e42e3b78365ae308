"""The grant log: what was granted, on disk before it is sent.

It is a file of SQLite, for its atomic commits and its recovery.

A corrupt file is recognized by its form and put aside; then nothing is known of earlier grants, as with a
file that says that it does not hold all of them. Full disks and failing writes raise GrantLogError, and the
next write is complete, in one transaction, whatever the file holds by then.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from api_gateway.budgets.errors import GrantLogError
from api_gateway.budgets.lock import FileLock
from api_gateway.budgets.records import GrantKey, StoredGrant
from api_gateway.budgets.terms import Terms

BUSY_TIMEOUT_S = 0.2  # that SQLite waits for another process's transaction
CORRUPT_SUFFIX = ".torn"

# The names of tables and columns are those of stored files.
TABLES = """
CREATE TABLE IF NOT EXISTS held (name TEXT, life INTEGER, budget TEXT, cover REAL, hold REAL, linger REAL,
                                 PRIMARY KEY (name, life, budget)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS state (only INTEGER PRIMARY KEY CHECK (only = 0), told TEXT);
"""


class LogState(msgspec.Struct, frozen=True):
    """What the log says of all rows together, stored as JSON.

    Attributes:
        term: The newest term of the grantor.
        is_complete: Whether the rows are all that is granted.
        longest_lifetime: Seconds after which nothing is in use any more of what was granted, whether or not
            it stands here.
        fixed_terms: What gateways that hear nothing go by, and no restart can change.
    """

    term: int = 0
    is_complete: bool = msgspec.field(default=False, name="whole")
    longest_lifetime: float = msgspec.field(default=0.0, name="longest")
    fixed_terms: dict[str, float | str] = msgspec.field(default_factory=dict, name="fixed")


def fixed_terms_of(terms: Terms) -> dict[str, float | str]:
    """Returns the terms that no restart can change, by the names that the log holds them under."""
    fixed: dict[str, float | str] = {"most": float(terms.max_gateways), "drift": terms.clock_drift}
    for budget in terms.budgets:
        fixed[f"kind of {budget.name}"] = budget.kind
        fixed[f"reserve of {budget.name}"] = budget.reserve
    return fixed


@dataclass(frozen=True, slots=True)
class GrantLog:
    """What was read.

    Attributes:
        state: Of all rows together.
        rows: The grants.
        was_corrupt: Whether there was a file that is of no use, which is now put aside.
    """

    state: LogState
    rows: dict[GrantKey, StoredGrant] = field(default_factory=dict)
    was_corrupt: bool = False

    def complete_rows(self) -> dict[GrantKey, StoredGrant] | None:
        """Returns the grants, or None where the log does not hold all of them."""
        return self.rows if self.state.is_complete else None


class GrantStore:
    """The log's file, used by one thread at a time.

    While its process lives no other has the log, also where this one cannot write: its grants are renewed as
    long as it runs.
    """

    def __init__(self, path: Path) -> None:
        """Opens nothing yet."""
        self.path = path
        self.lock = FileLock(Path(f"{path}.lock"))
        self.connection: sqlite3.Connection | None = None

    def open(self) -> GrantLog:
        """Locks the log and reads it; a corrupt file is put aside.

        Raises:
            GrantLogError: Another process has it, or the disk does not give or take it.
        """
        try:
            if not self.lock.acquire():
                raise GrantLogError(self.path, "another grantor has it")
            try:
                return self.load()
            except sqlite3.OperationalError:
                raise
            except (sqlite3.DatabaseError, TypeError, ValueError):
                self.put_aside()
                return self.load(was_corrupt=True)
        except (sqlite3.Error, OSError) as err:
            self.disconnect()
            raise GrantLogError(self.path, err) from err

    def put_aside(self) -> None:
        """Renames the file and its journal."""
        self.disconnect()
        for path in (self.path, Path(f"{self.path}-journal")):
            if path.exists():
                os.replace(path, f"{path}{CORRUPT_SUFFIX}")

    def load(self, *, was_corrupt: bool = False) -> GrantLog:
        """Connects, makes the tables where there are none, and reads them.

        Raises:
            sqlite3.Error: The file is no database, is corrupt, or cannot be read.
        """
        connection = self.connect()
        connection.execute("BEGIN EXCLUSIVE")
        for statement in TABLES.strip().split(";\n"):
            connection.execute(statement)
        if [row[0] for row in connection.execute("PRAGMA quick_check")] != ["ok"]:
            raise sqlite3.DatabaseError("quick_check")
        stored_state = connection.execute("SELECT told FROM state").fetchone()
        state = msgspec.json.decode(stored_state[0], type=LogState) if stored_state else LogState()
        rows = {
            GrantKey(str(name), int(incarnation), str(budget)): StoredGrant(
                float(amount), float(lifetime), float(release_delay)
            )
            for name, incarnation, budget, amount, lifetime, release_delay in connection.execute(
                "SELECT * FROM held"
            )
        }
        connection.execute("COMMIT")
        return GrantLog(state, rows, was_corrupt)

    def connect(self) -> sqlite3.Connection:
        """Returns a connection that has the file to itself and syncs each commit."""
        connection = sqlite3.connect(
            self.path, timeout=BUSY_TIMEOUT_S, isolation_level=None, check_same_thread=False
        )
        self.connection = connection
        connection.execute("PRAGMA page_size = 1024")
        connection.execute("PRAGMA locking_mode = EXCLUSIVE")
        connection.execute("PRAGMA journal_mode = DELETE")
        connection.execute("PRAGMA synchronous = EXTRA")
        return connection

    def write(self, rows: Mapping[GrantKey, StoredGrant], state: LogState, *, complete: bool) -> None:
        """Writes rows and state in one transaction, which is on disk when this returns.

        Args:
            rows: Grants that have changed; an amount of 0 deletes one.
            state: Of all rows together.
            complete: Whether the rows are all there are: others are deleted.

        Raises:
            GrantLogError: The disk did not take it.
        """
        try:
            if self.connection is None:
                self.open()
            connection = self.connection
            assert connection is not None
            connection.execute("BEGIN IMMEDIATE")
            if complete:
                connection.execute("DELETE FROM held")
            connection.executemany(
                "DELETE FROM held WHERE name = ? AND life = ? AND budget = ?",
                [key for key, stored in rows.items() if not stored.amount],
            )
            connection.executemany(
                "INSERT OR REPLACE INTO held VALUES (?, ?, ?, ?, ?, ?)",
                [(*key, *stored) for key, stored in rows.items() if stored.amount],
            )
            document = msgspec.json.encode(state).decode()
            connection.execute("INSERT OR REPLACE INTO state VALUES (0, ?)", (document,))
            connection.execute("COMMIT")
        except (sqlite3.Error, OSError) as err:
            self.disconnect()  # what the connection holds in memory may not be what is on disk
            raise GrantLogError(self.path, err) from err

    def disconnect(self) -> None:
        """Closes the connection; the lock stays."""
        if self.connection is not None:
            connection = self.connection
            self.connection = None
            connection.close()

    def close(self) -> None:
        """Closes the connection and releases the lock."""
        self.disconnect()
        self.lock.close()
