"""The services beside the gateway as processes of their own, and raw HTTP over loopback: no names of classes
or attributes. The program's package and the environment variables are named here only."""

import os
import re
import socket
import subprocess
import sys
import threading
import time
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
DATA = Path(__file__).resolve().parent / "services"
BUDGETS = "api_gateway.budgets", "BUDGETS_CONFIG"
REGISTRY = "api_gateway.registry", "REGISTRY_CONFIG"
KEPT = ("content-type", "content-length", "retry-after")  # headers of an answer that are a part of its form


class Process:
    def __init__(self, program, config):
        module, variable = program
        self.lines, self.port = [], None
        self.process = subprocess.Popen(
            [sys.executable, "-B", "-m", module],
            env={**os.environ, variable: str(config)},
            cwd=ROOT,
            text=True,
            stderr=subprocess.PIPE,
        )
        self.reader = threading.Thread(target=self.read, daemon=True)
        self.reader.start()

    def read(self):
        for line in self.process.stderr:
            self.lines.append(line)
            if self.port is None and (found := re.search(r" at 127\.0\.0\.1:(\d+)$", line)):
                self.port = int(found[1])

    def ready(self):
        until(lambda: self.port is not None or self.process.poll() is not None)
        assert self.port is not None, self.lines

    def end(self):
        self.process.terminate()
        code = self.process.wait(timeout=30)
        self.reader.join(timeout=10)
        self.process.stderr.close()
        return code

    def call(self, line, body=None):
        return call(self.port, line, body)


@contextmanager
def running(program, config):
    process = Process(program, config)
    try:
        process.ready()
        yield process
    finally:
        process.end()


def until(condition, seconds=20.0):
    end = time.monotonic() + seconds
    while not (found := condition()):
        assert time.monotonic() < end, "it did not come in time"
        time.sleep(0.01)
    return found


def call(port, line, body=None):
    """`line` is METHOD and path. Returns status, the headers that are a part of the form, and the body."""
    head = f"{line} HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
    if body is not None:
        head += f"Content-Length: {len(body)}\r\n"
    with socket.create_connection(("127.0.0.1", port), timeout=20) as connection:
        connection.sendall(head.encode() + b"\r\n" + (body or b""))
        data = bytearray()
        while piece := connection.recv(65536):
            data += piece
    top, _, rest = bytes(data).partition(b"\r\n\r\n")
    first, *rows = top.decode().split("\r\n")
    headers = {key.lower(): value for key, value in (row.split(": ", 1) for row in rows)}
    return int(first.split()[1]), {key: headers[key] for key in KEPT if key in headers}, rest


def json_headers(body, **more):
    return {
        "content-type": "application/json; charset=utf-8",
        "content-length": str(len(body)),
        **more,
    }
