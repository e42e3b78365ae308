"""The history of a gateway's configurations, and the file by which its processes share it.

The file holds one JSON array: the digest of the configuration file, the pending confirmation or null, and the
versions, each as `[number, digest, since, by, of, content]`. Gateways of other releases use it too.
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

# Versions that the history holds.
MAX_VERSIONS = 20
# Bytes of all contents. The version in force and the one before it stay whatever they take.
MAX_BYTES = 1024 * 1024
# Versions that stay whatever they take: a version that is not confirmed goes back to the one before it.
MIN_VERSIONS = 2
ORIGINS = ("start", "signal", "call", "rollback", "expiry")
PENDING_KEYS = {"number", "back", "until"}

log = logging.getLogger(__name__)

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ConfigVersion:
    """One configuration that has been in force.

    Attributes:
        number: Counts up from 1.
        digest: Of `content_json`.
        since: Unix time in seconds at which it came into force.
        origin: What brought it, one of ORIGINS.
        content: The parts of the configuration that may change.
        restored: Number of the version that came back by a rollback or an expiry.
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
        """Return the entry of the history file."""
        head = json.dumps([self.number, self.digest, self.since, self.origin, self.restored])
        return f"{head[:-1]}, {self.content_json}]"

    def to_json(self) -> JsonObject:
        """Return what an operator is shown of this version."""
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
        number: The version that waits.
        previous: The version that comes back if nobody confirms.
        deadline: Unix time in seconds.
    """

    number: int
    previous: int
    deadline: float

    def to_json(self) -> JsonObject:
        """Return the form of the history file."""
        return {"number": self.number, "back": self.previous, "until": self.deadline}


@dataclass(frozen=True, slots=True)
class ConfigHistory:
    """The versions of a configuration, the oldest first; immutable.

    Attributes:
        source_digest: Of the configuration file when it was last read.
        versions: At least one, by ascending numbers.
        pending: What waits for a confirmation; always the newest version.
    """

    source_digest: str
    versions: tuple[ConfigVersion, ...]
    pending: PendingConfirmation | None = None

    @property
    def newest(self) -> ConfigVersion:
        """The version that was added last."""
        return self.versions[-1]

    def find(self, number: int) -> ConfigVersion | None:
        """Return the version of this number, or None where the history does not hold it."""
        return next((version for version in self.versions if version.number == number), None)

    def add(
        self, content: JsonObject, since: float, origin: str, restored: int | None = None
    ) -> ConfigHistory:
        """Return a history with one version more, in which nothing is pending.

        The oldest versions are dropped past MAX_VERSIONS and MAX_BYTES.

        Args:
            content: The parts of the configuration that may change.
            since: Unix time in seconds.
            origin: One of ORIGINS.
            restored: Number of the version that comes back, if one does.
        """
        added = make_version(self.newest.number + 1, since, origin, content, restored)
        versions = [*self.versions, added][-MAX_VERSIONS:]
        while len(versions) > MIN_VERSIONS and sum(len(v.content_json) for v in versions) > MAX_BYTES:
            del versions[0]
        return replace(self, versions=tuple(versions), pending=None)

    def encode(self) -> str:
        """Return the text of the history file."""
        head = json.dumps([self.source_digest, self.pending and self.pending.to_json()])
        entries = ", ".join(version.encode() for version in self.versions)
        return f"{head[:-1]}, [{entries}]]"


def content_digest(text: str) -> str:
    """Return the short digest by which operators compare configurations."""
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def make_version(
    number: int, since: float, origin: str, content: JsonObject, restored: int | None = None
) -> ConfigVersion:
    """Return a version with its JSON and digest; the arguments are those of ConfigVersion."""
    text = json.dumps(content, sort_keys=True)
    return ConfigVersion(number, content_digest(text), since, origin, content, restored, text)


def decode_history(text: str) -> ConfigHistory:
    """Return the history that `text` encodes.

    Raises:
        CorruptHistoryError: It is not what ConfigHistory.encode() returns.
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
    """Return the confirmation that a history file names; its values are not checked here.

    Raises:
        CorruptHistoryError: It has other keys.
    """
    if not raw:
        return None
    if not isinstance(raw, dict) or raw.keys() != PENDING_KEYS:
        raise CorruptHistoryError(f"a confirmation needs {', '.join(sorted(PENDING_KEYS))}")
    return PendingConfirmation(raw["number"], raw["back"], raw["until"])


def is_valid_history(history: ConfigHistory, digests: list[Any]) -> bool:
    """Return whether the values of a decoded history are such as a gateway writes.

    Args:
        history: With values of any type.
        digests: What the file gives as the digest of each version.
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
    """Return whether a decoded confirmation has values such as a gateway writes, for versions `numbers`."""
    return (
        type(pending.number) is int
        and pending.number == numbers[-1]
        and type(pending.previous) is int
        and pending.previous in numbers
        and is_number(pending.deadline)
    )


def is_valid_version(version: ConfigVersion, digest: Any) -> bool:
    """Return whether a decoded version has values such as a gateway writes, and `digest` is its content's."""
    return (
        type(version.number) is int
        and is_number(version.since)
        and version.origin in ORIGINS
        and isinstance(version.content, dict)
        and version.digest == digest
        and (version.restored is None or type(version.restored) is int)
    )


class ConfigHistoryFile:
    """The history as the processes of one gateway share it.

    Without a folder nothing is stored: the history lasts as long as the process.
    """

    def __init__(self, folder: Path | None, gateway_name: str) -> None:
        """Name the file; it is opened only by the methods.

        Args:
            folder: Where the processes of this gateway keep their files.
            gateway_name: Begins the file's name.
        """
        self.shared_file = SharedFile(folder / f"{gateway_name}-config.json" if folder else None)

    @property
    def path(self) -> Path | None:
        """Where the history is stored; None where it is not."""
        return self.shared_file.path

    def locked(self) -> AbstractContextManager[None]:
        """Keep other processes from writing while the context lasts. Raises OSError."""
        return self.shared_file.locked()

    def has_changed(self) -> bool:
        """Return whether another process has written since the last load or save."""
        return self.shared_file.has_changed()

    def load(self) -> ConfigHistory | None:
        """Return the stored history; None, and a line in the log, where it cannot be read."""
        try:
            text = self.shared_file.read()
            return None if text is None else decode_history(text)
        except (OSError, ValueError) as err:
            log.error(
                "configuration history not read, version in force stays path=%s error=%s", self.path, err
            )
            return None

    def save(self, history: ConfigHistory) -> None:
        """Replace the stored history; to be called in locked(). Raises OSError."""
        self.shared_file.write(history.encode())

    def log_not_saved(self, error: OSError) -> None:
        """Log that the history holds in this process only."""
        log.error("configuration history not saved path=%s error=%s", self.path, error)
