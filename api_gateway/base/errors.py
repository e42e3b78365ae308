"""The error that reports an unusable configuration."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager


class ConfigError(Exception):
    """The configuration cannot be used; the message gives the reason in one line."""


@contextmanager
def config_errors_in_one_line(path: str) -> Iterator[None]:
    """Convert errors in reading a file into a ConfigError with a one-line message.

    Args:
        path: Path of the file, with which the message begins.
    """
    try:
        yield
    except KeyError as err:
        raise ConfigError(f"{path}: missing or unknown {err}") from err
    except (OSError, ValueError, TypeError, AttributeError, OverflowError, RecursionError) as err:
        raise ConfigError(f"{path}: {' '.join(str(err).split())}") from err
