"""A soak of real gateways under faults drawn by a seed, judged from outside by the protocol's rules.

    python tests/soak.py [--seeds 50] [--first 1] [--at-once 4] [--planted NAME] [--gateways 30]

A play starts one to four gateways as processes, with stand-ins for hosts, counter and discovery, and clients
that send to the end. Each broken rule is a line; the exit code is 1 where there was one.
"""

import argparse
import asyncio
import contextlib
import logging
import math
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter as Tally
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import uvloop  # noqa: E402
from gateway_process import GatewayEndedError, end_gateway, start_gateway  # noqa: E402
from netkit import SETTINGS, StubCounter, StubDiscovery, command, entry, gateway_config, read_reply, terms  # noqa: E402

from api_gateway.emulators.host import VALUE, WorkingHost  # noqa: E402
from api_gateway.supervisor.ports import free_port  # noqa: E402

S = 1_000_000_000
SECONDS = 8.0  # of load in a play
RATE = 90.0  # requests a second of all clients together
LOOPS = 8  # clients of each gateway
PRESSES = 4  # clients of each gateway for the customer that asks for too much
PRESSED = b"00000000000000aa"  # the customer that asks for more than its quota
QUOTA_RATE, QUOTA_BURST, QUOTA_ASKED = 20.0, 20.0, 50.0  # units a second, units, requests a second
SLOTS, WORK = 2, 0.05  # of a host
COLD_SHARE, COLD_TIME, MULTIPLE, TIP_AFTER = 0.1, 4.0, 1.5, 1.0
MEMORY = 3.0  # s for which hosts know a key
GRACE = 1.0  # s
HELD_UP = 0.15  # s by which a gateway may be held up between its clock and its writing
SOCKETS = 0.05  # s by which time limits are longer on sockets
AFTER_CLOSE = 0.1  # s after a client's close in which an attempt may still begin
LATE_ANSWER = 0.5  # s past its time until which an answer only earns nothing
READY_WITHIN = 10.0  # s
STARTED_WITHIN = 30.0  # s after which a start is given up
COME_AFTER_TERM = 0.2  # s after SIGTERM in which new connections surely keep coming
KINDS = {"read": b"API.READ", "write": b"API.WRITE", "note": b"API.WRITE"}
ERRNOS = {
    "accept": ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EINTR"],
    "connect": ["ECONNREFUSED", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL", "EINTR"],
    "socket": ["ENFILE", "ENOBUFS", "EMFILE"],
    "replace": ["ENOSPC", "EIO"],
}


@dataclass
class Run:
    """A command that came to a host whole."""

    host: str
    at: float
    left: float  # s that it says are left
    refused: bool = False
    served: bool = False


@dataclass
class Request:
    """One request of a client, with what became of it."""

    id: bytes
    kind: str
    gateway: int
    wait: float  # s that the client waits
    sent: float = 0.0
    fresh: bool = False  # the first on its connection
    left: float = 0.0  # when the client closed before its answer
    answer: bytes = b""
    answered: float = 0.0
    closed: bool = False  # its connection ended without an answer
    refused: bool = False  # no connection came up
    before: float = 0.0  # when the one before it on its connection was answered: that time does not count
    again: bool = False  # sent a second time, as its connection ended with it unread


@dataclass
class Life:
    """One process of a gateway."""

    started: float
    ready: float = 0.0
    term: float = math.inf
    killed: float = math.inf
    ended: float = math.inf  # the process had gone by then
    sudden: bool = False  # killed without a SIGTERM before


@dataclass
class Plan:
    """What a seed draws."""

    gateways: int
    deadline: float
    pushed: bool
    second_copies: bool
    hangs: float
    resets: float
    refuses: float
    crowd: bool
    counter_trouble: bool
    silent_discovery: bool
    faults: list[dict]
    restart: str
    signals: list[str] = field(default_factory=list)
    leaving: float = 0.04  # share of requests whose client goes away early

    @property
    def pressed(self):
        return self.gateways > 1 and not self.counter_trouble and self.restart == "none"


def draw_faults(rng, seed):
    """Of one process: failing calls, each kind by itself or all together, and a wall clock that is off."""
    tree = {"seed": seed}
    kinds = rng.choice([[], [rng.choice(list(ERRNOS))], list(ERRNOS)])
    if kinds:
        tree["calls"] = {
            kind: [rng.choice([ERRNOS[kind], [rng.choice(ERRNOS[kind])]]), rng.choice([0.05, 0.2, 0.3])]
            for kind in kinds
        }
    if rng.random() < 0.5:
        off = rng.choice([-3600.0, -5.0, 5.0, 3600.0])
        tree["clock"] = rng.choice([[[0, off]], [[0, off], [3, 0.0]], [[0, 0.0], [4, off]]])
    return tree


def draw(seed, gateways=0):
    """What a seed stands for; `gateways`: another number of them."""
    rng = random.Random(seed)
    gateways = gateways or rng.choice([1, 2, 2, 3, 4])
    return Plan(
        gateways=gateways,
        deadline=rng.choice([0.15, 0.4, 1.0, 3.0]),
        pushed=rng.random() < 0.7,
        second_copies=rng.random() < 0.5,
        hangs=rng.choice([0.0, 0.02, 0.1]),
        resets=rng.choice([0.0, 0.03, 0.1]),
        refuses=rng.choice([0.0, 0.05]),
        crowd=rng.random() < 0.2,
        counter_trouble=rng.random() < 0.3,
        silent_discovery=rng.random() < 0.2,
        faults=[draw_faults(rng, seed + n) for n in range(gateways)],
        restart=rng.choice(["none", "term", "term", "kill", "early"]),
        signals=rng.choices(["hup", "term", "hup"], k=rng.randrange(4)),
    )


PLANTED_PLAN = Plan(2, 1.0, True, False, 0.0, 0.05, 0.0, False, False, False, [{}, {}], "none")
SILENT_PLAN = Plan(2, 3.0, True, True, 0.3, 0.05, 0.0, False, False, False, [{}, {}], "none", leaving=0.4)
CAUGHT_AS = {  # the rule that each planted bug breaks
    "lost": "lost",
    "duplicate": "duplicate",
    "drain": "drain",
    "failback": "failback",
    "gone": "lost",
    "deadline": "deadline",
    "quota": "over quota",
    "crash": "crashed",
    "start": "ready",
}


class SoakHost(WorkingHost):
    """Notes each command with its time; hangs, breaks off and turns away by chance."""

    def __init__(self, name, play, seed):
        super().__init__(SLOTS, WORK, seed=seed)
        self.name, self.play = name, play

    async def answer_to(self, got):
        now = time.monotonic()
        if not isinstance(got, list) or len(got) < 4:
            return await super().answer_to(got)
        fields = dict(part.split(b"=", 1) for part in got[3].split(b","))
        run = Run(self.name, now, int(fields[b"d"]) / 1000)
        self.play.runs.setdefault(got[2], []).append(run)
        if got[1] == PRESSED:
            self.play.units.add(got[2])
        plan = self.play.plan
        fate = self.random.random()
        if fate < plan.hangs or self.name in self.play.hanging:
            return None
        if fate < plan.hangs + plan.resets:
            return b""
        if fate < plan.hangs + plan.resets + plan.refuses:
            run.refused = True
            return b"-BUSY\r\n"
        answer = await super().answer_to(got)
        run.refused, run.served = answer.startswith(b"-BUSY"), answer == VALUE
        return answer


class Play:
    """One seed's fleet, its clients and what was seen of both."""

    def __init__(self, seed, plan, planted=""):
        self.seed, self.plan, self.planted = seed, plan, planted
        self.rng = random.Random(seed)
        self.runs: dict[bytes, list[Run]] = {}
        self.requests: list[Request] = []
        self.units: set[bytes] = set()  # requests of the pressed customer that reached a host
        self.lives: list[list[Life]] = [[] for _ in range(plan.gateways)]
        self.processes = [None] * plan.gateways
        self.ports = [free_port() for _ in range(plan.gateways)]
        self.hanging: set[str] = set()
        self.leaving: dict[str, float] = {}  # hosts that were told to leave, and when
        self.cold: dict[str, float] = {}  # hosts that started, and when
        self.broken: Tally[str] = Tally()  # rules, by how often
        self.notes: list[str] = []
        self.late = 0.0  # s by which this driver was late at most
        self.numbers = iter(range(10**9))
        self.ended = False

    def breaks(self, rule, what):
        self.broken[rule] += 1
        if self.broken[rule] <= 3:
            self.notes.append(f"{rule}: {what}")

    # The fleet

    def settings(self, index):
        classes = [
            {"name": "read", "effect": "pure"},
            {"name": "write", "effect": "token", "dedup_scope": "all", "memory_span": int(MEMORY * S)},
            {"name": "note", "effect": "side_effect"},
        ]
        times = {"slo": int(self.plan.deadline * S / 2), "deadline": int(self.plan.deadline * S), "gain": 1.0}
        rules = {"start_capacity": COLD_SHARE, "cold": int(COLD_TIME * S), "fall_multiple": MULTIPLE,
                 "tip_after": int(TIP_AFTER * S), "drain_grace": int(GRACE * S)}  # fmt: skip
        limits = {"second_copies": self.plan.second_copies}
        plans = [
            {"name": "p", "rate": 1000.0, "most_at_once": 10000.0},
            {"name": "quota", "rate": QUOTA_RATE, "most_at_once": QUOTA_BURST},
        ]
        return SETTINGS | {
            "group_size": self.plan.gateways,
            "index": index,
            "registry_mode": "pushed" if self.plan.pushed else "on_request",
            "services": [cls | times for cls in classes],
            "plans": plans,
            "rules": SETTINGS["rules"] | rules,
            "limits": SETTINGS["limits"] | limits,
        }

    def tree(self, index):
        tree = gateway_config(
            self.discovery.servers, self.discovery.port, self.counter.port, self.settings(index)
        )
        if self.plan.crowd:
            tree["limits"] = tree["limits"] | {"sockets": 192}
        return tree | {"name": f"n{index}", "listen": f"127.0.0.1:{self.ports[index]}"}

    async def start(self, index):
        """A new process, until it says yes; its start is judged."""
        life = Life(time.monotonic())
        self.lives[index].append(life)
        folder = self.folder / f"{index}-{len(self.lives[index])}"
        folder.mkdir()
        faults = self.plan.faults[index] | {"planted": self.planted}
        self.processes[index] = None
        try:
            async with asyncio.timeout(STARTED_WITHIN):
                process = await start_gateway(
                    folder, self.tree(index), faults, "config.json", self.listen(index)
                )
                self.processes[index] = process
                await process.wait_until_ready()
        except (GatewayEndedError, TimeoutError) as error:
            self.breaks("ready", f"gateway {index}: {error or 'not within its time'}")
            return
        life.ready = time.monotonic()
        if life.ready - life.started > READY_WITHIN:
            self.breaks("ready", f"gateway {index} after {life.ready - life.started:.1f} s")

    def listen(self, index):
        return f"127.0.0.1:{self.ports[index]}"

    async def restart(self, index):
        """By SIGTERM with other signals round it and SIGKILL at the earliest, or by SIGKILL at once."""
        process, life, how = self.processes[index], self.lives[index][-1], self.plan.restart
        if how == "kill":
            life.sudden = True
        else:
            for name in self.plan.signals:
                if name == "hup":
                    process.signal(signal.SIGHUP)
            life.term = time.monotonic()
            process.signal(signal.SIGTERM)
            for name in self.plan.signals:
                process.signal(signal.SIGHUP if name == "hup" else signal.SIGTERM)
            await asyncio.sleep(min(3.0, self.plan.deadline) + 0.7)
        life.killed = time.monotonic()
        await end_gateway(process)
        life.ended = time.monotonic()
        self.look_at(index)
        if how == "early":  # SIGTERM before it is ready
            folder = self.folder / f"{index}-early"
            folder.mkdir()
            early = await start_gateway(folder, self.tree(index), {}, "config.json", self.listen(index))
            early.signal(signal.SIGTERM)
            await asyncio.wait_for(early.process.wait(), 8.0)
            await early.log_task
        await self.start(index)

    def look_at(self, index):
        """What the process left in its log, and whether it ended by itself."""
        process, life = self.processes[index], self.lives[index][-1]
        if process is None:  # it ended at its start
            return
        traced = [line for line in process.log if "Traceback" in line]
        if traced:
            at = process.log.index(traced[0])
            self.breaks("crashed", f"gateway {index} logged {' | '.join(process.log[at : at + 12])[-400:]}")
        ended = process.process.returncode
        if ended is not None and ended not in (0, -signal.SIGKILL) or ended == 0 and life.term == math.inf:
            self.breaks("crashed", f"gateway {index} ended with {ended}")

    # Clients

    def down(self, index, at):
        """Whether no new connection has to be taken at that time."""
        return any(
            life.term + COME_AFTER_TERM < at or at < life.ready or life.killed <= at
            for life in self.lives[index][-1:]
        )

    async def client(self, index, number, end):
        rng = random.Random(f"{self.seed} {index} {number}")
        every = LOOPS * self.plan.gateways / RATE
        due, link = time.monotonic() + every * rng.random(), None
        while due < end:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due = max(due + every, time.monotonic() - every)
            if link is not None and (rng.random() < 0.3 or link[1].is_closing()):
                link[1].close()
                link = None
            link = await self.ask(index, link, rng)
        if link is not None:
            link[1].close()

    async def connect(self, index):
        try:
            async with asyncio.timeout(2.0):
                return await asyncio.open_connection("127.0.0.1", self.ports[index])
        except OSError:
            return None

    def request(self, index, rng):
        kind = rng.choice(["read", "read", "write", "note"])
        wait = self.plan.deadline * rng.uniform(0.5, 1.0)
        return Request(b"q%d" % next(self.numbers), kind, index, round(wait, 3))

    def text(self, request, customer=b"", plan="p"):
        spread = self.plan.gateways
        fields = terms(c=request.kind, d=int(request.wait * 1000), t=plan, spread=spread,
                       k="77" + request.id.decode()[1:] if request.kind == "write" else None)  # fmt: skip
        body = b"BODY" if request.kind != "read" else None
        customer = customer or b"%016x" % (int(request.id[1:]) % 50)
        return command(request.id, fields, KINDS[request.kind], customer, body)

    async def ask(self, index, link, rng):
        """One request, or three in a row on one connection; what is left of the connection."""
        fresh = link is None
        link = link or await self.connect(index)
        if link is None:
            return None
        batch = [self.request(index, rng) for _ in range(3 if rng.random() < 0.1 else 1)]
        self.requests += batch
        now = time.monotonic()
        for at, request in enumerate(batch):
            request.sent, request.fresh = now, fresh and at == 0
        link[1].write(b"".join(self.text(request) for request in batch))
        if rng.random() < self.plan.leaving:  # it goes away early
            await asyncio.sleep(rng.uniform(0.0, 0.05))
            link[1].transport.abort()
            for request in batch:
                request.left = time.monotonic()
            return None
        return await self.answers(link, batch)

    async def answers(self, link, batch):
        before = 0.0
        for at, request in enumerate(batch):
            request.before = before
            due = max(request.sent + request.wait, before) + LATE_ANSWER + 1.0
            try:
                async with asyncio.timeout(due - time.monotonic()):
                    request.answer = await read_reply(link[0])
            except TimeoutError:
                link[1].close()
                return None
            except (OSError, asyncio.IncompleteReadError):
                request.answer = b""
            request.answered = before = time.monotonic()
            if not request.answer:
                link[1].close()
                for unanswered in batch[at:]:
                    unanswered.closed, unanswered.answered = True, before
                    await self.send_again(unanswered)
                return None
        return link

    async def send_again(self, request):
        """Its connection ended with the request unread, for all that a client knows."""
        if self.runs.get(request.id) or request.fresh or request.again:
            return
        index = (request.gateway + 1) % self.plan.gateways
        link = await self.connect(index)
        if link is None:
            request.refused = True
            return
        request.again, request.closed, request.fresh, request.gateway = True, False, True, index
        request.sent = time.monotonic()
        link[1].write(self.text(request))
        await self.answers(link, [request])
        link[1].close()

    async def press(self, index, end):
        """The customer that asks for more than its quota, through each of its gateways."""
        every = PRESSES * self.plan.gateways / QUOTA_ASKED
        due, link = time.monotonic(), await self.connect(index)
        while link is not None and time.monotonic() < end:
            request = Request(b"q%d" % next(self.numbers), "read", index, self.plan.deadline)
            link[1].write(self.text(request, PRESSED, "quota"))
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(self.plan.deadline + LATE_ANSWER):
                    reply = await read_reply(link[0])
                if reply:
                    due += every
                    await asyncio.sleep(max(0.0, due - time.monotonic()))
                    continue
            link[1].close()
            link = await self.connect(index)

    # What happens

    async def happenings(self, began):
        async def at(seconds):
            await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))

        crowd = []
        if self.plan.crowd:
            for index in range(self.plan.gateways):
                for _ in range(80):
                    with contextlib.suppress(OSError):
                        crowd.append(socket.create_connection(("127.0.0.1", self.ports[index]), 1.0))
        await at(1.5)
        self.discovery.change([entry(self.hosts[0], "h0", "draining")])
        self.leaving["h0"] = time.monotonic()
        await at(2.0)
        if self.plan.counter_trouble:
            self.counter.silent = True
        if self.plan.silent_discovery:
            self.discovery.silent = True
            self.discovery.change([])
        await at(2.5)
        self.discovery.silent = False
        fresh = self.hosts[-1]
        self.cold[fresh.name] = time.monotonic()
        self.discovery.change([entry(fresh, fresh.name) | {"started_ms": time.time() * 1000}])
        if self.plan.restart != "none":
            await at(3.5)
            if self.plan.restart == "term":
                self.hanging.add("h1")
            await self.restart(0)
            self.hanging.clear()
        await at(5.0)
        self.counter.silent = False
        self.counter.answer_all()
        await at(SECONDS)
        for sock in crowd:
            sock.close()

    async def watch_driver(self):
        while not self.ended:
            due = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            self.late = max(self.late, time.monotonic() - due)

    async def run(self):
        """Plays and judges; the rules that were broken."""
        async with contextlib.AsyncExitStack() as stack:
            self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            self.counter = await stack.enter_async_context(StubCounter())
            self.discovery = await stack.enter_async_context(StubDiscovery())
            self.hosts = [SoakHost(f"h{n}", self, self.seed + n) for n in range(6)]
            for host in self.hosts:
                await stack.enter_async_context(host)
            self.discovery.servers = [entry(host, host.name) for host in self.hosts[:-1]]
            stack.push_async_callback(self.end_all)
            await asyncio.gather(*(self.start(index) for index in range(self.plan.gateways)))
            if self.broken:  # without all of its gateways it is no play
                return self.broken
            watching = asyncio.create_task(self.watch_driver())
            began = time.monotonic()
            clients = [self.client(index, number, began + SECONDS)
                       for index in range(self.plan.gateways) for number in range(LOOPS)]  # fmt: skip
            if self.plan.pressed:
                clients += [
                    self.press(index, began + SECONDS)
                    for index in range(self.plan.gateways)
                    for _ in range(PRESSES)
                ]
            await asyncio.gather(self.happenings(began), *clients)
            self.ended = True
            await watching
            for index in range(self.plan.gateways):
                self.look_at(index)
            self.judge(began)
        return self.broken

    async def end_all(self):
        for process in self.processes:
            if process is not None:
                await end_gateway(process)

    # The rules

    def judge(self, began):
        for request in self.requests:
            self.judge_answer(request)
            self.judge_runs(request, self.runs.get(request.id, []))
        for name, since in self.leaving.items():
            self.judge_drain(name, since)
        for name, since in self.cold.items():
            self.judge_cold(name, since)
        if self.plan.pressed:
            most = QUOTA_BURST + QUOTA_RATE * (time.monotonic() - began) + 1.5 * QUOTA_BURST
            if len(self.units) > most:
                self.breaks("over quota", f"{len(self.units)} units, {most:.0f} at most")

    def excused(self, request):
        """Held by a process that was killed at once, or met one whose clients' address was shut."""
        for life in self.lives[request.gateway]:
            ends = request.answered + self.late + SOCKETS
            if life.sudden and request.sent <= life.ended and life.killed <= ends:
                return True
        return False

    def judge_answer(self, request):
        if request.left or request.refused or self.excused(request):
            return
        runs = self.runs.get(request.id, [])
        if request.answer:
            due = max(request.sent + request.wait + LATE_ANSWER, request.before)
            if request.answered > due + SOCKETS + self.late:
                self.breaks("lost", f"{request} was answered late")
            if request.answer.startswith(b"$") and not any(run.served for run in runs):
                self.breaks("lost", f"{request} got what no host made")
        elif not request.closed:
            self.breaks("lost", f"{request} was not answered")
        elif runs:
            self.breaks("lost", f"{request} was forwarded, and its connection ended")
        elif request.fresh and not self.plan.crowd and not self.may_refuse(request):
            self.breaks("lost", f"{request} on a new connection was not answered")

    def may_refuse(self, request):
        """Whether its process did not have to take new connections any longer."""
        lives = [life for life in self.lives[request.gateway] if life.ready <= request.sent]
        return bool(lives) and request.sent > lives[-1].term + COME_AFTER_TERM

    def judge_runs(self, request, runs):
        may_have_run = [run for run in runs if not run.refused]
        if request.kind == "note" and len(may_have_run) > 1:
            self.breaks("duplicate", f"{request} ran {len(may_have_run)} times")
        if request.kind == "write" and may_have_run:
            late = [run for run in runs if run.at - may_have_run[0].at > MEMORY + SOCKETS + self.late]
            if late:
                self.breaks("duplicate", f"{request} was sent again after its window")
        for run in runs:
            if request.left and run.at > request.left + AFTER_CLOSE + HELD_UP + SOCKETS + self.late:
                self.breaks(
                    "lost", f"{request} began {run.at - request.left:.2f} s after its client had gone"
                )
            left = request.sent + request.wait - run.at
            if not request.again and run.left > left + HELD_UP + SOCKETS + self.late:
                self.breaks("deadline", f"{request} told {run.left:.2f} s where {left:.2f} were left")

    def judge_drain(self, name, since):
        slack = (0.0 if self.plan.pushed else 0.5) + (2.0 if self.plan.silent_discovery else 0.0)
        end = since + GRACE + HELD_UP + SOCKETS + slack + self.late
        late = [run for runs in self.runs.values() for run in runs if run.host == name and run.at > end]
        if late:
            self.breaks("drain", f"{len(late)} sends to {name} after its grace")

    def judge_cold(self, name, since):
        """Any window of TIP_AFTER from the start on, by what the host bears at the window's begin."""
        times = sorted(run.at for runs in self.runs.values() for run in runs if run.host == name)
        for at, begin in enumerate(times):
            if begin > since + COLD_TIME:
                return
            warmth = min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (begin - since) / COLD_TIME)
            budget = MULTIPLE * warmth * SLOTS / WORK * TIP_AFTER
            slack = 3 * math.sqrt(budget) + 3 if budget < 30 else 2 * math.sqrt(budget) + 2
            count = sum(begin <= other < begin + TIP_AFTER for other in times[at:])
            if count > budget + slack:
                self.breaks(
                    "failback", f"{count} requests at {begin - since:.1f} s, {budget + slack:.0f} at most"
                )
                return


