"""Plays one client connection that is ended while its requests stand in drawn places, judged by the client.

A client writes a stream of commands in three pieces: the gateway has time to read the first; the second
arrives just before the end begins; the third follows later. Whatever command the gateway has read the first
byte of has to be answered.
"""

import asyncio
import contextlib
import random
import socket
from dataclasses import dataclass, field

import hiredis
from netkit import VALUE, Node, StubHost, command, terms, wait_until, write_command

from api_gateway.downstream import connection_timeouts
from api_gateway.downstream.connection_state import CloseCause
from api_gateway.gateway import shutdown

PING = b"*1\r\n$4\r\nPING\r\n"
UNKNOWN = b"*1\r\n$7\r\nUNKNOWN\r\n"
LONG_VALUE = bytes(100_000)
LONG_ANSWER = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(LONG_VALUE), LONG_VALUE)
BODY = b"b" * 20_000
SETTLE_S = 0.05  # in which the gateway reads what was sent
READ_TIMEOUT_S = 8.0
CROWD = 12
SHORT_TIMES = {
    "DRAIN_FIRST_COMMAND_TIMEOUT_S": 0.1,
    "DRAIN_PARTIAL_COMMAND_S": 0.2,
    "COMMAND_TIMEOUT_S": 1.0,
    "BODY_PROGRESS_TIMEOUT_S": 1.0,
}


def request(kind, number):
    """Return a command whose id tells the host when to answer: `now`, `later` or with a `value`."""
    request_id = b"%s-%d" % (kind.encode(), number)
    if kind == "upload":
        return command(request_id, terms(c="note"), b"API.WRITE", body=BODY)
    if kind == "write":
        return write_command(request_id, b"note")
    return {"ping": PING, "unknown": UNKNOWN}.get(kind) or command(request_id)


@dataclass
class Plan:
    """What a play does.

    Attributes:
        kinds: The commands of the stream.
        first_cut, second_cut: Where the pieces of the stream end, as fractions of its length.
        ends: What ends the connection, in order.
        reads_late: Whether the client reads nothing before the end.
        is_memory_short: Whether large bodies wait for memory until after the end.
        delay_s: Between the end and the third piece, and before hosts give the answers that are due later.
        is_fair: Whether commands are scheduled by fair queueing.
    """

    kinds: list[str]
    first_cut: float
    second_cut: float
    ends: list[str]
    reads_late: bool = False
    is_memory_short: bool = False
    delay_s: float = 0.0
    is_fair: bool = False


# Where the requests of a connection can stand when its end begins.
PLACES = {
    "unread": (["now"], 0.0, 1.0),
    "half read": (["now"], 0.5, 0.5),
    "half read, the rest unread": (["now"], 0.5, 1.0),
    "behind one answered at once, unread": (["ping", "now"], 0.0, 1.0),
    "half behind one answered at once": (["ping", "now"], 0.6, 0.6),
    "waiting for a turn": (["ping"] * 40 + ["now", "later"], 0.0, 1.0),
    "half of a large body": (["upload"], 0.5, 0.5),
    "half of a large body, the rest unread": (["upload"], 0.5, 1.0),
    "a large body behind another command": (["now", "upload", "later"], 0.6, 0.8),
    "unanswered": (["later"], 1.0, 1.0),
    "unanswered, half behind it": (["later", "now"], 0.75, 0.75),
    "unanswered, one behind it unread": (["later", "now"], 0.5, 1.0),
    "behind a value in transfer": (["value", "now", "write"], 0.34, 1.0),
    "half behind a value in transfer": (["value", "now"], 0.75, 0.75),
    "answered, not read": (["now", "value", "now"], 1.0, 1.0),
}


