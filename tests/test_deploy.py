"""Tests the `build` and `run` commands of the deploy file."""

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
    """Build a copy of the project without installing packages; it uses the environment of the tests."""
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


def test_build_compiles_bytecode_used_at_startup(built):
    sources = sorted((built / "api_gateway").rglob("*.py"))
    compiled = [Path(importlib.util.cache_from_source(str(source))) for source in sources]
    assert compiled and all(path.is_file() for path in compiled)
    for source in sources:
        source.touch()  # a copied tree may have other modification times
    import_log = subprocess.run(
        [sys.executable, "-B", "-v", "-c", "import api_gateway.gateway.node"],
        cwd=built,
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    ).stderr
    for path in compiled:
        if path.name.startswith(("quota.", "gateway.", "interface.")):
            assert f"matches {path}" in import_log or f"code object from '{path}'" in import_log


def test_run_command_replaces_its_shell():
    assert DEPLOY["run"].startswith("exec ") and not set(DEPLOY["run"]) & set(";&|")