def told_of(play):
    kinds = Tally(
        request.answer[:1].decode() or ("left" if request.left else "ended") for request in play.requests
    )
    answers = ", ".join(f"{count} {kind}" for kind, count in sorted(kinds.items()))
    pressed = f", {len(play.units)} units of the pressed customer" if play.plan.pressed else ""
    return f"{len(play.requests)} requests ({answers}){pressed}, driver late by {play.late:.2f} s"


async def play_seed(seed, planted="", gateways=0):
    plan = (SILENT_PLAN if planted == "gone" else PLANTED_PLAN) if planted else draw(seed, gateways)
    play = Play(seed, plan, planted)
    await play.run()
    verdict = ", ".join(f"{rule} {count}" for rule, count in play.broken.items()) or "kept"
    print(f"seed {seed}: {verdict}; {told_of(play)}", *play.notes, sep="\n    ", flush=True)
    if play.broken:
        print(f"    {plan}", flush=True)
    return play.broken


async def play_all(seeds, at_once, planted="", gateways=0):
    """Each seed in a process of its own, so that none holds up another. How many broke a rule."""
    room = asyncio.Semaphore(at_once)

    async def one(seed):
        args = ["--first", str(seed), "--seeds", "1", "--planted", planted, "--gateways", str(gateways)]
        async with room:
            process = await asyncio.create_subprocess_exec(sys.executable, __file__, *args)
            return await process.wait()

    broken = sum(await asyncio.gather(*(one(seed) for seed in seeds)))
    print(f"{len(seeds)} seeds; {broken} broke a rule")
    return broken


def main():
    parser = argparse.ArgumentParser(description="plays of real gateways under drawn faults")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--planted", default="", help="a bug of tests/injected/planted.py")
    parser.add_argument("--gateways", type=int, default=0, help="of each play, in place of what seeds draw")
    told_by = parser.parse_args()
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # of stand-ins that end in the middle of a call
    if told_by.seeds == 1:
        return int(bool(uvloop.run(play_seed(told_by.first, told_by.planted, told_by.gateways))))
    seeds = list(range(told_by.first, told_by.first + told_by.seeds))
    return int(bool(uvloop.run(play_all(seeds, told_by.at_once, told_by.planted, told_by.gateways))))


if __name__ == "__main__":
    sys.exit(main())
