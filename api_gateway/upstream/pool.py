"""Connections to hosts: attempts, their outcomes, probes.

One attempt at a time on a connection: answers come in order, so a stuck one would hold up those behind it,
and giving one up costs the connection.
"""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import math
import re
import socket
from collections import OrderedDict
from collections.abc import Callable
from time import monotonic
from typing import Any

import hiredis

from api_gateway.base.descriptors import is_resource_exhaustion, retry_after_reclaim
from api_gateway.base.endpoint_list import Address
from api_gateway.base.resp import END, NO_REPLY, SMALL, Reader
from api_gateway.settings_parser import REPORT, read_report

MOST_REPLY = SMALL + 4096  # bytes of one answer but for a large value
PARTS = 3  # of an answer: the value, the figures on use, the load report
RECEIVE = 64 * 1024  # bytes that a connection's socket holds unread, so that what is read at once is bounded
STILL = 20.0  # s without a byte after which a value that has begun is given up
IDLE_MARGIN = 0.1  # part of the hosts' idle time by which a connection is closed before them
IDLE_CHECK = 0.5  # s between looks for idle connections
SETTLED = 0.05  # s after an answer in which a second one may come: a spoilt one is late by milliseconds
SETTLE_PART = 0.5  # part of what a host's answers usually take that a request waits for that
PACE_GAIN = 0.2  # weight of the latest answer in what they usually take
TICK = 0.002  # s past the end of a time: the loop's timers may fire early
ASK_LOAD = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"
NUMBER = re.compile(r"(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?").fullmatch  # float() takes 1_0, too
PROBE = object()  # the tag of an attempt that is a probe

Report = dict[str, float]


class Attempt:
    """One command for one host, with `body` as its last part where it is large. `payload` makes the rest as
    it goes out, from the seconds that are left for it then; nothing: it is not wanted any more. `done` gets
    it once, when `result` (of interface.RESULTS) is known. `begins` hears of a large value: is it wanted?
    What has not begun to go out `within` so many seconds does not."""

    __slots__ = (
        "host",
        "payload",
        "body",
        "done",
        "tag",
        "started",
        "result",
        "value",
        "used",
        "report",
        "conn",
        "timer",
        "begins",
        "began",
        "sink",
        "blocked",
        "whole",
        "until",
        "ends",
    )

    def __init__(
        self,
        host: str,
        payload: Callable[[float], bytes],
        done: Callable[[Attempt], None],
        tag: Any = None,
        body: bytearray | None = None,
        begins: Callable[[Attempt, int], bool] | None = None,
        within: float = math.inf,
    ) -> None:
        self.host, self.payload, self.done, self.tag, self.started = host, payload, done, tag, monotonic()
        self.body, self.begins, self.until = body, begins, self.started + within
        self.ends = math.inf  # when it is given up
        self.began = 0.0  # how long after its start a value in pieces did
        self.sink: Callable[[bytes], None] | None = None  # where its pieces go
        self.blocked: Callable[[], bool] | None = None  # whether they must wait
        self.whole = False  # all of them have gone there
        self.result = ""
        self.value = b""
        self.used = 0
        self.report: Report = {}
        self.conn: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def elapsed(self) -> float:
        """Until the answer, or its first bytes where it comes in pieces: the rest is the client's pace."""
        return self.began or monotonic() - self.started

    def piece(self, data: bytes) -> None:
        assert self.sink is not None
        self.sink(data)
        self.whole = data == END

    def end(self, result: str) -> None:
        if self.result:
            return
        self.result = result
        if self.timer is not None:
            self.timer.cancel()
        self.done(self)

    @property
    def written(self) -> bool:
        """Whether the socket took the last byte: from then on the request may have run."""
        return self.conn is not None and self.conn.written


