"""Exceptions of the membership package."""

from __future__ import annotations


class MembershipError(ValueError):
    """Base class of the exceptions of this package."""


class DatagramError(MembershipError):
    """A received datagram is invalid and must be ignored.

    Attributes:
        reason: Why the datagram is rejected.
    """

    def __init__(self, reason: str) -> None:
        """Store the reason for the rejection."""
        super().__init__(reason)
        self.reason = reason


class OtherClusterError(DatagramError):
    """A received datagram belongs to another cluster.

    Attributes:
        cluster: The cluster that was expected.
    """

    def __init__(self, cluster: str) -> None:
        """Store the expected cluster."""
        super().__init__(f"datagram does not belong to cluster {cluster!r}")
        self.cluster = cluster


class MalformedDatagramError(DatagramError):
    """A received datagram is truncated, or a required field is missing or invalid."""


class MembershipConfigError(MembershipError):
    """The value of the key `membership` in a configuration is invalid.

    Attributes:
        key: Path of the invalid key in the configuration.
    """

    def __init__(self, key: str, text: str) -> None:
        """Store the key; `text` is the message for operators."""
        super().__init__(text)
        self.key = key
