"""Shared parts of the review's cases: stand-ins, a gateway process and the record of what happened."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import hiredis

from api_gateway.emulators.counter import Counter
from api_gateway.emulators.discovery import Discovery

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
SECOND_NS = 1_000_000_000
CUSTOMER = b"00000000b4d65521"
PING = b"*1\r\n$4\r\nPING\r\n"
KEPT, BROKEN, NOT_RUN = 0, 1, 2
READ_BYTES = 65536
MIB = 2**20

Command = list[bytes]
# Answers one command; it gets the words of the command and the writer of its connection.
Behaviour = Callable[[Command, asyncio.StreamWriter], Awaitable[None]]


class NotRunError(Exception):
    """The case could not be run, so nothing can be said about the rule."""


class Record:
    """The file record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        """Start an empty record in `folder`."""
        self.started_at = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def write(self, text: str) -> None:
        """Write a line that begins with the seconds since the start."""
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class Host:
    """A host: reads RESP2 commands and passes each whole one to its behaviour, in a task of its own."""

    def __init__(self, name: str, behave: Behaviour) -> None:
        """Create a host that does not listen yet."""
        self.name = name
        self.behave = behave
        self.port = 0
        self.commands: list[tuple[float, Command]] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the commands of one connection."""
        parser = hiredis.Reader(notEnoughData=...)
        self.writers.add(writer)
        try:
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (command := parser.gets()) is not ...:
                    self.commands.append((time.monotonic(), command))
                    task = asyncio.create_task(self.run(command, writer))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, command: Command, writer: asyncio.StreamWriter) -> None:
        """Answer one command; the connection may end meanwhile."""
        try:
            if command[0] == b"INFO":
                writer.write(b"-NOPERM\r\n")
            else:
                await self.behave(command, writer)
        except ConnectionError:
            pass

    def entry(self, state: str = "up", started_ms: int = 0) -> dict[str, Any]:
        """Return the host's entry in discovery's list."""
        return {
            "id": self.name,
            "addr": f"{LOOPBACK}:{self.port}",
            "zone": "a",
            "kind": "k",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": started_ms,
        }

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()


def value_answer(value: bytes) -> bytes:
    """Return a host's answer that holds a value, no figures on use and no load report."""
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