def parse_report(text: object) -> Report:
    """What a load report says; one that is missing or malformed says nothing."""
    if isinstance(text, bytes):
        text = text.decode("utf-8", "replace")
    if not isinstance(text, str) or "=" not in text:
        return {}
    pairs = [pair.split("=", 1) for pair in text.split(",")]
    try:
        fields = dict(pairs)
    except ValueError:
        return {}
    if len(fields) < len(pairs):
        return {}
    for name, value in fields.items():
        if value and name in REPORT and not NUMBER(value):
            return {}
    report = read_report(fields.items())
    return report if math.inf not in report.values() else {}


class Connection(asyncio.Protocol):
    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        self.pool, self.sock = pool, sock
        self.reader = Reader(MOST_REPLY, (PARTS, 0))
        self.heard = 0.0  # when the last bytes came, or reading was resumed
        self.paused = False  # reading
        self.attempt: Attempt | None = None
        self.written, self.received, self.idle_since = True, 0, 0.0
        self.used = False  # by a request before
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        # With no room above the socket, pause_writing tells at once that it did not take every byte.
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        self.written = False

    def resume_writing(self) -> None:
        self.written = True

    def sound(self) -> bool:
        """Whether a request may go out here: nothing waits in the socket, not an end, half a line or a second
        answer, which the loop has not read yet and the request would take for its own."""
        if self.transport is None or self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def start(self, attempt: Attempt) -> bool:
        """Whether the attempt goes out here, which is decided no earlier: a connect may have taken too long,
        and the client may have gone."""
        assert self.transport is not None
        now = monotonic()
        payload = attempt.payload(attempt.ends - now) if now < min(attempt.until, attempt.ends) else b""
        if not payload:
            attempt.end("connect_failed")
            return False
        self.attempt, attempt.conn, self.received, self.used = attempt, self, 0, True
        self.transport.write(payload)
        if attempt.body is not None:
            self.transport.write(memoryview(attempt.body))
            self.transport.write(END)
        if self.transport.is_closing():  # the write failed at once, so the socket took nothing
            self.written = False
        return True

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None:  # an answer that nobody waits for
            self.close()
            return
        self.heard = monotonic()
        self.reader.feed(data)
        if attempt.sink is None:
            self.received += len(data)
        self.read(attempt)

    def read(self, attempt: Attempt) -> None:
        try:
            reply = self.reader.gets()
        except hiredis.ProtocolError:
            self.close()
            return
        if reply is NO_REPLY:
            if self.reader.begun and attempt.sink is None:
                self.begin(attempt)
            elif self.received > MOST_REPLY and attempt.sink is None:
                self.close()
            elif attempt.blocked is not None and attempt.blocked():
                self.pause(True)
            return
        self.attempt = None
        self.pause(False)
        result = read_reply(attempt, reply)
        self.pool.pace += PACE_GAIN * (attempt.elapsed() - self.pool.pace)
        if self.reader.has_data():
            self.close()
        else:
            self.pool.rest(self)
        attempt.end(result)

    def begin(self, attempt: Attempt) -> None:
        """A large value begins: it is passed on as it comes, and no longer timed."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.began = monotonic() - attempt.started
        if attempt.begins is None or not attempt.begins(attempt, self.reader.begun):
            if attempt is self.attempt:
                self.pool.hosts.give_up(attempt, "cancelled" if attempt.begins else "error")
            return
        self.go_on()

    def go_on(self) -> None:
        """Reads on where pieces need not wait any longer."""
        attempt = self.attempt
        if attempt is None or attempt.blocked is None:
            return
        if attempt.blocked():
            self.pause(True)
            return
        self.pause(False)
        if self.reader.begun:
            self.reader.pass_on(attempt.piece)
            self.read(attempt)

    def pause(self, on: bool) -> None:
        if on != self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused, self.heard = on, monotonic()
            self.transport.pause_reading() if on else self.transport.resume_reading()

    def check(self, now: float) -> None:
        """A host that stops in the middle of a value is not waited for without end."""
        if self.attempt is not None and self.attempt.sink and not self.paused and now - self.heard > STILL:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.close()

    def close(self) -> None:
        """Ends the connection now: the socket is shut at once, before another attempt can be sent."""
        attempt, self.attempt = self.attempt, None
        self.pool.drop(self)
        if self.transport is not None and not self.transport.is_closing():
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
        if attempt is not None and attempt.whole:  # what was to follow is not missed
            attempt.end("ok")
        elif attempt is not None:
            attempt.end("reset" if self.written else "connect_failed")


def read_reply(attempt: Attempt, reply: object) -> str:
    """Fills in what the answer says and tells the outcome."""
    if isinstance(reply, list):
        if len(reply) != PARTS or any(isinstance(part, hiredis.ReplyError) for part in reply):
            return "error"
        value, used, report = reply
        if not isinstance(value, bytes) or len(value) > SMALL or isinstance(report, list):
            return "error"
        attempt.value, attempt.report = value, parse_report(report)
        if isinstance(used, int):
            attempt.used = used
        return "ok"
    if isinstance(reply, hiredis.ReplyError):
        words = str(reply).split(" ")
        attempt.report = parse_report(words[-1])
        return "full" if words[0] == "BUSY" else "error"
    if isinstance(reply, bytes) and attempt.tag is PROBE:
        attempt.report = parse_report(reply)
        return "ok"
    return "error"  # no value of a host: serving anything for it would be made up


class Short(Exception):
    """The gateway has nothing left to open a connection with: that says nothing of the host."""


class Pool:
    """The connections to one host: those that rest, the latest used last, and those that are coming up. One
    that has just brought an answer is left alone until no second one can come."""

    settle = SETTLED

    def __init__(self, hosts: Hosts, address: Address) -> None:
        self.hosts, self.address, self.up = hosts, address, True
        self.idle: list[Connection] = []
        self.pace = 0.0  # s that answers of this host usually take
        self.coming = Coming(hosts)  # connects by the attempt that each is for
        self.settling: dict[Attempt, tuple[Connection, asyncio.TimerHandle]] = {}  # by who has them next

    def reuse(self, attempt: Attempt) -> bool:
        """Whether a connection that rested was there for it."""
        conn = self.settled()
        if conn is not None and not conn.start(attempt):
            self.put_back(conn)
        return conn is not None

    def settled(self) -> Connection | None:
        """One that rests, the latest used of those on which nothing more will come; it rests no longer."""
        before = monotonic() - self.settle
        for conn in [conn for conn in reversed(self.idle) if conn.idle_since <= before]:
            if conn.sound():
                self.take(conn)
                return conn
            conn.close()
        return None

    def start(self, attempt: Attempt) -> None:
        """On a connection that rests, else on one that will have settled soon, as this host's answers go:
        that costs the host less than a new one."""
        if self.reuse(attempt):
            return
        left = max(0.0, self.idle[0].idle_since + self.settle - monotonic()) if self.idle else math.inf
        if left > SETTLE_PART * self.pace:
            self.start_new(attempt)
            return
        timer = asyncio.get_running_loop().call_later(left + TICK, self.has_settled, attempt)
        self.settling[attempt] = self.take(self.idle[0]), timer

    def has_settled(self, attempt: Attempt) -> None:
        conn, _ = self.settling[attempt]
        if conn.sound():
            del self.settling[attempt]
            attempt.started = monotonic()  # that wait says nothing of the host
            if not conn.start(attempt):
                self.put_back(conn)
        else:
            conn.close()

    def start_new(self, attempt: Attempt) -> None:
        loop = asyncio.get_running_loop()
        if self.hosts.room():
            self.coming[attempt] = loop.create_task(self.connect(attempt))
        else:  # all are in use, which says nothing of this host
            loop.call_soon(attempt.end, "moot")

    def call_off(self, attempt: Attempt) -> None:
        """Nobody waits any longer for a connection for this attempt."""
        task = self.coming.pop(attempt, None)
        if task is not None:
            task.cancel()
        if attempt in self.settling:
            conn, timer = self.settling.pop(attempt)
            timer.cancel()
            self.put_back(conn)

    async def open(self) -> Connection | None:
        """A new connection; None where it is refused or does not come up in time. Raises Short."""
        try:
            return await retry_after_reclaim(self.open_once, self.hosts.reclaim_descriptor)
        except (OSError, ValueError) as err:  # refused, out of time, or no address at all
            if is_resource_exhaustion(err):
                raise Short from err
        return None

    async def open_once(self) -> Connection:
        """Raises OSError, TimeoutError among them, or ValueError."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        conn: Connection | None = None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE)
            async with asyncio.timeout(self.hosts.connect_timeout):
                await loop.sock_connect(sock, self.address)
                _, conn = await loop.create_connection(lambda: Connection(self, sock), sock=sock)
            return conn
        finally:
            if conn is None:
                sock.close()

    async def connect(self, attempt: Attempt) -> None:
        conn, result = None, "connect_failed"
        try:
            conn = await self.open()
        except Short:
            result = "moot"
        finally:
            waiting = self.coming.pop(attempt, None) is not None
        if conn is not None:
            self.hosts.conns.add(conn)
            wanted = waiting and not attempt.result and self.up
            if wanted and conn.transport is not None and not conn.transport.is_closing():
                if not conn.start(attempt):
                    self.rest(conn)
                return
            conn.close()
        if waiting:
            attempt.end(result)

    def rest(self, conn: Connection) -> None:
        if self.up:
            conn.idle_since = monotonic()
            self.idle.append(conn)
            self.hosts.rests(conn)
        else:
            conn.close()

    def take(self, conn: Connection) -> Connection:
        """It rests no longer."""
        self.idle.remove(conn)
        self.hosts.idle.pop(conn, None)
        return conn

    def put_back(self, conn: Connection) -> None:
        """It goes on resting, as long as before."""
        if self.up and conn in self.hosts.conns:
            bisect.insort(self.idle, conn, key=lambda c: c.idle_since)
            self.hosts.rests(conn)
        else:
            conn.close()

    def drop(self, conn: Connection) -> None:
        if conn in self.idle:
            self.take(conn)
        self.hosts.conns.discard(conn)
        for attempt, (settling, timer) in list(self.settling.items()):
            if settling is conn:  # who was to have it next needs a new one
                del self.settling[attempt]
                timer.cancel()
                self.start_new(attempt)

    def close_idle(self, before: float = math.inf) -> None:
        for conn in [c for c in self.idle if c.idle_since < before]:
            conn.close()

    def stop(self) -> None:
        """Nothing new goes to this address, nor what still waits for a connection to it."""
        self.up = False
        self.close_idle()
        for attempt, (conn, timer) in list(self.settling.items()):
            del self.settling[attempt]
            timer.cancel()
            conn.close()
            attempt.end("connect_failed")
        for attempt, task in list(self.coming.items()):
            del self.coming[attempt]
            task.cancel()
            attempt.end("connect_failed")


