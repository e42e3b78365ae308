"""Links between processes on loopback, switched while they run: forwarders for datagrams and for streams."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import random
import socket
import struct
from collections import Counter
from collections.abc import Callable
from typing import Any

from api_gateway.experiments.faults.lines import PASS, Line, Treatment

Address = tuple[str, int]

LOOPBACK = "127.0.0.1"
MOST_HELD = 64  # pieces of a stream on their way; past that the sender is not read
PIECE = 65536
AT_ONCE = struct.pack("ii", 1, 0)  # SO_LINGER: the end of a connection is a reset


def on_loopback(address: Address) -> Address:
    """Raises ValueError where it is any other: nothing here sends to another machine."""
    if not ipaddress.ip_address(address[0]).is_loopback:
        raise ValueError(f"{address[0]} is not on loopback")
    return address


class Way:
    """A line in use: those that wait for it to be whole hear of that."""

    def __init__(self, rng: random.Random) -> None:
        self.line, self.whole = Line(rng), asyncio.Event()
        self.whole.set()

    def treat(self, treatment: Treatment) -> None:
        self.line.treatment = treatment
        if treatment.cut:
            self.whole.clear()
        else:
            self.whole.set()

    async def through(self, size: int) -> None:
        """Waits as long as a piece of a stream takes."""
        loop = asyncio.get_running_loop()
        while (due := self.line.piece(loop.time(), size)) is None:
            await self.whole.wait()
        if due > loop.time():
            await asyncio.sleep(due - loop.time())


class Port(asyncio.DatagramProtocol):
    def __init__(self, heard: Callable[[Address, bytes], None]) -> None:
        self.heard = heard
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.heard((addr[0], addr[1]), data)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there: the datagram is lost, as it is without a link."""


async def port(heard: Callable[[Address, bytes], None]) -> Port:
    loop = asyncio.get_running_loop()
    _, made = await loop.create_datagram_endpoint(lambda: Port(heard), local_addr=(LOOPBACK, 0))
    return made


class Datagrams:
    """Links of datagrams between all pairs of some processes. Each has an address that it tells the others,
    at which the kit listens; what comes there goes on by the sender's line. To whom it comes all seems to be
    from one more address, at which nobody is reached."""

    def __init__(self, way: Callable[[str, str], Way]) -> None:
        self.way, self.real = way, dict[str, Address]()
        self.names: dict[Address, str] = {}  # by where each sends from
        self.entries: dict[str, Port] = {}
        self.exit: Port
        self.counts: Counter[str] = Counter()

    async def open(self, places: dict[str, Address]) -> dict[str, Address]:
        """`places`: where each listens and sends from. Returns the addresses that they are to tell."""

        def towards(to: str) -> Callable[[Address, bytes], None]:
            return lambda source, data: self.forward(source, to, data)

        self.exit = await port(lambda *_: self.counts.update(astray=1))
        for name, address in places.items():
            self.real[name] = on_loopback(address)
            self.names[address] = name
            self.entries[name] = await port(towards(name))
        return {name: entry.transport.get_extra_info("sockname")[:2] for name, entry in self.entries.items()}

    def forward(self, source: Address, to: str, data: bytes) -> None:
        sender = self.names.get(source)
        if sender is None:
            self.counts["strangers"] += 1
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        for due in self.way(sender, to).line.datagram(now, len(data)):
            if due <= now:
                self.exit.transport.sendto(data, self.real[to])
            else:
                loop.call_at(due, self.exit.transport.sendto, data, self.real[to])

    def close(self) -> None:
        for entry in (*self.entries.values(), self.exit):
            entry.transport.close()


