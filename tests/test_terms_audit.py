"""The audit of the terms names tests that there are, and a state in each row."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
AUDIT = (ROOT / "docs" / "terms-audit.md").read_text()
STATES = ("holds", "fixed", "open", "not reached")


def rows():
    """The cells of each row, under the heading of its section."""
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


def test_each_test_that_is_named_is_there():
    file = ""
    for _, cells in rows():
        for name, test in re.findall(r"`([a-z_]*)::([a-z0-9_]+)`", " ".join(cells)):
            file = name or file
            path = ROOT / "tests" / f"test_{file}.py"
            if not path.exists():  # a place in the code
                continue
            assert f"def test_{test}(" in path.read_text(), f"{file}::{test}"
