"""Feeds what happens on the sockets to the one decision module and carries out what it decides.

Nothing here decides. This file owns the timers and each request's single final answer. Each event and action
of interface/ has its place here, but for ResponseStarted and PeerMessage: the sockets know no streams
and no peers.
"""

from __future__ import annotations

import asyncio
import logging
import math
import resource
import sys
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from functools import partial
from typing import Any

from api_gateway import interface as api
from api_gateway.base.endpoint_list import Address, Listing, write_address
from api_gateway.base.resp import MOST_LARGE
from api_gateway.control.host_overrides import Bans, UnknownHost
from api_gateway.counter_client import Counter
from api_gateway.discovery.client import Discovery
from api_gateway.downstream.client_server import ClientServer
from api_gateway.downstream.pending_reply import Slot
from api_gateway.gateway.config import Config
from api_gateway.gateway.instances import Lives
from api_gateway.gateway.requests import RESERVED, BadRequest, InFlightRequest, bulk, read_request
from api_gateway.gateway.shutdown import shut_down
from api_gateway.gateway.wall_clock import Clock
from api_gateway.policy import Gateway
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.endpoint_pools import Hosts

GUARD = 0.01  # s before the client gives up by which a request is failed, whatever the module does
MOST_HELD = 16 * 1024 * 1024  # bytes of small bodies in work past which requests are refused
PROCESS = 32 * 1024 * 1024  # bytes that a process takes by itself
BODIES = 0.5  # part of the rest for large bodies: connections and pieces of values take some, too
SPARE_SOCKETS = 64  # descriptors that are neither clients' nor hosts' connections
LOOK = 0.25  # s between looks at the wall clock and at what other processes of this gateway did
CLOCK_CHECK = 0.1  # s that a start waits for the counter to tell the fleet's time


FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"
PONG = b"+PONG\r\n"

log = logging.getLogger(__name__)


