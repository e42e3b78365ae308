"""The error of a configuration that cannot be used."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


@contextmanager
def config_errors_in_one_line(path: str) -> Iterator[None]:
    """Turn whatever is wrong with a file into a ConfigError of one line.

    Args:
        path: Of the file, which begins the line.
    """
    try:
        yield
    except KeyError as err:
        raise ConfigError(f"{path}: missing or unknown {err}") from err
    except (OSError, ValueError, TypeError, AttributeError, OverflowError, RecursionError) as err:
        raise ConfigError(f"{path}: {' '.join(str(err).split())}") from err
