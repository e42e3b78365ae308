"""Errors of membership."""

from __future__ import annotations


class MembershipError(ValueError):
    """Base of the errors of this package."""


class DatagramError(MembershipError):
    """A datagram that must have no effect.

    Attributes:
        reason: Why it is rejected.
    """

    def __init__(self, reason: str) -> None:
        """Keep why the datagram is rejected."""
        super().__init__(reason)
        self.reason = reason


class OtherClusterError(DatagramError):
    """A datagram of another cluster.

    Attributes:
        cluster: The cluster that it should have been of.
    """

    def __init__(self, cluster: str) -> None:
        """Keep the cluster that was expected."""
        super().__init__(f"not of cluster {cluster!r}")
        self.cluster = cluster


class MalformedDatagramError(DatagramError):
    """A datagram that is truncated, or that does not hold what it must."""


class MembershipConfigError(MembershipError):
    """A value of the key `membership` that cannot be used.

    Attributes:
        key: The key at fault, as an operator wrote it.
    """

    def __init__(self, key: str, text: str) -> None:
        """Keep the key; `text` is what an operator sees."""
        super().__init__(text)
        self.key = key
