"""The history of a gateway's configurations, and the file through which its processes share it.

The file holds one JSON array: the digest of the configuration file, the pending confirmation or null, and the
versions, each as `[number, digest, since, by, of, content]`. Other releases of the gateway read and write the
same file, so its format must stay compatible.
"""

from __future__ import annotations

import hashlib
import json
import logging
from contextlib import AbstractContextManager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from api_gateway.base.shared_file import SharedFile
from api_gateway.control.config_schema import is_number
from api_gateway.control.errors import CorruptHistoryError

# Maximum number of versions in the history.
MAX_VERSIONS = 20
# Maximum total bytes of all contents; the newest MIN_VERSIONS versions stay even above it.
MAX_BYTES = 1024 * 1024
# Versions kept regardless of their size, because an unconfirmed version is rolled back to the one before it.
MIN_VERSIONS = 2
ORIGINS = ("start", "signal", "call", "rollback", "expiry")
PENDING_KEYS = {"number", "back", "until"}

log = logging.getLogger(__name__)

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ConfigVersion:
    """One configuration that has been in force.

    Attributes:
        number: The version number, counted up from 1.
        digest: The digest of `content_json`.
        since: Unix time in seconds at which the version came into force.
        origin: The source of the change, one of ORIGINS.
        content: The parts of the configuration that may change.
        restored: The number of the version that a rollback or an expiry restored, if any.
        content_json: `content` as JSON, encoded once.
    """

    number: int
    digest: str
    since: float
    origin: str
    content: JsonObject
    restored: int | None = None
    content_json: str = field(default="", compare=False)

    def encode(self) -> str:
        """Return the version as an entry of the history file."""
        head = json.dumps([self.number, self.digest, self.since, self.origin, self.restored])
        return f"{head[:-1]}, {self.content_json}]"

    def to_json(self) -> JsonObject:
        """Return the description of this version in answers to operators."""
        shown: JsonObject = {
            "version": self.number,
            "digest": self.digest,
            "since": round(self.since, 3),
            "by": self.origin,
        }
        if self.restored is not None:
            shown["of"] = self.restored
        return shown


@dataclass(frozen=True, slots=True)
class PendingConfirmation:
    """A version that is rolled back unless an operator confirms it in time.

    Attributes:
        number: The version that awaits confirmation.
        previous: The version that is restored if no operator confirms.
        deadline: Unix time in seconds at which the version expires.
    """

    number: int
    previous: int
    deadline: float

    def to_json(self) -> JsonObject:
        """Return the confirmation in the format of the history file."""
        return {"number": self.number, "back": self.previous, "until": self.deadline}


@dataclass(frozen=True, slots=True)
class ConfigHistory:
    """The versions of a configuration; immutable.

    Attributes:
        source_digest: The digest of the configuration file when it was last read.
        versions: At least one version, in ascending order of their numbers.
        pending: The pending confirmation, always of the newest version; None if there is none.
    """

    source_digest: str
    versions: tuple[ConfigVersion, ...]
    pending: PendingConfirmation | None = None

    @property
    def newest(self) -> ConfigVersion:
        """The most recently added version."""
        return self.versions[-1]

    def find(self, number: int) -> ConfigVersion | None:
        """Return the version with this number, or None if the history does not contain it."""
        return next((version for version in self.versions if version.number == number), None)

    def add(
        self, content: JsonObject, since: float, origin: str, restored: int | None = None
    ) -> ConfigHistory:
        """Return a history with one more version and no pending confirmation.

        The oldest versions are dropped to stay within MAX_VERSIONS and MAX_BYTES.

        Args:
            content: The parts of the configuration that may change.
            since: Unix time in seconds at which the version comes into force.
            origin: One of ORIGINS.
            restored: The number of the version that is restored, if any.
        """
        added = make_version(self.newest.number + 1, since, origin, content, restored)
        versions = [*self.versions, added][-MAX_VERSIONS:]
        while len(versions) > MIN_VERSIONS and sum(len(v.content_json) for v in versions) > MAX_BYTES:
            del versions[0]
        return replace(self, versions=tuple(versions), pending=None)

    def encode(self) -> str:
        """Return the content of the history file."""
        head = json.dumps([self.source_digest, self.pending and self.pending.to_json()])
        entries = ", ".join(version.encode() for version in self.versions)
        return f"{head[:-1]}, [{entries}]]"


