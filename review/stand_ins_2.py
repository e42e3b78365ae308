"""Stand-ins of clients, hosts, counter and discovery for the cases 6 to 10, and the start of gateways.

Everything runs on loopback addresses and the real clock. The stand-ins follow the protocol page: hosts and
clients speak RESP2, the counter speaks text lines, discovery is an agent that pushes by HTTP watches.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RUN = "exec .venv/bin/python -B -m api_gateway.gateway"  # the `run` of deploy/balancer.toml
HOST = "127.0.0.1"
MS = 1_000_000  # nanoseconds
S = 1_000_000_000
HELD, BROKEN, NOT_RUN = 0, 1, 2
PING = b"*1\r\n$4\r\nPING\r\n"

Words = list[bytes]
Json = dict[str, Any]


class Record:
    """What was sent, answered and run, in the order of the events, for record.txt."""

    def __init__(self, folder: Path) -> None:
        """Begin an empty record in the folder of a case."""
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line)


def service(name: str, effect: str, deadline_s: float, slo_s: float, gain: float, **more: Any) -> Json:
    """Return a class of requests in the form of the settings."""
    return {
        "name": name,
        "effect": effect,
        "deadline": int(deadline_s * S),
        "slo": int(slo_s * S),
        "gain": gain,
        "late_value": 0.0,
        "memory_span": 15 * S,
        "dedup_scope": "all",
        "streaming": False,
        **more,
    }


def settings(group_size: int = 1, **limits: Any) -> Json:
    """Return settings like those of the operators' page on the wire, for the first of so many gateways."""
    return {
        "index": 0,
        "group_size": group_size,
        "locality": "hall-a",
        "zones": ["hall-a", "hall-b"],
        "registry_mode": "pushed",
        "weights": "rough",
        "services": [
            service("reading", "pure", 3, 1.2, 1.0),
            service("statement", "pure", 6, 2.5, 2.0),
            service("settlement", "token", 15, 4, 5.0),
        ],
        "plans": [
            {
                "name": "utility",
                "rate": 200.0,
                "most_at_once": 400.0,
                "parallel": 0,
                "value_factor": 1.6,
                "beyond_earns": 0.0,
                "over_cost": 0.8,
                "cap_rate": 0.0,
                "cap_depth": 0.0,
                "hard_slack": 0.0,
            }
        ],
        "limits": {
            "cancel": True,
            "second_copies": True,
            "probes": True,
            "peers": False,
            "retry_after": True,
            "max_attempts": 5,
            "max_open": 20000,
            "max_retry_after": 2 * S,
            "connect_timeout": 250 * MS,
            "idle_close": 15 * S,
            "streams_per_conn": 32,
            **limits,
        },
        "rules": {
            "answer_slack": 16 * MS,
            "drain_grace": 2 * S,
            "start_capacity": 0.18,
            "cold": 18 * S,
            "fall_multiple": 3.0,
            "tip_after": S,
            "must_ask_in": 10 * S,
        },
        "prices": {"cross_zone": 0.01},
        "reporting": {"names": [], "via": "none"},
        "specifics": {
            "shared_counter": True,
            "counter_price": 0.01,
            "counter_timeout": 30 * MS,
            "meter_period": 0,
            "settles": False,
            "units_top": 3,
        },
    }


