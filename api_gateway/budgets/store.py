"""The grant log, which stores grants on disk before they are sent.

It is an SQLite database, for its atomic commits and its crash recovery.

A corrupt file fails SQLite's integrity check or does not decode, and is renamed. Earlier grants are then
unknown, as with a file that is marked as incomplete. Full disks and failing writes raise GrantLogError. The
next write then replaces all rows in one transaction, whatever the file contains by then.
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
from api_gateway.budgets.settings import BudgetSettings

BUSY_TIMEOUT_S = 0.2  # time that SQLite waits for another process's transaction
CORRUPT_SUFFIX = ".torn"  # appended to the name of a corrupt file

# Existing files use these names of tables and columns.
TABLES = """
CREATE TABLE IF NOT EXISTS held (name TEXT, life INTEGER, budget TEXT, cover REAL, hold REAL, linger REAL,
                                 PRIMARY KEY (name, life, budget)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS state (only INTEGER PRIMARY KEY CHECK (only = 0), told TEXT);
"""


class LogState(msgspec.Struct, frozen=True):
    """The state of the log as a whole, stored as JSON.

    Attributes:
        term: The newest term of the grantor.
        is_complete: Whether the rows are all grants that may be in use.
        longest_lifetime: Seconds after which no granted unit is in use any more, including grants that the
            log does not contain.
        fixed_settings: The settings that a restart must not change, because gateways are not notified.
    """

    term: int = 0
    is_complete: bool = msgspec.field(default=False, name="whole")
    longest_lifetime: float = msgspec.field(default=0.0, name="longest")
    fixed_settings: dict[str, float | str] = msgspec.field(default_factory=dict, name="fixed")


def fixed_settings_of(settings: BudgetSettings) -> dict[str, float | str]:
    """Return the settings that a restart must not change, by their names in the log."""
    fixed: dict[str, float | str] = {"most": float(settings.max_gateways), "drift": settings.clock_drift}
    for budget in settings.budgets:
        fixed[f"kind of {budget.name}"] = budget.kind
        fixed[f"reserve of {budget.name}"] = budget.reserve
    return fixed


@dataclass(frozen=True, slots=True)
class GrantLog:
    """The contents of the log.

    Attributes:
        state: The state of the log as a whole.
        rows: The grants.
        was_corrupt: Whether the file was corrupt and has been renamed.
    """

    state: LogState
    rows: dict[GrantKey, StoredGrant] = field(default_factory=dict)
    was_corrupt: bool = False

    def complete_rows(self) -> dict[GrantKey, StoredGrant] | None:
        """Return the grants, or None if the log does not contain all of them."""
        return self.rows if self.state.is_complete else None


class GrantStore:
    """The file of the grant log. It is used by one thread at a time.

    No other process can open the log while this one runs, even if this one cannot write to it, because this
    process goes on renewing its grants.
    """

    def __init__(self, path: Path) -> None:
        """Create the store without opening the file."""
        self.path = path
        self.lock = FileLock(Path(f"{path}.lock"))
        self.connection: sqlite3.Connection | None = None

    def open(self) -> GrantLog:
        """Lock the log and read it; rename a corrupt file and start a new one.

        Raises:
            GrantLogError: Another process holds the lock, or the file cannot be read or written.
        """
        try:
            if not self.lock.acquire():
                raise GrantLogError(self.path, "another grantor has it")
            try:
                return self.load()
            except sqlite3.OperationalError:
                raise
            except (sqlite3.DatabaseError, TypeError, ValueError):
                self.quarantine()
                return self.load(was_corrupt=True)
        except (sqlite3.Error, OSError) as err:
            self.disconnect()
            raise GrantLogError(self.path, err) from err

    def quarantine(self) -> None:
        """Rename the corrupt file and its journal."""
        self.disconnect()
        for path in (self.path, Path(f"{self.path}-journal")):
            if path.exists():
                os.replace(path, f"{path}{CORRUPT_SUFFIX}")

    def load(self, *, was_corrupt: bool = False) -> GrantLog:
        """Connect, create the tables if they are missing, and read them.

        Raises:
            sqlite3.Error: The file is not a database, is corrupt, or cannot be read.
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
        """Open a connection that locks the file exclusively and syncs each commit to disk."""
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
        """Write rows and state in one transaction, which is on disk when this returns.

        Args:
            rows: Grants that have changed; an amount of 0 deletes the row.
            state: The state of the log as a whole.
            complete: Whether to delete all other rows first.

        Raises:
            GrantLogError: The file could not be opened or written.
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
            self.disconnect()  # its cached pages may differ from the file
            raise GrantLogError(self.path, err) from err

    def disconnect(self) -> None:
        """Close the connection without releasing the lock."""
        if self.connection is not None:
            connection = self.connection
            self.connection = None
            connection.close()

    def close(self) -> None:
        """Close the connection and release the lock."""
        self.disconnect()
        self.lock.close()
