"""Runs the services beside the gateway as separate processes and calls them with raw HTTP over loopback.

No class or attribute of the program is used. Only here are its packages and environment variables named.
"""

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
COMPARED_HEADERS = ("content-type", "content-length", "retry-after")  # response headers that tests compare


class Process:
    """A running service, its port and its log lines so far."""

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
            if self.port is None and (match := re.search(r" at 127\.0\.0\.1:(\d+)$", line)):
                self.port = int(match[1])

    def wait_until_ready(self):
        until(lambda: self.port is not None or self.process.poll() is not None)
        assert self.port is not None, self.lines

    def stop(self):
        self.process.terminate()
        code = self.process.wait(timeout=30)
        self.reader.join(timeout=10)
        self.process.stderr.close()
        return code

    def call(self, request_line, body=None):
        return call(self.port, request_line, body)


@contextmanager
def running(program, config):
    process = Process(program, config)
    try:
        process.wait_until_ready()
        yield process
    finally:
        process.stop()


def until(condition, seconds=20.0):
    deadline = time.monotonic() + seconds
    while not (result := condition()):
        assert time.monotonic() < deadline, "the condition did not hold in time"
        time.sleep(0.01)
    return result


def call(port, request_line, body=None):
    """Send a request (METHOD and path in `request_line`) and return status, compared headers and body."""
    request_head = f"{request_line} HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
    if body is not None:
        request_head += f"Content-Length: {len(body)}\r\n"
    with socket.create_connection(("127.0.0.1", port), timeout=20) as connection:
        connection.sendall(request_head.encode() + b"\r\n" + (body or b""))
        data = bytearray()
        while chunk := connection.recv(65536):
            data += chunk
    head_text, _, response_body = bytes(data).partition(b"\r\n\r\n")
    status_line, *header_lines = head_text.decode().split("\r\n")
    headers = {
        key.lower(): value for key, value in (header_line.split(": ", 1) for header_line in header_lines)
    }
    return (
        int(status_line.split()[1]),
        {key: headers[key] for key in COMPARED_HEADERS if key in headers},
        response_body,
    )


def json_headers(body, **extra_headers):
    return {
        "content-type": "application/json; charset=utf-8",
        "content-length": str(len(body)),
        **extra_headers,
    }
