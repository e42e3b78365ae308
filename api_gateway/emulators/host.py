"""A host by its protocol: RESP2 commands in, an array of value, use and load report out."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Any

import aiohttp
import hiredis

from api_gateway.emulators.service import Served

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
FAILED, BUSY = b"-ERR failed\r\n", b"-BUSY\r\n"
REMEMBERED, MOST_KEYS = 15.0, 10_000  # s for which a keyed command is not done again; keys known at once
TTL = 3.0  # s after which a registration lapses that is not renewed


class Host(Served):
    """Answers each command with `answer` or what that returns; None: it keeps silent; b"": it breaks off."""

    def __init__(self, answer: bytes | None | Callable[[], bytes | None] = VALUE, seed: int = 0) -> None:
        super().__init__(seed)
        self.answer, self.commands, self.connections = answer, list[Any](), 0
        self.arrived: asyncio.Queue[Any] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = hiredis.Reader(notEnoughData=...)
        self.connections += 1
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (got := parser.gets()) is not ...:
                    self.note(got)
                    answer = await self.answer_to(got)
                    if answer == b"":
                        return
                    if answer is not None:
                        writer.write(answer)
        finally:
            self.connections -= 1
            self.note(None)

    def note(self, got: Any) -> None:
        """A command that came whole, or None: a connection has ended."""
        if got is not None:
            self.commands.append(got)
        self.arrived.put_nowait(got)

    async def answer_to(self, got: Any) -> bytes | None:
        return self.answer() if callable(self.answer) else self.answer


class WorkingHost(Host):
    """Works on `slots` commands at once, `work` seconds each, more or less; as many as `room` wait."""

    def __init__(self, slots: int = 4, work: float = 0.01, room: int = 64, seed: int = 0) -> None:
        super().__init__(seed=seed)
        self.slots, self.work, self.room = slots, work, room
        self.free = asyncio.Semaphore(slots)
        self.inside = 0  # that are worked on or wait
        self.counts: Counter[str] = Counter()
        self.keys: OrderedDict[bytes, float] = OrderedDict()  # when keyed commands were done

    def note(self, got: Any) -> None:
        pass

    def status(self) -> dict[str, Any]:
        return {"inside": self.inside, "connections": self.connections, "commands": dict(self.counts)}

    async def answer_to(self, got: Any) -> bytes | None:
        if not isinstance(got, list) or not got:
            return b"-SYNTAX\r\n"
        verb = got[0]
        if verb in (b"PING", b"INFO"):
            report = b"inflight=%d" % self.inside
            return b"+PONG\r\n" if verb == b"PING" else b"$%d\r\n%s\r\n" % (len(report), report)
        if verb not in (b"API.READ", b"API.WRITE") or len(got) not in (4, 5):
            return b"-SYNTAX\r\n"
        outcome, answer = await self.outcome(got)
        self.counts[outcome] += 1
        return answer

    async def outcome(self, got: list[bytes]) -> tuple[str, bytes | None]:
        faults = self.faults
        if self.struck(faults.reset):
            return "reset", b""
        if self.struck(faults.silent):
            return "silent", None
        if self.inside >= self.slots + self.room or self.struck(faults.busy):
            return "busy", BUSY
        self.inside += 1
        try:
            async with self.free:
                await asyncio.sleep(self.work * self.random.uniform(0.5, 1.5) + faults.delay)
        finally:
            self.inside -= 1
        if self.struck(faults.error):
            return "error", FAILED
        return ("repeated" if self.known(got[3]) else "served"), VALUE

    def known(self, terms: bytes) -> bool:
        """Whether a command with this key was done already; one without a key never was."""
        key = next((part for part in terms.split(b",") if part.startswith(b"k=")), None)
        if key is None:
            return False
        now = time.monotonic()
        while self.keys and (len(self.keys) > MOST_KEYS or now - next(iter(self.keys.values())) > REMEMBERED):
            self.keys.popitem(last=False)
        return now - self.keys.setdefault(key, now) > 0


async def stay_registered(place: str, name: str, zone: str, port: Callable[[], int]) -> None:
    """Registers a host with the list service at `place` and renews that; it drains when this is cancelled."""
    base, incarnation = f"http://{place}/v1/hosts/{name}", int(time.time() * 1000)
    body = {
        "addr": f"127.0.0.1:{port()}",
        "zone": zone,
        "kind": "stand-in",
        "started_ms": incarnation,
        "incarnation": incarnation,
        "ttl_ms": int(TTL * 1000),
    }
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
        known = False
        try:
            while True:
                try:
                    if known:
                        async with session.post(f"{base}/renew?incarnation={incarnation}") as answer:
                            known = answer.status == 200
                    if not known:
                        async with session.put(base, data=json.dumps(body)) as answer:
                            known = answer.status == 200
                except (aiohttp.ClientError, TimeoutError):
                    pass  # the service is away; what it knows lapses only later
                await asyncio.sleep(TTL / 3 if known else 0.2)
        finally:
            try:
                async with session.post(f"{base}/drain?incarnation={incarnation}"):
                    pass
            except (aiohttp.ClientError, TimeoutError):
                pass
