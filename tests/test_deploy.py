"""The deploy file: what `build` leaves for `run`."""

import importlib.util
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


@pytest.fixture
def built(tmp_path):
    """A copy that was built, but for the packages: its environment is the one that runs the tests."""
    shutil.copytree(
        ROOT / "api_gateway", tmp_path / "api_gateway", ignore=shutil.ignore_patterns("__pycache__")
    )
    binaries = tmp_path / ".venv" / "bin"
    binaries.mkdir(parents=True)
    for name, target in (("python", sys.executable), ("pip", "true")):
        (binaries / name).write_text(f'#!/bin/sh\nexec "{target}" "$@"\n')
        (binaries / name).chmod(0o755)
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=tmp_path, check=True, timeout=60)
    return tmp_path


def test_the_build_leaves_bytecode_that_a_start_uses(built):
    sources = sorted((built / "api_gateway").rglob("*.py"))
    compiled = [Path(importlib.util.cache_from_source(str(source))) for source in sources]
    assert compiled and all(path.is_file() for path in compiled)
    for source in sources:
        source.touch()  # a copy of the tree may have other times
    told = subprocess.run(
        [sys.executable, "-B", "-v", "-c", "import api_gateway.gateway.node"],
        cwd=built,
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    ).stderr
    for path in compiled:
        if path.name.startswith(("quota.", "gateway.", "interface.")):
            assert f"matches {path}" in told or f"code object from '{path}'" in told


def test_the_program_replaces_the_shell_that_starts_it():
    assert DEPLOY["run"].startswith("exec ") and not set(DEPLOY["run"]) & set(";&|")
