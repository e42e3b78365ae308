"""Checks that the audit of the terms names existing tests and has a state in each row."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
AUDIT = (ROOT / "docs" / "terms-audit.md").read_text()
STATES = ("holds", "fixed", "open", "not reached")


def rows():
    """Yield the cells of each table row with the heading of its section."""
    section = ""
    for line in AUDIT.splitlines():
        if line.startswith("## "):
            section = line[3:]
        elif line.startswith("| ") and not line.startswith("| ---"):
            yield section, [cell.strip() for cell in line.strip("|").split("|")]


def test_each_row_has_a_state():
    found = 0
    for section, cells in rows():
        if section != "Found and mended in this audit" and cells[0] not in ("clause", "place"):
            assert cells[-1].startswith(STATES), cells
            found += 1
    assert found > 90


def path_of(name):
    """Return the path of the test file that the audit calls FOLDER/NAME or NAME."""
    folder, _, file = name.rpartition("/")
    return ROOT / "tests" / folder / f"test_{file}.py"


def test_each_named_test_exists():
    """A code location has a file extension, as in `gateway/node.py::start`; any other reference is a test."""
    name, found = "", 0
    for _, cells in rows():
        for named, test in re.findall(r"`([a-z_/]*)::([a-z0-9_]+)`", " ".join(cells)):
            name = named or name
            assert f"def test_{test}(" in path_of(name).read_text(), f"{name}::{test}"
            found += 1
    assert found > 90