def encode(words: Words) -> bytes:
    """Return a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


CUSTOMER = 0xB4D65521


def read_command(
    request_id: str, deadline_ms: int, service_class: str = "statement", customer: int = CUSTOMER
) -> bytes:
    """Return an API.READ of a customer."""
    fields = f"c={service_class},t=utility,d={deadline_ms},units=1,spread=1,first=0"
    return encode([b"API.READ", b"%016x" % customer, request_id.encode(), fields.encode()])


def write_command(
    request_id: str, deadline_ms: int, service_class: str = "settlement", customer: int = CUSTOMER
) -> bytes:
    """Return an API.WRITE of a customer, with a key of its own."""
    fields = f"c={service_class},t=utility,d={deadline_ms},k=5c0f{request_id},units=1,spread=1,first=0"
    return encode([b"API.WRITE", b"%016x" % customer, request_id.encode(), fields.encode(), b"BODY"])


async def read_words(reader: asyncio.StreamReader) -> Words | None:
    """Read one command; None at the end of the connection."""
    try:
        count = int((await reader.readuntil(b"\r\n"))[1:])
        words = []
        for _ in range(count):
            length = int((await reader.readuntil(b"\r\n"))[1:])
            words.append((await reader.readexactly(length + 2))[:length])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return words


def served(value: bytes) -> bytes:
    """Return the answer of a host with this value, without figures and report."""
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


Answer = Callable[["Host", Words, asyncio.StreamWriter], Awaitable[None]]


class Host:
    """A host: it begins a command once its last byte has come and answers in order."""

    def __init__(self, name: str, record: Record, answer: Answer) -> None:
        """Name the host; `answer` writes the answer to a request."""
        self.name, self.record, self.answer = name, record, answer
        self.runs: list[str] = []  # the ids of the requests that it was sent whole
        self.port = 0

    async def open(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=2**23)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while (words := await read_words(reader)) is not None:
                if words[0] == b"PING":
                    writer.write(b"+PONG\r\n")
                elif words[0] == b"INFO":
                    writer.write(b"$0\r\n\r\n")
                elif words[0] in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                elif words[0] in (b"API.READ", b"API.WRITE"):
                    self.runs.append(words[2].decode())
                    self.record(f"host {self.name} got {words[2].decode()} whole, {words[3].decode()}")
                    await self.answer(self, words, writer)
                else:
                    writer.write(b"-ERR unknown\r\n")
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    def entry(self, state: str = "up") -> Json:
        """Return the host's entry of discovery's list."""
        return {
            "id": f"s-{self.name}",
            "addr": f"{HOST}:{self.port}",
            "zone": "hall-a",
            "kind": "std-3core",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }


class Counter:
    """The counter: adds to named numbers and forgets each when its time is up."""

    async def open(self) -> None:
        """Listen."""
        self.totals: dict[bytes, tuple[float, float]] = {}
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while line := await reader.readline():
                words = line.split()
                if words == [b"ping"]:
                    writer.write(b"pong\r\n")
                elif len(words) == 4 and words[0] == b"incr":
                    now = time.monotonic()
                    total, ends_at = self.totals.get(words[1], (0.0, 0.0))
                    if ends_at <= now:
                        total, ends_at = 0.0, now + min(60.0, float(words[3]) / 1000)
                    total += float(words[2])
                    self.totals[words[1]] = total, ends_at
                    writer.write(b"ok %.7g\r\n" % total)
                else:
                    writer.write(b"error\r\n")
        except ConnectionError:
            pass
        finally:
            writer.close()


class Discovery:
    """The agent: answers whole lists at once and watches when something changes or their wait is over."""

    def __init__(self, servers: list[Json]) -> None:
        """Begin with these entries as version 41."""
        self.servers = {entry["id"]: entry for entry in servers}
        self.version = 41
        self.changes: list[tuple[int, Json]] = []
        self.changed = asyncio.Event()

    async def open(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def tell(self, entry: Json) -> None:
        """Change an entry."""
        self.version += 1
        self.changes.append((self.version, entry))
        self.servers[entry["id"]] = entry
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                _, _, query = head.split()[1].partition("?")
                values = dict(pair.split("=") for pair in query.split("&")) if query else {}
                index = int(values.get("index", 0))
                is_watch = bool(index)
                if is_watch and index >= self.version:
                    try:
                        async with asyncio.timeout(int(values.get("wait", 0)) / 1000):
                            await self.changed.wait()
                    except TimeoutError:
                        pass
                listed = [entry for version, entry in self.changes if version > index]
                whole = [entry for entry in self.servers.values() if entry["state"] != "removed"]
                document = {
                    "version": self.version,
                    "full": not is_watch,
                    "servers": listed if is_watch else whole,
                }
                body = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, record: Record, folder: Path, config: Json, *, control: bool = True) -> None:
        """Prepare a start in a temporary folder of the case."""
        self.record, self.folder, self.config = record, folder, config
        self.port = int(config["listen"].rpartition(":")[2])
        self.control_port = free_port() if control else 0

    async def start(self) -> None:
        """Start the process and wait until PING is answered with PONG, 30 s at most."""
        config_file = self.folder / "config.json"
        config_file.write_text(json.dumps(self.config))
        shared = self.folder / "tmp"
        shared.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "RELAY_NAME": self.config["name"],
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_CONFIG": str(config_file),
            "TMPDIR": str(shared),
        }
        if self.control_port:
            environment["RELAY_CONTROL"] = f"{HOST}:{self.control_port}"
        self.log = (self.folder / "gateway.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN, cwd=ROOT, env=environment, stderr=self.log, stdout=self.log
        )
        ends_at = time.monotonic() + 30
        while time.monotonic() < ends_at and self.process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(PING)
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"+PONG\r\n":
                    self.record("gateway answers PONG")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise NotRunError("the gateway did not become ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record(f"{number.name} to the gateway")
        self.process.send_signal(number)

    async def call(self, text: str) -> int:
        """Make a call at the second address and return its status."""
        reader, writer = await asyncio.open_connection(HOST, self.control_port)
        writer.write(f"{text} HTTP/1.1\r\nHost: gateway\r\n\r\n".encode())
        status = int((await reader.read()).split()[1])
        writer.close()
        self.record(f"call {text} answered {status}")
        return status

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()
        for line in (self.folder / "gateway.log").read_text(errors="replace").splitlines()[-30:]:
            print("   gateway:", line, file=self.record.file)


class NotRunError(Exception):
    """The case could not run."""


class Site:
    """A gateway with its counter, its discovery and its hosts, for the time of a `with` block."""

    def __init__(self, record: Record, hosts: list[Host], site_settings: Json, sockets: int = 1024) -> None:
        """Prepare; nothing is started yet."""
        self.record, self.hosts, self.settings, self.sockets = record, hosts, site_settings, sockets

    async def __aenter__(self) -> Site:
        """Start all."""
        for host in self.hosts:
            await host.open()
        entries = [host.entry() for host in self.hosts]
        self.counter, self.discovery = Counter(), Discovery(entries)
        await self.counter.open()
        await self.discovery.open()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        config = {
            "name": "n3",
            "listen": f"{HOST}:{free_port()}",
            "discovery": f"{HOST}:{self.discovery.port}",
            "counter": f"{HOST}:{self.counter.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": {"version": 41, "full": True, "servers": entries},
            "settings": self.settings,
        }
        self.gateway = Gateway(self.record, self.folder, config)
        try:
            await self.gateway.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End the gateway and remove its folder."""
        await self.gateway.end()
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A connection of a client that reads at its own pace."""

    def __init__(
        self, record: Record, name: str, port: int, receive_buffer: int = 0, segment: int = 0
    ) -> None:
        """Name the client; `receive_buffer` bounds what its machine takes in unread, `segment` one packet."""
        self.record, self.name, self.port = record, name, port
        self.sock = socket.socket()
        self.sock.setblocking(False)
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        if segment:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        self.loop = asyncio.get_running_loop()
        self.received = bytearray()
        self.end = ""  # how the connection ended

    async def connect(self) -> None:
        """Connect to the gateway."""
        await self.loop.sock_connect(self.sock, (HOST, self.port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def send(self, data: bytes, note: str) -> None:
        """Send bytes."""
        try:
            await self.loop.sock_sendall(self.sock, data)
            self.record(f"client {self.name} sent {note}")
        except OSError as err:
            self.record(f"client {self.name} could not send {note}: {err}")

    async def read(self, size: int) -> bool:
        """Read once; return False at the end of the connection."""
        try:
            data = await self.loop.sock_recv(self.sock, size)
        except OSError as err:
            self.end = f"{type(err).__name__}"
            return False
        if not data:
            self.end = "closed"
        self.received += data
        return bool(data)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[int]], limit_s: float = 110) -> None:
    """Run a case with the disruption, or without it where TROUBLE is 0, and exit with its result."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        # So that the gateway ends with a script that is told to end.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        result = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as err:  # an error is no broken rule
        record(f"the case could not run: {type(err).__name__} {err}")
        traceback.print_exc()
        result = NOT_RUN
    record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[result])
    sys.exit(result)