class Coming(dict[Any, asyncio.Task[None]]):
    """The connects of one pool, which count in those of all. An entry goes with its connect's first word or
    when it is called off, whichever is first: a task that is cancelled before its first step has none."""

    def __init__(self, hosts: Hosts) -> None:
        super().__init__()
        self.hosts = hosts

    def __setitem__(self, key: Any, task: asyncio.Task[None]) -> None:
        self.hosts.coming += key not in self
        super().__setitem__(key, task)

    def __delitem__(self, key: Any) -> None:
        super().__delitem__(key)
        self.hosts.coming -= 1

    def pop(self, key: Any, default: Any = None) -> Any:
        self.hosts.coming -= key in self
        return super().pop(key, default)


class Hosts:
    """Nothing here that a request, a change or a timer does walks over all pools."""

    def __init__(self, connect_timeout: float, idle_close: float, most: int) -> None:
        self.most = most
        self.make: Callable[[Hosts, Address], Pool] = Pool
        self.coming = 0  # connections that are coming up, of all pools
        self.reclaim_descriptor = self.end_idle  # ends a connection, of any kind, where none can be opened
        self.idle: OrderedDict[Connection, None] = OrderedDict()  # that rest, of all pools, the oldest first
        self.retune(connect_timeout, idle_close)
        self.pools: dict[str, Pool] = {}
        self.places: dict[str, Address] = {}  # where the list says that hosts are up
        self.out: set[str] = set()  # hosts that an operator took out
        self.conns: set[Connection] = set()
        self.check: asyncio.TimerHandle | None = None

    def retune(self, connect_timeout: float, idle_close: float) -> None:
        self.connect_timeout, self.idle_time = connect_timeout, idle_close * (1 - IDLE_MARGIN) - IDLE_CHECK

    def listed(self, host: str, address: Address | None) -> None:
        """Where the host is now; None: nothing new goes to it."""
        if address is not None:
            self.places[host] = address
        else:
            self.places.pop(host, None)
        self.settle(host)

    def take_out(self, host: str, out: bool) -> None:
        """Out: nothing new goes to the host, wherever the list says that it is."""
        if out:
            self.out.add(host)
        else:
            self.out.discard(host)
        self.settle(host)

    def settle(self, host: str) -> None:
        address, pool = None if host in self.out else self.places.get(host), self.pools.get(host)
        if pool is not None and pool.address != address:
            pool.stop()
            del self.pools[host]
        if address is not None and host not in self.pools:
            self.pools[host] = self.make(self, address)

    def send(self, attempt: Attempt, timeout: float) -> None:
        loop = asyncio.get_running_loop()
        pool = self.pools.get(attempt.host)
        if pool is None:
            loop.call_soon(attempt.end, "connect_failed")
            return
        attempt.ends = monotonic() + timeout
        attempt.timer = loop.call_later(timeout, self.give_up, attempt, "timeout")
        pool.start(attempt)

    def probe(self, host: str, done: Callable[[Attempt], None]) -> None:
        self.send(Attempt(host, lambda _: ASK_LOAD, done, PROBE), self.connect_timeout)

    def give_up(self, attempt: Attempt, result: str) -> None:
        """Stops waiting. The connection goes too: a late answer must not meet the next request on it."""
        if attempt.result:
            return
        conn = attempt.conn
        if conn is None:
            pool = self.pools.get(attempt.host)
            if pool is not None:
                pool.call_off(attempt)
            attempt.end("connect_failed")
            return
        if not conn.written:
            result = "connect_failed"
        elif attempt.whole:
            result = "ok"
        conn.attempt = None
        conn.close()
        attempt.end(result)

    @property
    def open(self) -> int:
        """Connections, those that are coming up among them."""
        return len(self.conns) + self.coming

    def rests(self, conn: Connection) -> None:
        """It has its place by the time since which it rests: that is the last, unless it is put back."""
        later = []
        while self.idle and (last := next(reversed(self.idle))).idle_since > conn.idle_since:
            later.append(last)
            del self.idle[last]
        self.idle[conn] = None
        for last in reversed(later):
            self.idle[last] = None

    def room(self) -> bool:
        return self.open < self.most or self.end_idle()

    def end_idle(self) -> bool:
        """Whether there was one that rested: the oldest is ended."""
        if self.idle:
            next(iter(self.idle)).close()
            return True
        return False

    def resting(self) -> int:
        return len(self.idle)

    def make_room(self) -> None:
        """After the limit has shrunk: those that rest go, the oldest first."""
        while self.open > self.most and self.room():
            pass

    def close_idle(self, host: str) -> None:
        if host in self.pools:
            self.pools[host].close_idle()

    def close_stale(self) -> None:
        """Closes what has rested nearly as long as hosts allow: a request that meets their close is reset."""
        before = monotonic() - self.idle_time
        while self.idle and (oldest := next(iter(self.idle))).idle_since < before:
            oldest.close()

    def start_checks(self) -> None:
        self.close_stale()
        now = monotonic()
        for conn in list(self.conns):
            conn.check(now)
        self.check = asyncio.get_running_loop().call_later(IDLE_CHECK, self.start_checks)

    def close(self) -> None:
        if self.check is not None:
            self.check.cancel()
        for pool in self.pools.values():
            pool.stop()
        for conn in list(self.conns):
            conn.close()