def resident() -> int:
    """Bytes of memory that this process has."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


class GatewayNode:
    def __init__(self, config: Config) -> None:
        self.config, self.settings = config, config.settings
        self.clock = Clock(config.scratch if config.control or config.keep else None, config.name)
        self.loop = asyncio.get_running_loop()
        self.module = Gateway(config.settings, config.seed, self.clock())
        self.in_flight: dict[str, InFlightRequest] = {}
        self.held = 0  # bytes of bodies in work
        self.events: deque[api.Event] = deque()
        self.feeding = self.ready = False
        self.gives_up = False  # the process is at its end and forwards nothing more
        # Whether this gateway may have another time than the fleet, as far as is known.
        self.synchronizing = config.counter is not None and config.settings.gateway_count > 1
        self.clock_checked = asyncio.Event()  # whether it has been compared, as far as the counter answers
        self.state = "active"  # or standby: clients are sent away; or stopping, which is for good
        self.bans, self.lives = Bans(config.scratch, config.name), Lives(config.scratch, config.name)
        self.said: dict[
            str, api.EndpointOverride
        ] = {}  # the last word on each host that an operator had one on
        self.unkept: dict[str, api.EndpointOverride] = {}  # of these, what could not be written down yet
        self.known: set[str] = set()  # hosts of the last list
        self.looking: asyncio.TimerHandle | None = None
        self.clients = ClientServer(self, 0)
        self.hosts = Hosts(config.connect_timeout, config.idle_close, 0)
        if config.edge and config.edge.connects:
            from api_gateway.upstream.connect_limits import shared

            self.hosts.make = shared(config.edge.connects, config.edge.connects_all)
        self.processes = 1  # of this gateway, as far as the last look told
        self.control: Any = None  # a Control, where operators may call
        self.changes: Any = None  # a Changes, from the first time on that one is needed
        self.member: Any = None  # a membership.service.Member, where this process takes part
        self.counter = Counter(config.counter, self.settings.counter_timeout) if config.counter else None
        # Where lists are pushed, asking costs nothing; else what is known need not be told again.
        known = config.known.hosts
        version = known.version if known.endpoints and self.settings.discovery_mode == "ask" else None
        args = version, self.listed, self.list_failed, self.settings.gateway_count, config.seed
        self.first = config.known  # the list to begin with
        if config.replicas:
            self.discovery = self.replicas(config.discovery, *args, None, self.viewing())
        else:
            self.discovery = Discovery(
                config.discovery, *args, self.agent_grace(self.settings), self.viewing()
            )
        for caller in (self.hosts, self.discovery.fetcher, *(self.counter.lines if self.counter else ())):
            caller.reclaim_descriptor = self.reclaim_descriptor
        self.actions: dict[type[api.Action], Callable[[Any], object]] = {
            api.SendAttempt: self.send,
            api.RejectRequest: self.refuse,
            api.FailRequest: self.fail,
            api.CancelAttempt: self.cancel,
            api.AddToCounter: self.count,
            api.SetTimer: self.set_timer,
            api.CheckHealth: self.probe,
            api.CloseIdleConnections: lambda a: self.hosts.close_idle(a.host),
            api.FetchEndpoints: lambda a: self.discovery.fetch(),
            api.ResizeSubset: lambda a: self.discovery.widen(a.endpoint_count),
            api.WatchEndpoints: lambda a: self.discovery.watch(a.enabled),
            api.ClusterClockChanged: self.synchronized,
            api.LogMessage: lambda a: log.info("module: %s", a.text),
        }

    def agent_grace(self, settings: api.Settings) -> float | None:
        """The drain's, where lists are pushed to an agent beside this process."""
        pushed = settings.discovery_mode == "push" and not self.config.replicas
        return settings.rules.drain_grace if pushed else None

    def viewing(self) -> Any:
        """For the part of the hosts that is used; None where that is all of them."""
        if self.config.view is None:
            return None
        from api_gateway.discovery.subsets import Viewing

        return Viewing(self.config.view, self.settings.gateway_index, self.settings.zone)

    def replicas(self, address: Address, *args: Any) -> Discovery:
        from api_gateway.discovery.replicas import Replicas

        config = self.config
        made = Replicas(address, config.others, config.scratch if config.keep else None, config.name, *args)
        made.clock = self.clock
        self.first = made.recall() or self.first
        return made

    async def start(self) -> int:
        """Returns the port that clients connect to. Before the first of them the module knows its hosts, and
        all that takes long is done: what comes meanwhile would wait past its time."""
        if self.config.control:
            from api_gateway.control.server import Control
        if self.config.membership:
            from api_gateway.membership.service import Member
        self.lives.begin()
        if self.config.control:
            self.changed().begin()
        self.listed(self.discovery.begin(self.first))
        self.look()
        self.hosts.start_checks()
        if self.counter:
            self.counter.start()
            await self.check_clock()
        if self.settings.discovery_mode == "push":
            self.discovery.watch(True)
        if self.agent_grace(self.settings) is not None:  # what it has counts as told from the first moment
            await self.discovery.first()
        port = await self.clients.listen(*self.config.listen, self.config.inherited, self.config.edge)
        if self.config.membership:
            self.member = Member(self.config.membership, self.config.name, self.meta)
            log.info("membership of %s at port %d", self.config.membership.cluster, await self.member.start())
        if self.config.control:
            self.control = Control(self)
            called = await self.control.listen(self.config.control)
            log.info("calls are taken at %s:%d", self.config.control[0], called)
        return port

    def look(self) -> None:
        """What other processes of this gateway did: they share the bans, the descriptors and the memory."""
        self.looking = self.loop.call_later(LOOK, self.look)
        if self.clock.wall_stepped():
            log.warning("the wall clock is %+.1f s off since this process began", self.clock.wall_offset)
            self.feed(api.WallClockStepped(self.clock.wall_offset))
        with suppress(OSError):
            self.keep_bans()
        self.read_bans()
        if self.control:
            self.changes.look()
        self.processes = 1 + self.lives.others()
        self.share()

    def read_bans(self) -> None:
        if self.bans.changed():
            for ban in self.bans.read().values():
                self.ban(ban)

    def room(self, config: Config) -> tuple[int, int]:
        """Connections of clients, and as many to hosts, and bytes of large bodies that a process may hold."""
        sockets = max(config.sockets - SPARE_SOCKETS, config.sockets // 2) // self.processes
        spare = config.memory / self.processes - PROCESS
        return sockets // 2, max(MOST_LARGE, int(min(spare * BODIES, sys.maxsize)))

    def share(self) -> None:
        self.clients.most, self.clients.budget.most = self.room(self.config)
        self.hosts.most = self.clients.most

    def reclaim_descriptor(self) -> bool:
        """Whether one connection is ended for its descriptor, where none can be opened without."""
        return self.clients.free() or self.hosts.end_idle() or self.clients.end_fresh()

    # Events

    def feed(self, event: api.Event) -> None:
        """Hands events over one after another: what an action causes at once waits its turn."""
        self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.events:
                self.handle(self.events.popleft())
        finally:
            self.feeding = False

    def handle(self, event: api.Event) -> None:
        try:
            actions = self.module.handle(self.clock(), event)
        except Exception:  # one request must not take the others along
            log.exception("the module failed on %r", event)
            if isinstance(event, api.Request | api.AttemptEnded) and event.request_id in self.in_flight:
                self.abandon(self.in_flight[event.request_id])
            return
        for action in actions:
            try:
                self.actions[type(action)](action)
            except Exception:  # nor one action the rest; the guard answers what it was for
                log.exception("%r could not be carried out", action)

    def abandon(self, work: InFlightRequest) -> None:
        """Fails a request by itself and lets the module forget it."""
        self.finish(work, FAILED)
        for attempt in list(work.live.values()):
            self.hosts.give_up(attempt, "cancelled")
        self.feed(api.ClientDisconnected(work.id))

    def listed(self, listing: Listing) -> None:
        """The module hears of it between new hosts and those that go: what ends with a host that goes is then
        not sent there once more."""
        named = {h.id for h in listing.hosts.endpoints}
        if listing.hosts.mode != "delta":
            self.known = set()
        self.known |= named
        self.known -= {h.id for h in listing.hosts.endpoints if h.state == "down"}
        up = {h.id for h in listing.hosts.endpoints if h.state == "up"}
        for host in up & listing.addresses.keys():
            self.hosts.listed(host, listing.addresses[host])
        self.feed(listing.hosts)
        for host in (named if listing.hosts.mode == "delta" else named | self.hosts.pools.keys()) - up:
            self.hosts.listed(host, None)
        self.become_ready()

    def become_ready(self) -> None:
        """For good, once there are hosts and the fleet's time is known as far as the counter tells it."""
        self.ready = self.ready or bool(self.hosts.pools) and not self.synchronizing

    def list_failed(self) -> None:
        if self.settings.discovery_mode == "ask":
            self.feed(api.EndpointList("failed", self.discovery.version or 0, ()))

    # Clients

    def command(self, slot: Slot, command: Any) -> None:
        if command == [b"PING"] or command == [b"ping"]:
            slot.reply(PONG if self.serves() else b"-ERR not ready\r\n")
            return
        try:
            self.take(slot, command)
        except BadRequest as err:
            slot.reply(b"-ERR %s\r\n" % str(err).encode())
        except Exception:
            log.exception("a command could not be taken")
            slot.reply(FAILED)

    def take(self, slot: Slot, command: list[bytes]) -> None:
        """Raises BadRequest where the command is none."""
        now = time.monotonic()
        request = self.read_request(command, now - slot.client.heard)
        if request.request_id in self.in_flight:
            raise BadRequest("this id is in work")
        if self.gives_up or len(self.in_flight) >= self.config.max_open or self.held > MOST_HELD:
            slot.reply(BUSY)
            return
        taken = InFlightRequest(
            request.request_id, slot, command, now + request.time_left, self.settings.limits
        )
        slot.token = taken
        self.in_flight[request.request_id] = taken
        if taken.body is None:
            self.held += len(command[-1])
        wait = max(0.0, request.time_left + RESERVED - GUARD)
        taken.guard = self.loop.call_later(wait, self.overdue, taken)
        self.feed(request)

    def read_request(self, command: list[bytes], waited: float) -> api.Request:
        """By the settings in force. Raises BadRequest."""
        return read_request(command, self.settings, waited)

    def gone(self, slot: Slot) -> None:
        """The client went away: nothing more is sent for its request."""
        work = slot.token
        if work is not None and not work.finished:
            self.finish(work, b"")
            self.feed(api.ClientDisconnected(work.id))
            if work.stream is not None:
                self.hosts.give_up(work.stream, "cancelled")

    def overdue(self, work: InFlightRequest) -> None:
        """Guards the client's deadline against a module that says nothing."""
        if not work.finished:
            log.warning("request %s: no decision before its deadline", work.id)
            self.abandon(work)

    def finish(self, work: InFlightRequest, answer: bytes) -> None:
        """The one place where a request gets its final answer."""
        if work.finished:
            return
        work.finished = True
        if work.guard is not None:
            work.guard.cancel()
        if work.stream is not None and not work.stream.whole:
            work.slot.cut()
        elif answer:
            work.slot.reply(answer if work.stream is None else b"")
        for attempt in list(work.live.values()):
            if not attempt.written:  # after the final answer nothing more is sent
                self.hosts.give_up(attempt, "cancelled")
        self.forget(work)

    def forget(self, work: InFlightRequest) -> None:
        if work.finished and not work.live and self.in_flight.pop(work.id, None) is not None:
            if work.body is not None:
                self.clients.budget.give(len(work.body))
            else:
                self.held -= len(work.command[-1])

    # Actions

    def refuse(self, action: api.RejectRequest) -> None:
        if action.request_id in self.in_flight:
            wait = math.ceil(action.retry_after * 1000)
            if action.overloaded:
                self.in_flight[action.request_id].slot.client.pressed()
            self.finish(self.in_flight[action.request_id], b"-BUSY %d\r\n" % wait if wait > 0 else BUSY)

    def fail(self, action: api.FailRequest) -> None:
        if action.request_id in self.in_flight:
            self.finish(self.in_flight[action.request_id], FAILED)

    def send(self, action: api.SendAttempt) -> None:
        work = self.in_flight.get(action.request_id)
        if work is None or work.finished:
            return
        number, left = work.sends, work.deadline - time.monotonic()
        work.sends += 1
        if left <= 0 or number >= work.limits.max_attempts or (work.live and not work.limits.hedging):
            self.feed(api.AttemptEnded(work.id, number, action.endpoint_id, "moot", 0.0, False))
            return
        wait = min(left, action.timeout) if action.timeout > 0 else left
        attempt = Attempt(
            action.endpoint_id,
            partial(self.goes_out, work),
            self.attempt_done,
            (work, number),
            work.body,
            self.value_begins,
            action.send_within,
        )
        work.live[number] = attempt
        self.hosts.send(attempt, wait)

    def goes_out(self, work: InFlightRequest, left: float) -> bytes:
        """What an attempt sends that is about to go out. Nothing once its client has gone, which the loop may
        not have read yet: it is late by its own work, or does not read that client now."""
        if not work.finished:
            work.slot.client.look()
        return b"" if work.finished else work.payload(left)

    def value_begins(self, attempt: Attempt, length: int) -> bool:
        """The first bytes of a large value: from here on the request is this attempt's, and its time does not
        count any longer."""
        (work, number), conn = attempt.tag, attempt.conn
        if work.finished or work.stream is not None or conn is None:
            return False
        work.stream, slot = attempt, work.slot
        if work.guard is not None:
            work.guard.cancel()
        attempt.blocked, slot.turn = slot.blocked, conn.go_on
        head = b"$%d\r\n" % length

        def sink(data: bytes) -> None:
            nonlocal head
            slot.piece(head + data)
            head = b""

        attempt.sink = sink
        self.feed(api.ResponseStarted(work.id, number, attempt.host, attempt.elapsed()))
        return attempt.result == ""

    def attempt_done(self, attempt: Attempt) -> None:
        work, number = attempt.tag
        result, finished = attempt.result, work.finished
        del work.live[number]
        if finished and result == "connect_failed":
            result = "moot"  # called off before it was sent, which says nothing of the host
        elif not finished and (work.stream is attempt or (result == "ok" and work.stream is None)):
            self.finish(work, bulk(attempt.value))
        self.forget(work)
        self.feed(
            api.AttemptEnded(
                work.id,
                number,
                attempt.host,
                result,
                attempt.elapsed(),
                work.finished,
                metered_use=attempt.used,
                load_report=attempt.report,
            )
        )

    def cancel(self, action: api.CancelAttempt) -> None:
        work = self.in_flight.get(action.request_id)
        if work is not None and action.attempt in work.live:
            self.hosts.give_up(work.live[action.attempt], "cancelled")

    def probe(self, action: api.CheckHealth) -> None:
        self.hosts.probe(action.endpoint_id, self.probed)

    def probed(self, attempt: Attempt) -> None:
        self.feed(api.HealthCheckEnded(attempt.host, attempt.result, attempt.elapsed(), attempt.report))

    def count(self, action: api.AddToCounter) -> None:
        if self.counter is None:
            self.loop.call_soon(self.counted, action.name, "connect_failed", 0.0, 0.0)
        else:
            self.counter.add(action.name, action.amount, action.lifetime, self.counted)

    def counted(self, name: int, result: str, total: float, elapsed: float) -> None:
        self.feed(api.CounterReply(name, result, total, elapsed))

    def set_timer(self, action: api.SetTimer) -> None:
        self.loop.call_later(action.delay, self.due, action.label, self.clock() + action.delay)

    def due(self, label: int, at: float) -> None:
        """The loop's timers tick in milliseconds and may fire early; the module would take an early one for
        another and set no further."""
        left = at - self.clock()
        if left > 0:
            self.loop.call_later(left + 0.001, self.due, label, at)
        else:
            self.feed(api.TimerFired(label))

    def synchronized(self, action: api.ClusterClockChanged) -> None:
        self.synchronizing = action.synchronizing
        self.clock_checked.set()
        self.become_ready()

    async def check_clock(self) -> None:
        """Compares this clock with the fleet's; waits for CLOCK_CHECK at most: the counter may be silent."""
        self.feed(api.ClusterClockNeeded())
        if not self.synchronizing:
            return
        try:
            async with asyncio.timeout(CLOCK_CHECK):
                await self.clock_checked.wait()
        except TimeoutError:
            self.synchronized(api.ClusterClockChanged(False))

    # Reconfiguration

    def changed(self) -> Any:
        """What brings configurations into force. The history is kept where operators can ask for it."""
        if self.changes is None:
            from api_gateway.control.config_changes import Changes

            self.changes = Changes(self, self.config.scratch if self.config.control else None)
        return self.changes

    def reload(self) -> None:
        """After SIGHUP: to what the file says now. One that cannot be used changes nothing. Requests in work
        keep what they began with."""
        self.changed().signal()

    def adopt(self, fresh: Config, listing: Listing | None) -> None:
        """Another configuration is in force from here on; `listing` is what its discovery has told."""
        last, self.config, self.settings = self.config, fresh, fresh.settings
        self.hosts.retune(fresh.connect_timeout, fresh.idle_close)
        self.feed(api.SettingsChanged(fresh.settings))
        if (grace := self.agent_grace(fresh.settings)) is not None:
            self.discovery.retune(grace)
        self.discovery.place(fresh.settings.gateway_index, fresh.settings.zone)
        if fresh.discovery != last.discovery:
            self.discovery.move(fresh.discovery, listing)
        if self.counter and fresh.counter:
            self.counter.retune(fresh.counter, fresh.settings.counter_timeout)
        self.share()
        if fresh.sockets < last.sockets:
            self.clients.make_room()
            self.hosts.make_room()

    def short_of(self, fresh: Config) -> str:
        """What smaller limits would leave no room for; nothing where they are not smaller. Connections that
        rest make room."""
        (connections, bodies), last = self.room(fresh), self.config
        if fresh.sockets < last.sockets:
            busy = {
                "clients": len(self.clients.clients) - len(self.clients.resting()),
                "hosts": self.hosts.open - self.hosts.resting(),
            }
            for what, count in busy.items():
                if count > connections:
                    return f"{count} connections of {what} are in use, {connections} may be open"
        if fresh.memory < last.memory and self.clients.budget.used > bodies:
            return f"large bodies hold {self.clients.budget.used} bytes, {bodies} may be"
        if fresh.memory < last.memory and (held := resident()) > fresh.memory / self.processes:
            return f"the process has {held} bytes, {int(fresh.memory / self.processes)} may be"
        return ""

    def later(self, delay: float, act: Callable[[], None]) -> asyncio.TimerHandle:
        return self.loop.call_later(delay, act)

    # Operators

    def serves(self) -> bool:
        """Whether the clients' address serves: while this process ends, another one may serve there."""
        return self.ready and (self.state == "active" or self.state == "stopping" and self.succeeded())

    def succeeded(self) -> bool:
        return self.config.inherited is not None and self.lives.others() > 0

    def status(self) -> dict[str, Any]:
        ready = self.ready and self.state == "active" and self.clients.listener is not None
        return {
            "ready": ready,
            "state": self.state,
            "hosts": sorted(self.hosts.pools),
            "hosts_out": sorted(self.hosts.out),
            "requests": len(self.in_flight),
            "clients": len(self.clients.clients),
            "list": self.discovery.told_of(),
            **({"edge": self.clients.listener.status()} if self.config.edge else {}),
        }

    def meta(self) -> dict[str, str]:
        """What this process tells the others of its cluster."""
        told = {"kind": "gateway", "listen": write_address(self.config.listen)}
        if self.config.control:
            told |= {"control": write_address(self.config.control), "config": self.changes.current.digest}
        return told

    def hand(self, host: str, out: bool) -> None:
        """Takes a host out, or lets it be used again. A repeat changes nothing.

        Raises UnknownHost, and OSError where it cannot be kept for processes beside and after this one. It
        is in force here all the same, whatever the operator hears, and is kept once it can be.
        """
        self.read_bans()
        if host not in self.known and host not in self.said and not self.discovery.holds(host):
            raise UnknownHost(host)
        if out == (host in self.hosts.out):
            return
        ban = api.EndpointOverride(host, out, self.clock())
        self.ban(ban)
        self.unkept[host] = ban
        self.keep_bans()

    def keep_bans(self) -> None:
        """Writes down what operators said here and could not be kept so far. Raises OSError."""
        for host, ban in list(self.unkept.items()):
            self.bans.say(ban)
            del self.unkept[host]

    def ban(self, ban: api.EndpointOverride) -> None:
        if self.said.get(ban.endpoint_id) == ban:
            return
        self.said[ban.endpoint_id] = ban
        ban = replace(ban, at=self.clock())  # another process may have said it by another wall clock
        log.info("host %s is %s", ban.endpoint_id, "out by hand" if ban.ejected else "used again")
        if ban.ejected:  # what ends with its connections is not to be sent there once more
            self.feed(ban)
            self.hosts.take_out(ban.endpoint_id, True)
        else:
            self.hosts.take_out(ban.endpoint_id, False)
            self.feed(ban)

    def drain(self, on: bool) -> bool:
        """Sends clients away, or takes them back; False where the process is at its end."""
        if self.state == "stopping":
            return False
        state = "standby" if on else "active"
        if state != self.state:
            self.state = state
            log.info(
                "drain %s: %d client connections", "begins" if on else "is over", len(self.clients.clients)
            )
            self.feed(api.DrainChanged(on))
            self.clients.drain(on)
        return True

    # The end

    async def stop(self) -> None:
        """After SIGTERM, once."""
        await shut_down(self)
