"""Programs of the lab that drive the gateway's own code: what starts them imports nothing of it."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

from api_gateway.experiments.scale import machine
from api_gateway.supervisor.process import end_with_parent


def program(command: list[str], tree: Path, told: dict[str, Any]) -> Any:
    """What a program of the lab prints in JSON, mostly figures, by the build of a tree. It ends with this
    process. Raises OutOfBounds."""
    env = {**os.environ, "PYTHONPATH": str(tree)}
    done = subprocess.run(
        [sys.executable, "-B", *command, json.dumps(told)],
        env=env,
        cwd=tree,
        text=True,
        capture_output=True,
        timeout=machine.MOST_SECONDS,
        preexec_fn=end_with_parent(os.getpid(), False),
    )
    if done.returncode:
        raise machine.OutOfBounds(done.stderr.strip().splitlines()[-1])
    return json.loads(done.stdout)
