"""Links between processes on loopback: forwarders for datagrams and streams, impaired while they run."""

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

from api_gateway.experiments.faults.lines import NO_IMPAIRMENT, Impairment, Line

Address = tuple[str, int]

LOOPBACK = "127.0.0.1"
MAX_QUEUED_CHUNKS = 64  # chunks of a stream in transit; with more, the sender is not read
CHUNK_BYTES = 65536
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER that makes a close reset the connection


def on_loopback(address: Address) -> Address:
    """Return the address. Raises ValueError if it is not on loopback: no link may send to another machine."""
    if not ipaddress.ip_address(address[0]).is_loopback:
        raise ValueError(f"{address[0]} is not on loopback")
    return address


class OneWayLink:
    """One direction of a link: a line, and an event for the streams that wait while it is cut."""

    def __init__(self, rng: random.Random) -> None:
        self.line, self.connected = Line(rng), asyncio.Event()
        self.connected.set()

    def impair(self, impairment: Impairment) -> None:
        """Replace the impairment. Waiting streams go on unless the new one is a cut."""
        self.line.impairment = impairment
        if impairment.cut:
            self.connected.clear()
        else:
            self.connected.set()

    async def delay_chunk(self, size: int) -> None:
        """Wait until a chunk of a stream is to be delivered."""
        loop = asyncio.get_running_loop()
        while (due := self.line.chunk_time(loop.time(), size)) is None:
            await self.connected.wait()
        if due > loop.time():
            await asyncio.sleep(due - loop.time())


class DatagramPort(asyncio.DatagramProtocol):
    """A UDP socket that passes each datagram and its source to a callback."""

    def __init__(self, on_datagram: Callable[[Address, bytes], None]) -> None:
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.on_datagram((addr[0], addr[1]), data)

    def error_received(self, exc: Exception) -> None:
        """Ignore it: nobody listens there, and the datagram is lost as it would be without a link."""


async def open_port(on_datagram: Callable[[Address, bytes], None]) -> DatagramPort:
    """Open a UDP socket on a free port of loopback."""
    loop = asyncio.get_running_loop()
    _, datagram_port = await loop.create_datagram_endpoint(
        lambda: DatagramPort(on_datagram), local_addr=(LOOPBACK, 0)
    )
    return datagram_port


class DatagramLinks:
    """Datagram links between all pairs of a set of processes.

    Each process advertises an entry address at which this class listens. A datagram that arrives there is
    forwarded over the line of its sender. Receivers see all datagrams come from one exit address. A datagram
    sent to the exit address is counted and dropped.
    """

    def __init__(self, get_link: Callable[[str, str], OneWayLink]) -> None:
        self.get_link, self.real_addresses = get_link, dict[str, Address]()
        self.names_by_source: dict[Address, str] = {}  # by the address from which each process sends
        self.entry_ports: dict[str, DatagramPort] = {}
        self.exit_port: DatagramPort
        self.counts: Counter[str] = Counter()

    async def open(self, addresses: dict[str, Address]) -> dict[str, Address]:
        """Return the addresses to advertise. `addresses`: the address at which each listens and sends."""

        def forwarder_to(to: str) -> Callable[[Address, bytes], None]:
            """Return the callback that forwards datagrams to one process."""
            return lambda source, data: self.forward(source, to, data)

        self.exit_port = await open_port(lambda *_: self.counts.update(astray=1))
        for name, address in addresses.items():
            self.real_addresses[name] = on_loopback(address)
            self.names_by_source[address] = name
            self.entry_ports[name] = await open_port(forwarder_to(name))
        return {
            name: entry.transport.get_extra_info("sockname")[:2] for name, entry in self.entry_ports.items()
        }

    def forward(self, source: Address, to: str, data: bytes) -> None:
        """Send a datagram on through the line from its sender."""
        sender = self.names_by_source.get(source)
        if sender is None:
            self.counts["strangers"] += 1
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        for due in self.get_link(sender, to).line.datagram_times(now, len(data)):
            if due <= now:
                self.exit_port.transport.sendto(data, self.real_addresses[to])
            else:
                loop.call_at(due, self.exit_port.transport.sendto, data, self.real_addresses[to])

    def close(self) -> None:
        for entry in (*self.entry_ports.values(), self.exit_port):
            entry.transport.close()


