"""The operators' overrides of hosts, stored where every process of this gateway finds them.

The file holds one JSON object: for each host, by its id, `out` (whether it is ejected) and `at` (Unix time in
seconds of the operator's call). Gateways of other releases use it too.
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

# Seconds for which the end of an override is stored: the host is past its slow start long before.
ENDED_OVERRIDE_TTL_S = 60.0

log = logging.getLogger(__name__)


class UnknownHostError(ControlError):
    """No endpoint list has named this host."""

    def __init__(self, endpoint_id: str) -> None:
        """Keep the host's id as the operator gave it."""
        super().__init__(endpoint_id)
        self.endpoint_id = endpoint_id


def encode_overrides(overrides: dict[str, api.EndpointOverride]) -> str:
    """Return the text of the file."""
    return json.dumps({host: {"out": o.ejected, "at": o.overridden_at} for host, o in overrides.items()})


def decode_overrides(text: str) -> dict[str, api.EndpointOverride]:
    """Return the overrides by the ids of their hosts.

    Raises:
        ValueError: The text is not what encode_overrides() returns.
    """
    raw = json.loads(text)
    if not isinstance(raw, dict):
        raise ValueError("not an object")
    return {endpoint_id: decode_override(endpoint_id, entry) for endpoint_id, entry in raw.items()}


def decode_override(endpoint_id: str, entry: Any) -> api.EndpointOverride:
    """Return the override that one entry of the file holds. Raises ValueError where it holds none."""
    if not isinstance(entry, dict) or not isinstance(entry.get("out"), bool):
        raise ValueError(f"{endpoint_id!r} is neither out nor back")
    at = entry.get("at")
    if isinstance(at, bool) or not isinstance(at, int | float) or not abs(at) <= sys.float_info.max:
        raise ValueError(f"{endpoint_id!r} has no time")
    return api.EndpointOverride(endpoint_id, entry["out"], float(at))


class HostOverrides:
    """The overrides as the processes of one gateway share them.

    Without a folder they last as long as the process.
    """

    def __init__(self, folder: Path | None, name: str) -> None:
        """Name the file, without reading it.

        Args:
            folder: Where the processes of this gateway keep their files.
            name: The gateway's, which begins the file's name.
        """
        self.shared_file = SharedFile(folder / f"{name}-hosts-out.json" if folder else None)
        self.overrides: dict[str, api.EndpointOverride] = {}
        self.read_failed = False

    def has_changed(self) -> bool:
        """Return whether another process has written since this one last read or wrote."""
        return self.shared_file.has_changed()

    def read(self) -> dict[str, api.EndpointOverride]:
        """Return all overrides; a file that cannot be read or decoded changes nothing.

        Each shortage is logged once, when it begins.
        """
        try:
            self.load()
        except OSError as err:
            if not self.read_failed:
                log.error(
                    "host overrides not read, last ones stay until they are path=%s error=%s",
                    self.shared_file.path,
                    err,
                )
            self.read_failed = True
        return self.overrides

    def load(self) -> None:
        """Take what is stored; text that is no overrides is logged and changes nothing. Raises OSError."""
        try:
            text = self.shared_file.read()
            if text is not None:
                self.overrides = decode_overrides(text)
        except ValueError as err:
            log.error("host overrides corrupt, last ones stay path=%s error=%s", self.shared_file.path, err)
        self.read_failed = False

    def store(self, override: api.EndpointOverride) -> None:
        """Store an override beside those of other processes.

        Raises:
            OSError: It cannot be stored.
        """
        with self.shared_file.locked():
            self.load()  # else those of other processes would be written over
            overrides = {**self.overrides, override.endpoint_id: override}
            self.overrides = {
                endpoint_id: known
                for endpoint_id, known in overrides.items()
                if known.ejected or override.overridden_at - known.overridden_at < ENDED_OVERRIDE_TTL_S
            }
            self.shared_file.write(encode_overrides(self.overrides))
