"""Fixtures that several test folders use."""

import os
import tempfile
from pathlib import Path

import pytest


@pytest.fixture
def scratch(tmp_path):
    """Yield a temporary folder, in memory if possible, as $TMPDIR is in production.

    A rename on a busy disk may take 100 ms.
    """
    shared = Path("/dev/shm")
    with tempfile.TemporaryDirectory(dir=shared if os.access(shared, os.W_OK) else tmp_path) as folder:
        yield Path(folder)
