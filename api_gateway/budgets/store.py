"""What was granted, on disk before it is told: a file of SQLite, which brings atomic commits and recovery.

A file that is torn is known by its form and put aside; then nothing is known of earlier grants. So it is with
one that says it does not hold all of them. Full disks and failing writes raise StoreError, and the next write
is all that there is, in one transaction, whatever the file holds by then.
"""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from api_gateway.budgets.grantor import Held, Key
from api_gateway.budgets.lock import Lock
from api_gateway.budgets.terms import Terms

TABLES = """
CREATE TABLE IF NOT EXISTS held (name TEXT, life INTEGER, budget TEXT, cover REAL, hold REAL, linger REAL,
                                 PRIMARY KEY (name, life, budget)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS state (only INTEGER PRIMARY KEY CHECK (only = 0), told TEXT);
"""


class State(msgspec.Struct, frozen=True):
    """What the log says of all rows together. `whole`: they are all that is granted; `longest`: s after which
    nothing is in use any more of what was granted, whether or not it stands here; `fixed`: what gateways that
    hear nothing go by, and no restart can change."""

    term: int = 0
    whole: bool = False
    longest: float = 0.0
    fixed: dict[str, float | str] = {}


def fixed(terms: Terms) -> dict[str, float | str]:
    told: dict[str, float | str] = {"most": float(terms.most), "drift": terms.drift}
    for budget in terms.budgets:
        told |= {f"kind of {budget.name}": budget.kind, f"reserve of {budget.name}": budget.reserve}
    return told


@dataclass(frozen=True, slots=True)
class Log:
    """What was read: `torn` says that there was a file that is of no use, which is now put aside."""

    state: State
    rows: dict[Key, Held] = field(default_factory=dict)
    torn: bool = False

    def covers(self) -> dict[Key, Held] | None:
        """None: it does not hold all that is granted."""
        return self.rows if self.state.whole else None


class StoreError(Exception):
    """The disk did not take it; the text says why in one line."""


class Store:
    """Used by one thread at a time. While its process lives no other has the log, also where this one cannot
    write: its grants are renewed as long as it runs."""

    def __init__(self, path: Path) -> None:
        self.path, self.lock = path, Lock(Path(f"{path}.lock"))
        self.base: sqlite3.Connection | None = None

    def open(self) -> Log:
        """Raises StoreError."""
        try:
            if not self.lock.take():
                raise StoreError(f"{self.path}: another grantor has it")
            try:
                return self.load()
            except sqlite3.OperationalError:
                raise
            except (sqlite3.DatabaseError, TypeError, ValueError):
                self.put_aside()
                return self.load(torn=True)
        except (sqlite3.Error, OSError) as err:
            self.disconnect()
            raise StoreError(f"{self.path}: {err}") from err

    def put_aside(self) -> None:
        self.disconnect()
        for path in (self.path, Path(f"{self.path}-journal")):
            if path.exists():
                os.replace(path, f"{path}.torn")

    def load(self, torn: bool = False) -> Log:
        self.base = base = sqlite3.connect(
            self.path, timeout=0.2, isolation_level=None, check_same_thread=False
        )
        base.execute("PRAGMA page_size = 1024")
        base.execute("PRAGMA locking_mode = EXCLUSIVE")
        base.execute("PRAGMA journal_mode = DELETE")
        base.execute("PRAGMA synchronous = EXTRA")
        base.execute("BEGIN EXCLUSIVE")
        for statement in TABLES.strip().split(";\n"):
            base.execute(statement)
        if [row[0] for row in base.execute("PRAGMA quick_check")] != ["ok"]:
            raise sqlite3.DatabaseError("quick_check")
        told = base.execute("SELECT told FROM state").fetchone()
        state = msgspec.json.decode(told[0], type=State) if told else State()
        rows = {
            (str(name), int(life), str(budget)): Held(float(cover), float(hold), float(linger))
            for name, life, budget, cover, hold, linger in base.execute("SELECT * FROM held")
        }
        base.execute("COMMIT")
        return Log(state, rows, torn)

    def write(self, rows: Mapping[Key, Held], state: State, all_of_it: bool) -> None:
        """On disk when it returns. A cover of 0 is none. Raises StoreError."""
        try:
            if self.base is None:
                self.open()
            base = self.base
            assert base is not None
            base.execute("BEGIN IMMEDIATE")
            if all_of_it:
                base.execute("DELETE FROM held")
            base.executemany(
                "DELETE FROM held WHERE name = ? AND life = ? AND budget = ?",
                [key for key, held in rows.items() if not held.cover],
            )
            base.executemany(
                "INSERT OR REPLACE INTO held VALUES (?, ?, ?, ?, ?, ?)",
                [(*key, *held) for key, held in rows.items() if held.cover],
            )
            base.execute("INSERT OR REPLACE INTO state VALUES (0, ?)", (msgspec.json.encode(state).decode(),))
            base.execute("COMMIT")
        except (sqlite3.Error, OSError) as err:
            self.disconnect()  # what it holds in memory may not be what is on disk
            raise StoreError(f"{self.path}: {err}") from err

    def disconnect(self) -> None:
        base, self.base = self.base, None
        if base is not None:
            base.close()

    def close(self) -> None:
        self.disconnect()
        self.lock.close()
