"""A stand-in for a host: RESP2 commands in, replies with value, usage and load report out."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Any

import aiohttp
import hiredis

from api_gateway.emulators.service import StreamStandIn

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
FAILED, BUSY = b"-ERR failed\r\n", b"-BUSY\r\n"
# Seconds for which a command with the same idempotency key is not executed again, and the number of keys
# remembered at once.
KEY_RETENTION_S, MAX_KEYS = 15.0, 10_000
REGISTRATION_TTL_S = 3.0  # after which a registration that is not renewed expires


class Host(StreamStandIn):
    """Answers each command with a fixed reply.

    Attributes:
        answer: The reply, or a function that returns it. None sends no reply; b"" closes the connection.
        commands: The commands received.
        connections: Number of open connections.
        arrived: Gets each command, and None for each connection that ended.
    """

    def __init__(self, answer: bytes | None | Callable[[], bytes | None] = VALUE, seed: int = 0) -> None:
        """Create a host that is not listening yet; `seed` determines which commands faults affect."""
        super().__init__(seed)
        self.answer, self.commands, self.connections = answer, list[Any](), 0
        self.arrived: asyncio.Queue[Any] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the commands of one connection until it ends."""
        parser = hiredis.Reader(notEnoughData=...)
        self.connections += 1
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (command := parser.gets()) is not ...:
                    self.record_arrival(command)
                    reply = await self.answer_to(command)
                    if reply == b"":
                        return
                    if reply is not None:
                        writer.write(reply)
        finally:
            self.connections -= 1
            self.record_arrival(None)

    def record_arrival(self, command: Any) -> None:
        """Record a complete command, or None for the end of a connection."""
        if command is not None:
            self.commands.append(command)
        self.arrived.put_nowait(command)

    async def answer_to(self, command: Any) -> bytes | None:
        """Return the reply to a command; None for no reply, b"" to close the connection."""
        return self.answer() if callable(self.answer) else self.answer


class WorkingHost(Host):
    """Simulates work on each command, with limits on concurrent and queued commands.

    Attributes:
        slots: Number of commands worked on at once.
        work_s: Mean seconds of work per command; each takes from half to one and a half times as long.
        queue_size: Number of commands that may wait for a slot; a command beyond that gets BUSY.
        free_slots: Semaphore that admits commands to the slots.
        in_progress: Number of commands that are worked on or wait.
        outcome_counts: Number of commands by outcome.
        keys: Time at which the command with each idempotency key was executed.
    """

    def __init__(self, slots: int = 4, work_s: float = 0.01, queue_size: int = 64, seed: int = 0) -> None:
        """Create a host that is not listening yet; `seed` determines faults and times of work."""
        super().__init__(seed=seed)
        self.slots, self.work_s, self.queue_size = slots, work_s, queue_size
        self.free_slots = asyncio.Semaphore(slots)
        self.in_progress = 0
        self.outcome_counts: Counter[str] = Counter()
        self.keys: OrderedDict[bytes, float] = OrderedDict()

    def record_arrival(self, command: Any) -> None:
        """Record nothing, because a long run would use unbounded memory."""
        pass

    def status(self) -> dict[str, Any]:
        """Return the numbers of commands in progress, of connections and of commands by outcome."""
        return {
            "inside": self.in_progress,
            "connections": self.connections,
            "commands": dict(self.outcome_counts),
        }

    async def answer_to(self, command: Any) -> bytes | None:
        """Execute a command and return its reply."""
        if not isinstance(command, list) or not command:
            return b"-SYNTAX\r\n"
        verb = command[0]
        if verb in (b"PING", b"INFO"):
            load_report = b"inflight=%d" % self.in_progress
            return b"+PONG\r\n" if verb == b"PING" else b"$%d\r\n%s\r\n" % (len(load_report), load_report)
        if verb not in (b"API.READ", b"API.WRITE") or len(command) not in (4, 5):
            return b"-SYNTAX\r\n"
        outcome, reply = await self.execute(command)
        self.outcome_counts[outcome] += 1
        return reply

    async def execute(self, command: list[bytes]) -> tuple[str, bytes | None]:
        """Execute a read or write, subject to the faults; return its outcome and reply."""
        faults = self.faults
        if self.should_inject(faults.reset):
            return "reset", b""
        if self.should_inject(faults.silent):
            return "silent", None
        if self.in_progress >= self.slots + self.queue_size or self.should_inject(faults.busy):
            return "busy", BUSY
        self.in_progress += 1
        try:
            async with self.free_slots:
                await asyncio.sleep(self.work_s * self.random.uniform(0.5, 1.5) + faults.delay)
        finally:
            self.in_progress -= 1
        if self.should_inject(faults.error):
            return "error", FAILED
        return ("repeated" if self.is_repeated(command[3]) else "served"), VALUE

    def is_repeated(self, terms: bytes) -> bool:
        """Return whether a command with the same idempotency key was executed before; False without a key."""
        key = next((part for part in terms.split(b",") if part.startswith(b"k=")), None)
        if key is None:
            return False
        now = time.monotonic()
        while self.keys and (
            len(self.keys) > MAX_KEYS or now - next(iter(self.keys.values())) > KEY_RETENTION_S
        ):
            self.keys.popitem(last=False)
        return now - self.keys.setdefault(key, now) > 0


async def stay_registered(service_address: str, name: str, zone: str, port: Callable[[], int]) -> None:
    """Register a host with the list service and renew the registration until cancelled; then drain it.

    Args:
        service_address: HOST:PORT of the list service.
        name: The host's name.
        zone: The host's zone.
        port: Returns the port on which the host listens.
    """
    base, incarnation = f"http://{service_address}/v1/hosts/{name}", int(time.time() * 1000)
    body = {
        "addr": f"127.0.0.1:{port()}",
        "zone": zone,
        "kind": "stand-in",
        "started_ms": incarnation,
        "incarnation": incarnation,
        "ttl_ms": int(REGISTRATION_TTL_S * 1000),
    }
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
        is_registered = False
        try:
            while True:
                try:
                    if is_registered:
                        async with session.post(f"{base}/renew?incarnation={incarnation}") as response:
                            is_registered = response.status == 200
                    if not is_registered:
                        async with session.put(base, data=json.dumps(body)) as response:
                            is_registered = response.status == 200
                except (aiohttp.ClientError, TimeoutError):
                    pass  # the service is unreachable; the registration expires only after its TTL
                await asyncio.sleep(REGISTRATION_TTL_S / 3 if is_registered else 0.2)
        finally:
            try:
                async with session.post(f"{base}/drain?incarnation={incarnation}"):
                    pass
            except (aiohttp.ClientError, TimeoutError):
                pass