class StreamLink:
    """A link for the connections from one process to an address of another."""

    def __init__(self, target: Address, forward_link: OneWayLink, return_link: OneWayLink) -> None:
        self.target, self.forward_link, self.return_link = on_loopback(target), forward_link, return_link
        self.half_open = self.resets = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.counts: Counter[str] = Counter()

    async def open(self) -> str:
        """Start listening and return the HOST:PORT to which the caller connects."""
        self.server = await asyncio.start_server(self.on_connection, LOOPBACK, 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    def set_faults(self, half_open: bool, resets: bool) -> None:
        """Set the faults of the connections.

        With `half_open` connections are accepted, but no data passes. With `resets` all open connections and
        all new ones are reset.
        """
        self.half_open, self.resets = half_open, resets
        if resets:
            for writer in list(self.writers):
                self.reset(writer)

    def reset(self, writer: asyncio.StreamWriter) -> None:
        """Close a connection with a TCP reset."""
        self.counts["reset"] += 1
        if not writer.is_closing():
            with contextlib.suppress(OSError):
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward a new connection to the target and back, or apply the faults set on the link."""
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
                await reader.read()  # until the caller closes
            else:
                replies, other = await asyncio.open_connection(*self.target)
                self.writers.add(other)
                async with asyncio.TaskGroup() as pumps:
                    pumps.create_task(self.pump(reader, other, self.forward_link))
                    pumps.create_task(self.pump(replies, writer, self.return_link))
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

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, one_way: OneWayLink
    ) -> None:
        """Read and write concurrently, so that a delay applies to each byte without limiting throughput."""
        chunks: asyncio.Queue[tuple[bytes | None, asyncio.Future[None]]] = asyncio.Queue(MAX_QUEUED_CHUNKS)

        async def read_chunks() -> None:
            data: bytes | None
            while True:
                try:
                    data = await reader.read(CHUNK_BYTES)
                except OSError:
                    data = None
                await chunks.put((data, asyncio.ensure_future(one_way.delay_chunk(len(data or b"")))))
                if not data:
                    return

        reading = asyncio.create_task(read_chunks())
        try:
            while True:
                data, delayed = await chunks.get()
                await delayed
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
            reading.cancel()
            while not chunks.empty():
                chunks.get_nowait()[1].cancel()

    async def close(self) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Network:
    """The links of one world, keyed by the names of the processes at both ends."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.one_way_links: dict[tuple[str, str], OneWayLink] = {}
        self.stream_links: dict[tuple[str, str], StreamLink] = {}
        self.datagram_links = DatagramLinks(self.one_way_link)

    def one_way_link(self, sender: str, to: str) -> OneWayLink:
        """Return one direction of a link. Each has a random generator that other traffic does not affect."""
        if (sender, to) not in self.one_way_links:
            self.one_way_links[sender, to] = OneWayLink(random.Random(f"{self.seed} {sender} {to}"))
        return self.one_way_links[sender, to]

    async def add_stream_link(self, caller: str, callee: str, target: Address) -> str:
        """Add a stream link and return the address at which the caller reaches the callee."""
        link = StreamLink(target, self.one_way_link(caller, callee), self.one_way_link(callee, caller))
        address = await link.open()
        self.stream_links[caller, callee] = link
        return address

    def retarget(self, callee: str, target: Address) -> None:
        """Point the links of a callee at its new address."""
        for (_, to), link in self.stream_links.items():
            if to == callee:
                link.target = on_loopback(target)

    def impair(self, sender: str, to: str, impairment: Impairment, half_open: bool, resets: bool) -> None:
        """Impair one direction, and set the faults of the streams between the two processes."""
        self.one_way_link(sender, to).impair(impairment)
        for pair in ((sender, to), (to, sender)):
            if pair in self.stream_links:
                self.stream_links[pair].set_faults(half_open, resets)

    def heal(self) -> None:
        """Remove all impairments and connection faults."""
        for one_way in self.one_way_links.values():
            one_way.impair(NO_IMPAIRMENT)
        for link in self.stream_links.values():
            link.set_faults(False, False)

    def counts(self) -> dict[str, int]:
        """Return the counts of all lines and links, summed by name."""
        total: Counter[str] = Counter(self.datagram_links.counts)
        for one_way in self.one_way_links.values():
            total.update(one_way.line.counts)
        for link in self.stream_links.values():
            total.update(link.counts)
        return dict(total)

    async def close(self) -> None:
        if self.datagram_links.entry_ports:
            self.datagram_links.close()
        await asyncio.gather(*(link.close() for link in self.stream_links.values()))