def content_digest(text: str) -> str:
    """Return a short digest with which operators compare configurations."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def make_version(
    number: int, since: float, origin: str, content: JsonObject, restored: int | None = None
) -> ConfigVersion:
    """Create a version and compute its JSON and digest; the arguments are those of ConfigVersion."""
    text = json.dumps(content, sort_keys=True)
    return ConfigVersion(number, content_digest(text), since, origin, content, restored, text)


def decode_history(text: str) -> ConfigHistory:
    """Decode the content of a history file.

    Raises:
        CorruptHistoryError: The text is not a history as ConfigHistory.encode() writes it.
    """
    try:
        source_digest, raw_pending, raw_versions = json.loads(text)
        versions = tuple(
            make_version(number, since, origin, content, restored)
            for number, _, since, origin, restored, content in raw_versions
        )
        digests = [entry[1] for entry in raw_versions]
        pending = decode_pending(raw_pending)
        history = ConfigHistory(source_digest, versions, pending)
        is_valid = is_valid_history(history, digests)
    except CorruptHistoryError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as err:
        raise CorruptHistoryError(f"{type(err).__name__} {err}") from err
    if not is_valid:
        raise CorruptHistoryError("")
    return history


def decode_pending(raw: Any) -> PendingConfirmation | None:
    """Decode the pending confirmation of a history file, without checking its values.

    Raises:
        CorruptHistoryError: The confirmation does not have exactly the keys in PENDING_KEYS.
    """
    if not raw:
        return None
    if not isinstance(raw, dict) or raw.keys() != PENDING_KEYS:
        raise CorruptHistoryError(f"the keys of a confirmation must be {', '.join(sorted(PENDING_KEYS))}")
    return PendingConfirmation(raw["number"], raw["back"], raw["until"])


def is_valid_history(history: ConfigHistory, digests: list[Any]) -> bool:
    """Return whether the values of a decoded history are valid.

    Args:
        history: The history, whose values may be of any type.
        digests: The digest that the file contains for each version.
    """
    versions = history.versions
    if not versions or not isinstance(history.source_digest, str):
        return False
    if not all(is_valid_version(v, digest) for v, digest in zip(versions, digests, strict=True)):
        return False
    numbers = [version.number for version in versions]
    if numbers != sorted(set(numbers)):
        return False
    return history.pending is None or is_valid_pending(history.pending, numbers)


def is_valid_pending(pending: PendingConfirmation, numbers: list[int]) -> bool:
    """Return whether a decoded confirmation has valid values and names the newest version in `numbers`."""
    return (
        type(pending.number) is int
        and pending.number == numbers[-1]
        and type(pending.previous) is int
        and pending.previous in numbers
        and is_number(pending.deadline)
    )


def is_valid_version(version: ConfigVersion, digest: Any) -> bool:
    """Return whether a decoded version has valid values and its content matches `digest`."""
    return (
        type(version.number) is int
        and is_number(version.since)
        and version.origin in ORIGINS
        and isinstance(version.content, dict)
        and version.digest == digest
        and (version.restored is None or type(version.restored) is int)
    )


class ConfigHistoryFile:
    """The file in which the processes of one gateway share their history.

    Without a folder nothing is stored, and the history is lost when the process ends.
    """

    def __init__(self, folder: Path | None, gateway_name: str) -> None:
        """Set the path of the file without opening it.

        Args:
            folder: The folder in which the processes of this gateway store their files.
            gateway_name: The name of the gateway, with which the file name begins.
        """
        self.shared_file = SharedFile(folder / f"{gateway_name}-config.json" if folder else None)

    @property
    def path(self) -> Path | None:
        """The path of the history file; None if the history is not stored."""
        return self.shared_file.path

    def locked(self) -> AbstractContextManager[None]:
        """Return a context that prevents other processes from writing. Raises OSError."""
        return self.shared_file.locked()

    def has_changed(self) -> bool:
        """Return whether another process has written the file since the last load or save."""
        return self.shared_file.has_changed()

    def load(self) -> ConfigHistory | None:
        """Return the stored history; None if there is none, or if it cannot be read, which is logged."""
        try:
            text = self.shared_file.read()
            return None if text is None else decode_history(text)
        except (OSError, ValueError) as err:
            log.error(
                "configuration history not read, version in force stays path=%s error=%s", self.path, err
            )
            return None

    def save(self, history: ConfigHistory) -> None:
        """Replace the stored history; call it only within locked(). Raises OSError."""
        self.shared_file.write(history.encode())

    def log_not_saved(self, error: OSError) -> None:
        """Log that the history could not be stored and is in effect in this process only."""
        log.error("configuration history not saved path=%s error=%s", self.path, error)
