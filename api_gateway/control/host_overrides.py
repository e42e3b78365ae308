"""Host overrides set by operators, stored in a file that all processes of a gateway share.

The file holds one JSON object keyed by host id, with `out` (whether the host is ejected) and `at` (Unix time
in seconds of the operator's call). Other releases of the gateway read and write the same file, so its format
must stay compatible.
"""

from __future__ import annotations

import json
import logging
import sys
from pathlib import Path
from typing import Any

from api_gateway import interface as api
from api_gateway.base.shared_file import SharedFile
from api_gateway.control.errors import ControlError

# Seconds for which the end of an override is stored; the host's slow start ends long before.
ENDED_OVERRIDE_TTL_S = 60.0

log = logging.getLogger(__name__)


class UnknownHostError(ControlError):
    """No endpoint list has contained this host."""

    def __init__(self, endpoint_id: str) -> None:
        """Store the host id that the operator gave."""
        super().__init__(endpoint_id)
        self.endpoint_id = endpoint_id


def encode_overrides(overrides: dict[str, api.EndpointOverride]) -> str:
    """Return the content of the file."""
    return json.dumps({host: {"out": o.ejected, "at": o.overridden_at} for host, o in overrides.items()})


def decode_overrides(text: str) -> dict[str, api.EndpointOverride]:
    """Return the overrides, keyed by host id.

    Raises:
        ValueError: The text is not in the format that encode_overrides() writes.
    """
    raw = json.loads(text)
    if not isinstance(raw, dict):
        raise ValueError("not an object")
    return {endpoint_id: decode_override(endpoint_id, entry) for endpoint_id, entry in raw.items()}


def decode_override(endpoint_id: str, entry: Any) -> api.EndpointOverride:
    """Decode one entry of the file. Raises ValueError if the entry is invalid."""
    if not isinstance(entry, dict) or not isinstance(entry.get("out"), bool):
        raise ValueError(f"entry of {endpoint_id!r} lacks a boolean 'out'")
    overridden_at = entry.get("at")
    if (
        isinstance(overridden_at, bool)
        or not isinstance(overridden_at, int | float)
        or not abs(overridden_at) <= sys.float_info.max
    ):
        raise ValueError(f"entry of {endpoint_id!r} lacks a valid time 'at'")
    return api.EndpointOverride(endpoint_id, entry["out"], float(overridden_at))


class HostOverrides:
    """The host overrides shared by the processes of one gateway.

    Without a folder they are not stored, and are lost when the process ends.
    """

    def __init__(self, folder: Path | None, gateway_name: str) -> None:
        """Set the path of the file without reading it.

        Args:
            folder: The folder in which the processes of this gateway store their files.
            gateway_name: The name of the gateway, with which the file name begins.
        """
        self.shared_file = SharedFile(folder / f"{gateway_name}-hosts-out.json" if folder else None)
        self.overrides: dict[str, api.EndpointOverride] = {}
        self.read_failed = False

    def has_changed(self) -> bool:
        """Return whether another process has written the file since this one last read or wrote it."""
        return self.shared_file.has_changed()

    def read(self) -> dict[str, api.EndpointOverride]:
        """Return all overrides; a file that cannot be read or decoded changes nothing.

        A read failure is logged once and not again until a read has succeeded.
        """
        try:
            self.load()
        except OSError as err:
            if not self.read_failed:
                log.error(
                    "host overrides not read, keeping the last ones path=%s error=%s",
                    self.shared_file.path,
                    err,
                )
            self.read_failed = True
        return self.overrides

    def load(self) -> None:
        """Load the stored overrides; invalid text is logged and changes nothing. Raises OSError."""
        try:
            text = self.shared_file.read()
            if text is not None:
                self.overrides = decode_overrides(text)
        except ValueError as err:
            log.error(
                "host overrides corrupt, keeping the last ones path=%s error=%s", self.shared_file.path, err
            )
        self.read_failed = False

    def store(self, override: api.EndpointOverride) -> None:
        """Add an override to those that other processes have stored.

        Raises:
            OSError: The override cannot be stored.
        """
        with self.shared_file.locked():
            self.load()  # otherwise the overrides of other processes would be overwritten
            overrides = {**self.overrides, override.endpoint_id: override}
            self.overrides = {
                endpoint_id: entry
                for endpoint_id, entry in overrides.items()
                if entry.ejected or override.overridden_at - entry.overridden_at < ENDED_OVERRIDE_TTL_S
            }
            self.shared_file.write(encode_overrides(self.overrides))