class Stream:
    """A link for the connections from one process to an address of another."""

    def __init__(self, target: Address, there: Way, back: Way) -> None:
        self.target, self.there, self.back = on_loopback(target), there, back
        self.half_open = self.resets = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.counts: Counter[str] = Counter()

    async def open(self) -> str:
        """HOST:PORT at which the caller finds it."""
        self.server = await asyncio.start_server(self.joined, LOOPBACK, 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    def treat(self, half_open: bool, resets: bool) -> None:
        """`half_open`: connections are accepted, and then nothing; `resets`: all end at once, and new
        ones."""
        self.half_open, self.resets = half_open, resets
        if resets:
            for writer in list(self.writers):
                self.reset(writer)

    def reset(self, writer: asyncio.StreamWriter) -> None:
        self.counts["reset"] += 1
        if not writer.is_closing():
            with contextlib.suppress(OSError):
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
        writer.transport.abort()

    async def joined(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        self.counts["connections"] += 1
        other: asyncio.StreamWriter | None = None
        try:
            if self.resets:
                self.reset(writer)
            elif self.half_open:
                await reader.read()  # until the caller gives up
            else:
                answers, other = await asyncio.open_connection(*self.target)
                self.writers.add(other)
                async with asyncio.TaskGroup() as pumps:
                    pumps.create_task(self.pump(reader, other, self.there))
                    pumps.create_task(self.pump(answers, writer, self.back))
        except* OSError:
            self.reset(writer)
        except* asyncio.CancelledError:
            pass  # the link is closed
        finally:
            self.tasks.discard(task)
            for end in (writer, other):
                if end is not None:
                    self.writers.discard(end)
                    end.close()

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        """In both halves at once, so that a delay is one of each byte and not a bound on how many pass."""
        held: asyncio.Queue[tuple[bytes | None, asyncio.Future[None]]] = asyncio.Queue(MOST_HELD)

        async def take() -> None:
            data: bytes | None
            while True:
                try:
                    data = await reader.read(PIECE)
                except OSError:
                    data = None
                await held.put((data, asyncio.ensure_future(way.through(len(data or b"")))))
                if not data:
                    return

        taking = asyncio.create_task(take())
        try:
            while True:
                data, through = await held.get()
                await through
                if self.half_open:
                    await asyncio.Event().wait()
                if data is None or writer.is_closing():
                    raise ConnectionResetError
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        finally:
            taking.cancel()
            while not held.empty():
                held.get_nowait()[1].cancel()

    async def close(self) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Network:
    """The links of one world, by the names of the processes at both ends."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.ways: dict[tuple[str, str], Way] = {}
        self.streams: dict[tuple[str, str], Stream] = {}
        self.datagrams = Datagrams(self.way)

    def way(self, sender: str, to: str) -> Way:
        """Each line draws from its own source of chances, whatever the others carry."""
        if (sender, to) not in self.ways:
            self.ways[sender, to] = Way(random.Random(f"{self.seed} {sender} {to}"))
        return self.ways[sender, to]

    async def stream(self, caller: str, callee: str, target: Address) -> str:
        """Where the caller finds the callee from now on."""
        link = Stream(target, self.way(caller, callee), self.way(callee, caller))
        place = await link.open()
        self.streams[caller, callee] = link
        return place

    def move(self, callee: str, target: Address) -> None:
        """The callee listens elsewhere now."""
        for (_, to), link in self.streams.items():
            if to == callee:
                link.target = on_loopback(target)

    def treat(self, sender: str, to: str, treatment: Treatment, half_open: bool, resets: bool) -> None:
        self.way(sender, to).treat(treatment)
        for pair in ((sender, to), (to, sender)):
            if pair in self.streams:
                self.streams[pair].treat(half_open, resets)

    def heal(self) -> None:
        for way in self.ways.values():
            way.treat(PASS)
        for link in self.streams.values():
            link.treat(False, False)

    def counts(self) -> dict[str, int]:
        total: Counter[str] = Counter(self.datagrams.counts)
        for way in self.ways.values():
            total.update(way.line.counts)
        for link in self.streams.values():
            total.update(link.counts)
        return dict(total)

    async def close(self) -> None:
        if self.datagrams.entries:
            self.datagrams.close()
        await asyncio.gather(*(link.close() for link in self.streams.values()))