def working_host(seconds: float, value: bytes = b"value") -> Behaviour:
    """Return the behaviour of a sound host that works for some time on each command."""

    async def behave(_: Command, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        writer.write(value_answer(value))

    return behave


def command(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def service_class(name: str, deadline_s: float, effect: str, aim_s: float = 1.0) -> dict[str, Any]:
    """Return a request class of the settings."""
    return {
        "name": name,
        "slo": int(aim_s * SECOND_NS),
        "deadline": int(deadline_s * SECOND_NS),
        "effect": effect,
        "gain": 1.0,
        "late_value": 0.0,
        "dedup_scope": "all",
        "memory_span": 15 * SECOND_NS if effect == "token" else 0,
        "streaming": False,
    }


def settings(classes: list[dict[str, Any]], **limits: Any) -> dict[str, Any]:
    """Return the settings of a deployment of one gateway with these classes."""
    return {
        "group_size": 1,
        "index": 0,
        "locality": "a",
        "registry_mode": "pushed",
        "services": classes,
        "plans": [
            {
                "name": "utility",
                "rate": 1000.0,
                "most_at_once": 10000.0,
                "parallel": 0,
                "value_factor": 1.0,
                "beyond_earns": 0.0,
                "over_cost": 0.5,
                "cap_rate": 0.0,
                "cap_depth": 0.0,
                "hard_slack": 0.0,
            }
        ],
        "limits": {
            "cancel": True,
            "second_copies": False,
            "probes": False,
            "peers": False,
            "max_attempts": 5,
            "retry_after": True,
            "max_retry_after": 2 * SECOND_NS,
            "connect_timeout": SECOND_NS // 4,
            "idle_close": 15 * SECOND_NS,
            "max_open": 20000,
            "streams_per_conn": 32,
        }
        | limits,
        "rules": {
            "answer_slack": 16_000_000,
            "drain_grace": 2 * SECOND_NS,
            "start_capacity": 0.18,
            "cold": 18 * SECOND_NS,
            "fall_multiple": 3.0,
            "tip_after": SECOND_NS,
            "must_ask_in": 10 * SECOND_NS,
        },
        "prices": {"cross_zone": 0.01},
        "reporting": {"names": [], "via": "none"},
        "specifics": {
            "shared_counter": True,
            "counter_price": 0.01,
            "counter_timeout": 30_000_000,
            "units_top": 6,
        },
        "weights": "none",
        "zones": ["a"],
    }


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.create_server((LOOPBACK, 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


def deploy_command(name: str) -> str:
    """Return a command of the deploy file."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        text: str = tomllib.load(file)[name]
        return text


class Site:
    """One gateway process with its hosts, counter and discovery.

    Attributes:
        process: The gateway; it is started by the deploy file's command.
        peak_mb: The most memory that the gateway was seen to hold, in MB.
        env: The environment of the gateway.
    """

    def __init__(self, record: Record, hosts: list[Host], site_settings: dict[str, Any]) -> None:
        """Prepare a site; nothing runs yet."""
        self.record = record
        self.hosts = hosts
        self.settings = site_settings
        self.limits: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.counter = Counter()
        self.discovery = Discovery()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.peak_mb = 0.0
        self.env: dict[str, str] = {}

    async def __aenter__(self) -> Site:
        """Start the stand-ins and the gateway, and wait until it answers PING."""
        for host in self.hosts:
            await host.open()
        await self.counter.open(LOOPBACK, 0)
        await self.discovery.open(LOOPBACK, 0)
        self.discovery.servers = [host.entry() for host in self.hosts]
        (self.folder / "tmp").mkdir()
        self.write_config()
        self.env = {
            **os.environ,
            "RELAY_NAME": "n0",
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_LISTEN": f"{LOOPBACK}:{self.port}",
            "RELAY_DISCOVERY": f"{LOOPBACK}:{self.discovery.port}",
            "TMPDIR": str(self.folder / "tmp"),
        }
        log = open(self.folder / "log", "wb")  # noqa: SIM115
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy_command("run"), cwd=ROOT, env=self.env, stdout=log, stderr=log
        )
        log.close()
        try:
            async with asyncio.timeout(30):
                while not await self.is_ready():
                    await asyncio.sleep(0.05)
        except TimeoutError as err:
            await self.__aexit__()
            raise NotRunError("the gateway was not ready within 30 s") from err
        self.record.write(f"gateway ready pid={self.process.pid} limits={self.limits}")
        return self

    def write_config(self) -> None:
        """Write the gateway's configuration file."""
        document = {
            "name": "n0",
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self.discovery.port}",
            "counter": f"{LOOPBACK}:{self.counter.port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": {"version": 1, "full": True, "servers": [host.entry() for host in self.hosts]},
            "settings": self.settings,
        }
        (self.folder / "config.json").write_text(json.dumps(document), encoding="utf-8")

    async def is_ready(self) -> bool:
        """Return whether the gateway answers PING with PONG."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
            writer.write(PING)
            line = await reader.readline()
            writer.close()
        except ConnectionError:
            return False
        return line == b"+PONG\r\n"

    def memory_mb(self) -> float:
        """Return the memory that the gateway process holds now, in MB of 2**20 bytes; 0 if it has ended.

        Pages of files, such as those of the interpreter and its libraries, are not counted.
        """
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0.0
        rows = (line.split() for line in status.splitlines())
        used = sum(int(row[1]) for row in rows if row[0] in ("RssAnon:", "RssShmem:")) / 1024
        self.peak_mb = max(self.peak_mb, used)
        return used

    def log_lines(self) -> list[str]:
        """Return the lines that the gateway has logged."""
        return (self.folder / "log").read_text(encoding="utf-8", errors="replace").splitlines()

    async def __aexit__(self, *_: object) -> None:
        """End the gateway and the stand-ins."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        for host in self.hosts:
            await host.close()
        await self.discovery.__aexit__()
        await self.counter.__aexit__()
        subprocess.run(["rm", "-rf", str(self.folder)], check=False)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return one whole answer, of a bulk string its head and value; b"" if the connection ends first."""
    try:
        line = await reader.readline()
        if line.startswith(b"$") and line != b"$-1\r\n":
            line += await reader.readexactly(int(line[1:]) + 2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""
    return line


def main(folder: Path, case: Callable[[Record, bool], Awaitable[bool]]) -> int:
    """Run a case and return the exit status.

    Args:
        folder: The folder of the case.
        case: Gets the record and whether the disruption is on; returns whether the rule held.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption {'on' if trouble else 'off'}")

    async def bounded() -> bool:
        async with asyncio.timeout(110):
            return await case(record, trouble)

    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that the processes end with the case
    try:
        held = asyncio.run(bounded())
    except (Exception, KeyboardInterrupt) as err:
        record.write(f"the case could not run: {type(err).__name__} {err}")
        return NOT_RUN
    record.write("the rule held" if held else "the rule was broken")
    return KEPT if held else BROKEN
