"""Reads the configuration key `view`, with which a gateway uses a subset of the endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from api_gateway.base.subsets import MAX_SUBSET_SIZE, SubsetSpec

DEFAULT_GROWTH_FACTOR = 8  # maximum size of a subset as a multiple of `size`, if `most` is not set


@dataclass(frozen=True, slots=True)
class SubsetConfig:
    """Size, kinds and maximum size of the subset."""

    size: int  # available endpoints
    kinds: tuple[str, ...]  # each kind is a separate group; empty: all endpoints form one group
    max_size: int  # upper limit to which the size may grow


def read_size(name: str, value: object) -> int:
    """Return a valid size. Raises a ValueError that names the key and the allowed range."""
    if type(value) is not int or not 1 <= value <= MAX_SUBSET_SIZE:
        raise ValueError(f"view.{name} is {value!r}, not a whole number from 1 to {MAX_SUBSET_SIZE}")
    return value


def read_subset_config(document: Any) -> SubsetConfig:
    """Read the value of the key `view`, which may be JSON of any shape.

    Raises:
        ValueError: The value is invalid; the message names the key, the value and what is allowed.
    """
    if not isinstance(document, dict) or set(document) - {"size", "kinds", "most"}:
        raise ValueError("view may hold size, kinds and most")
    size = read_size("size", document.get("size"))
    kinds = document.get("kinds", [])
    max_size = read_size("most", document.get("most", min(MAX_SUBSET_SIZE, DEFAULT_GROWTH_FACTOR * size)))
    if max_size < size:
        raise ValueError(f"view.most is {max_size}, less than view.size, {size}")
    if not isinstance(kinds, list) or not all(isinstance(kind, str) and kind for kind in kinds):
        raise ValueError(f"view.kinds is {kinds!r}, not a list of names")
    return SubsetConfig(size, SubsetSpec(0, size, "", tuple(kinds)).kinds, max_size)
