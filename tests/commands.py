"""Runs the command-line program as a process and finds the processes that it leaves behind."""

import json
import os
import subprocess
import sys
import time
import urllib.request
import uuid
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


class Command:
    """A command as a process; a marker in its environment identifies the processes that it starts."""

    def __init__(
        self, *args, cwd=ROOT, program=(sys.executable, "-m", "api_gateway.cli"), scratch=None, env=None
    ):
        self.environment_marker, self.scratch = uuid.uuid4().hex, scratch
        env = {**os.environ, **(env or {}), "CINDER_TEST": self.environment_marker}
        if scratch:
            env["TMPDIR"] = str(scratch)
        self.process = subprocess.Popen(
            [*program, *args],
            cwd=cwd,
            env=env,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            start_new_session=True,
        )

    def running_processes(self):
        """Return the command lines of running processes by process id, without zombies."""
        found = {}
        for path in Path("/proc").glob("[0-9]*"):
            try:
                if self.environment_marker.encode() in (path / "environ").read_bytes():
                    found[int(path.name)] = (path / "cmdline").read_bytes().replace(b"\0", b" ").decode()
            except OSError:
                pass
        return {pid: line for pid, line in found.items() if line}

    def wait_until(self, condition, seconds=30):
        """Poll a condition until it holds; fail after `seconds`."""
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, "condition not met in time"
            time.sleep(0.05)

    def wait_for_clients(self):
        """Wait until the first gateway of the demo has clients."""

        def has_clients():
            try:
                (file,) = self.scratch.glob("cinderrouter-*/gateway-0.json")
                control = json.loads(file.read_text())["control"]
                with urllib.request.urlopen(f"http://{control}/status") as answer:
                    return json.load(answer)["clients"] > 0
            except (OSError, ValueError):
                return False

        self.wait_until(has_clients)

    def result(self, seconds=60):
        """Wait for the process to end; return its exit status, stdout and stderr."""
        out, err = self.process.communicate(timeout=seconds)
        return self.process.returncode, out, err