class GatedHost(StubHost):
    """Answers requests whose id begins with `later`, and the second half of values, once `gate` is set."""

    def __init__(self):
        super().__init__()
        self.gate = asyncio.Event()
        self.writers_by_task = {}

    async def serve(self, reader, writer):
        self.writers_by_task[asyncio.current_task()] = writer
        await super().serve(reader, writer)

    async def answer_to(self, received):
        if received[2].startswith(b"value"):
            self.writers_by_task[asyncio.current_task()].write(LONG_ANSWER[: len(LONG_ANSWER) // 2])
            await self.gate.wait()
            return LONG_ANSWER[len(LONG_ANSWER) // 2 :]
        if received[2].startswith(b"later"):
            await self.gate.wait()
        return VALUE


@dataclass
class Outcome:
    """What was seen of the commands of the stream.

    Attributes:
        starts: The offset of each command in the stream.
        read_bytes: How many bytes of the stream the gateway has read.
        replies: The replies that the client got, in order.
        is_ended: Whether the connection has ended.
        ran: The ids that reached the host.
        lost_count: What the gateway itself counts as lost.
    """

    starts: list[int] = field(default_factory=list)
    read_bytes: int = 0
    replies: list[object] = field(default_factory=list)
    is_ended: bool = False
    ran: list[bytes] = field(default_factory=list)
    lost_count: int = 0

    def lost(self):
        """Return the numbers of the commands that were read, also in part, and got no answer."""
        answered = len(self.replies)
        return [n for n, start in enumerate(self.starts) if n >= answered and start < self.read_bytes]


class Play:
    """A gateway in this process, one client connection and what ends it."""

    def __init__(self, plan, node, host, monkeypatch):
        self.plan, self.node, self.host, self.monkeypatch = plan, node, host, monkeypatch
        self.outcome = Outcome()
        self.crowd = []
        self.stop_task = None

    @property
    def server(self):
        return self.node.node.clients

    async def run(self):
        """Play the plan and return the outcome."""
        node = self.node.node
        node.sibling_watch.timer.cancel()
        commands = [request(kind, number) for number, kind in enumerate(self.plan.kinds)]
        stream = b"".join(commands)
        self.outcome.starts = [sum(map(len, commands[:n])) for n in range(len(commands))]
        if self.plan.is_memory_short:
            self.server.body_budget.reserved_bytes = self.server.body_budget.capacity_bytes
        peer = socket.create_connection(("127.0.0.1", self.node.port))
        await wait_until(lambda: self.server.connections)
        (connection,) = self.server.connections
        self.count_reads(connection)
        cuts = [int(len(stream) * cut) for cut in (self.plan.first_cut, self.plan.second_cut)]
        peer.sendall(stream[: cuts[0]])
        await asyncio.sleep(SETTLE_S)
        peer.setblocking(False)
        reading = None if self.plan.reads_late else asyncio.create_task(self.read(peer))
        peer.send(stream[cuts[0] : cuts[1]]) if cuts[1] > cuts[0] else None
        for end in self.plan.ends:
            if connection in self.server.connections:  # an end before it may have closed the connection
                await ALL_END_ACTIONS[end](self, connection)
        await asyncio.sleep(self.plan.delay_s)
        with contextlib.suppress(OSError):
            peer.send(stream[cuts[1] :])
        if self.plan.is_memory_short:
            self.server.body_budget.release(self.server.body_budget.capacity_bytes)
        await asyncio.sleep(self.plan.delay_s)
        self.host.gate.set()
        await (reading or self.read(peer))
        self.outcome.lost_count = self.server.ends.counts["request_lost"]
        self.outcome.ran = [received[2] for received in self.host.commands]
        peer.close()
        for other in self.crowd:
            other.close()
        if self.stop_task is not None:
            await self.stop_task
        return self.outcome

    def count_reads(self, connection):
        data_received = connection.data_received

        def count_and_receive(data):
            self.outcome.read_bytes += len(data)
            data_received(data)

        connection.data_received = count_and_receive

    async def read(self, peer):
        """Read until each command is answered or the connection has ended."""
        loop = asyncio.get_running_loop()
        parser = hiredis.Reader(notEnoughData=..., replyError=str)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(READ_TIMEOUT_S):
                while len(self.outcome.replies) < len(self.outcome.starts):
                    data = await loop.sock_recv(peer, 65536)
                    if not data:
                        break
                    parser.feed(data)
                    while (reply := parser.gets()) is not ...:
                        self.outcome.replies.append(reply)
                return
        self.outcome.is_ended = True

    # Ends

    async def request_close(self, connection):
        connection.close_when_done(CloseCause.CONNECTION_LIMIT)

    async def gather_crowd(self, connection):
        self.server.capacity = 2
        for _ in range(CROWD):
            with contextlib.suppress(ConnectionRefusedError):  # the process is stopping
                self.crowd.append(socket.create_connection(("127.0.0.1", self.node.port)))
            await asyncio.sleep(0.002)

    async def lack_descriptors(self, connection):
        connection.last_command_at -= 10.0  # it counts as idle for long
        for _ in range(3):
            self.node.node.limits.reclaim_descriptor()

    async def begin_drain(self, connection):
        self.server.drain_read_s = 0.05
        self.server.set_draining(True)

    async def end_drain(self, connection):
        self.server.set_draining(False)

    async def wait(self, connection):
        await asyncio.sleep(0.15)

    async def stop_process(self, connection):
        if self.stop_task is not None:
            return
        self.monkeypatch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
        self.monkeypatch.setattr(shutdown, "KILL_DELAY_S", 0.5)
        self.stop_task = asyncio.create_task(self.node.node.stop())
        await asyncio.sleep(0)

    async def stop_reading(self, connection):
        self.server.set_draining(True)
        self.node.node.requests.is_rejecting_all = True
        self.server.stop_reading()
        self.node.node.requests.abandon_all()

    async def lower_limit(self, connection):
        connection.last_command_at -= 10.0
        self.server.capacity = 0
        self.server.shrink_to_capacity()

    async def close_lingering(self, connection):
        self.server.close_lingering()
        self.server.close_stalled()

    async def expire(self, connection):
        connection_timeouts.check_timeouts(connection, asyncio.get_running_loop().time() + 1.5)

    # Ends of the connections to hosts

    async def reset_by_hosts(self, connection):
        for writer in self.host.writers_by_task.values():
            writer.transport.abort()
        await asyncio.sleep(0.02)

    async def close_host_connections(self, connection):
        self.node.node.upstream.max_connections = 1
        self.node.node.upstream.close_excess_idle()
        self.node.node.upstream.close_idle("h1")

    async def remove_host(self, connection):
        self.node.node.upstream.pools["h1"].stop()


END_ACTIONS = {
    "limit": Play.request_close,
    "crowd": Play.gather_crowd,
    "descriptors": Play.lack_descriptors,
    "drain": Play.begin_drain,
    "drain over": Play.end_drain,
    "a while": Play.wait,
    "stop": Play.stop_process,
    "reading stopped": Play.stop_reading,
    "lowered limit": Play.lower_limit,
    "make room": Play.close_lingering,
    "time-out": Play.expire,
}
# Ends on the other side. A value in transfer that breaks off ends the client's connection, so none is drawn
# with these.
HOST_END_ACTIONS = {
    "hosts reset": Play.reset_by_hosts,
    "host connections": Play.close_host_connections,
    "host removed": Play.remove_host,
}
ALL_END_ACTIONS = END_ACTIONS | HOST_END_ACTIONS
# Series of ends that each place is played with.
ENDS = {
    "limit": ["limit"],
    "crowd": ["crowd"],
    "descriptors": ["descriptors"],
    "drain": ["drain"],
    "drain, a while": ["drain", "a while", "make room"],
    "drain on and off": ["drain", "a while", "drain over", "limit"],
    "stop": ["stop"],
    "reading stopped": ["reading stopped"],
    "lowered limit": ["lowered limit"],
    "limit, crowd, room": ["limit", "crowd", "make room", "descriptors"],
    "time-out": ["time-out"],
    "drain, time-out": ["drain", "time-out", "a while"],
}
HOST_ENDS = {
    "hosts reset": ["hosts reset"],
    "host connections": ["host connections"],
    "host removed": ["host removed"],
    "hosts reset, drain": ["hosts reset", "drain", "hosts reset", "a while"],
    "limit, host removed": ["limit", "host removed", "hosts reset"],
}
FAIR_EDGE = {"edge": {"turns": True}}


def draw_plan(seed):
    """Draw a stream of commands, where it is cut, and a series of ends."""
    rng = random.Random(seed)
    kinds = rng.choices(["ping", "unknown", "now", "later", "value", "upload", "write"], k=rng.randint(1, 5))
    if rng.random() < 0.2:
        kinds = ["ping"] * rng.randint(9, 60) + kinds
    cuts = sorted([rng.choice([0.0, rng.random()]), rng.choice([1.0, rng.random()])])
    return Plan(
        kinds,
        *cuts,
        ends=rng.choices(list(END_ACTIONS), k=rng.randint(1, 4)),
        reads_late=rng.random() < 0.3,
        is_memory_short=rng.random() < 0.2,
        delay_s=rng.choice([0.0, 0.01, 0.2]),
        is_fair=rng.random() < 0.3,
    )


def draw_plan_of_both_sides(seed):
    """Draw a plan in which hosts end connections, too."""
    plan = draw_plan(seed)
    rng = random.Random(f"both {seed}")
    plan.kinds = ["now" if kind == "value" else kind for kind in plan.kinds]
    plan.ends.insert(rng.randint(0, len(plan.ends)), rng.choice(list(HOST_END_ACTIONS)))
    return plan


async def run_plan(plan, path, monkeypatch):
    """Play a plan with a gateway of its own and return the outcome."""
    for name, seconds in SHORT_TIMES.items():
        monkeypatch.setattr(connection_timeouts, name, seconds)
    host = GatedHost()
    async with host, Node(host, path=path, config_overrides=FAIR_EDGE if plan.is_fair else {}) as node:
        return await Play(plan, node, host, monkeypatch).run()
