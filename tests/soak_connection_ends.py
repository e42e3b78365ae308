"""Soak test of ends: commands and parts of commands on connections that a real gateway is about to end.

    python tests/soak_connection_ends.py [--seeds 50] [--first 1] [--planted NAME]

A seed draws the limits of the gateway and the clients: some write commands in one piece behind one that is
answered at once, some write a command in two halves, some keep their connection until the gateway ends it,
and some fill the places for connections. It draws a series of signals and calls: SIGHUP with other limits,
standby on and off, crowds of idle clients, and SIGTERM with SIGKILL at the earliest time that the operators
give. Each violation is printed on a line; the exit code is 1 if there was one.
"""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter as Tally
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import hiredis  # noqa: E402
import uvloop  # noqa: E402
from gateway_process import PING, gateway_process  # noqa: E402
from netkit import (  # noqa: E402
    SETTINGS,
    VALUE,
    StubCounter,
    StubDiscovery,
    StubHost,
    call_control,
    command,
    entry,
    gateway_config,
    terms,
    write_command,
)

HOSTS = 4
LOAD_DURATION_S = 6.0
TIMEOUT_MS = 3000
KILL_AFTER_TERM_S = 3.7  # the longest deadline of the settings, and 0.7 s
READ_GRACE_S = 0.3  # after which the gateway has read what was sent, or has ended the connection unread
MAX_WAIT_S = 8.0  # for a reply or the end of a connection
CROWD, CROWD_INTERVAL_S = 150, 0.003
UPLOAD_BYTES, UPLOAD_STEP_BYTES, UPLOAD_INTERVAL_S = 9000, 300, 0.25
ANSWERED_AT_ONCE = (PING, b"*1\r\n$7\r\nUNKNOWN\r\n", command(b"no-time", terms(d="0")))


@dataclass
class Plan:
    """The load of a run and what happens to the gateway, as drawn from its seed."""

    memory_mb: int = 32
    descriptors: int = 256
    fillers: int = 97  # clients that keep places busy with slow uploads
    pipelines: int = 6
    halves: int = 30
    keepers: int = 10
    host_delay_s: float = 0.02
    events: list[str] = field(default_factory=lambda: ["crowd"])
    is_killed: bool = False


BROKEN_RULES = {  # planted bug: the plan that shows it, the rule that it breaks
    "shut behind first": (Plan(), "lost"),
    "parts forgotten": (Plan(fillers=0, pipelines=0, halves=85, keepers=0, events=["crowd"] * 3), "part"),
}


def draw_plan(seed):
    """Draw the plan of a seed."""
    rng = random.Random(seed)
    events = rng.choices(["HUP", "HUP", "smaller", "standby", "crowd", "crowd", "pause"], k=rng.randint(1, 5))
    descriptors = rng.choice([256, 256, 512])
    return Plan(
        memory_mb=rng.choice([32, 64, 192]),
        descriptors=descriptors,
        fillers=rng.choice([0, 40, (descriptors - 64) // 2 + 1]),
        pipelines=rng.randint(2, 10),
        halves=rng.choice([0, 20, 60]),
        keepers=rng.choice([0, 10, 30]),
        host_delay_s=rng.choice([0.0, 0.02, 0.3]),
        events=events,
        is_killed=rng.random() < 0.5,
    )


def send(writer, data):
    """Write to a connection that the gateway may have ended."""
    with contextlib.suppress(OSError, RuntimeError):  # uvloop raises the latter once it is closed
        writer.write(data)


class SlowHost(StubHost):
    """Answers after a delay and records which ids it got."""

    def __init__(self, ran, delay_s, seed):
        super().__init__(seed=seed)
        self.ran, self.delay_s, self.rng = ran, delay_s, random.Random(seed)

    def record_arrival(self, received):
        if isinstance(received, list) and len(received) > 3:
            self.ran.add(received[2])

    async def answer_to(self, received):
        await asyncio.sleep(self.rng.uniform(0.0, 2 * self.delay_s))
        return VALUE


class SoakRun:
    """The gateway and the clients of one seed, and what was observed of both."""

    def __init__(self, seed, plan, planted=""):
        self.seed, self.plan, self.planted = seed, plan, planted
        self.violations = Tally()
        self.messages = []
        self.outcomes = Tally()
        self.ran = set()
        self.unanswered = []  # ids without a reply, each with what was seen
        self.serial = 0
        self.load_ends_at = 0.0
        self.ended_at = None  # when the process was sent SIGKILL or was seen to have ended

    def record_violation(self, rule, message):
        self.violations[rule] += 1
        if self.violations[rule] <= 3:
            self.messages.append(f"{rule}: {message}")

    def new_id(self, kind):
        self.serial += 1
        return b"%s-%d" % (kind, self.serial)

    def is_over(self):
        return self.ended_at is not None

    def is_loaded(self, reader=None):
        """Return whether clients go on: for a while, and up to the end of a process that is killed."""
        if reader is not None and reader.at_eof():
            return False
        return time.monotonic() < self.load_ends_at or self.plan.is_killed and not self.is_over()

    # Clients

    async def read_replies(self, reader, count):
        """Return up to `count` replies, fewer if the connection ends first."""
        parser, replies = hiredis.Reader(notEnoughData=..., replyError=str), []
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(MAX_WAIT_S):
                while len(replies) < count and (data := await reader.read(65536)):
                    parser.feed(data)
                    while (reply := parser.gets()) is not ...:
                        replies.append(reply)
                return replies
        if not self.is_over() and not reader.at_eof() and reader.exception() is None:
            self.record_violation("hang", f"no reply in {MAX_WAIT_S} s")
        return replies

    async def until_end(self, port, act):
        """Open connections and act on each, until the time is up or the gateway takes none."""
        while self.is_loaded():
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                if self.is_over():
                    return
                await asyncio.sleep(0.05)
                continue
            await act(reader, writer)
            writer.close()
            await asyncio.sleep(0.01)

    async def pipeline(self, rng, reader, writer):
        """Write requests in one piece behind a command that is answered at once, again on what stays open."""
        while self.is_loaded(reader):
            ids = [self.new_id(b"behind") for _ in range(rng.randint(1, 3))]
            first = rng.choice(ANSWERED_AT_ONCE)
            fields = terms(d=TIMEOUT_MS)
            send(writer, first + b"".join(command(request_id, fields) for request_id in ids))
            replies = await self.read_replies(reader, 1 + len(ids))
            self.judge_pipeline(ids, replies)
            if len(replies) <= len(ids):
                return
            await asyncio.sleep(rng.uniform(0.0, 0.3))

    def judge_pipeline(self, ids, replies):
        """Commands that were written in one piece are read together: all are answered, or none."""
        self.outcomes["pipelines answered" if len(replies) > len(ids) else "pipelines unread"] += 1
        if 0 < len(replies) <= len(ids) and not self.is_over():
            self.record_violation("lost", f"{ids}: {len(replies)} replies to {1 + len(ids)} commands")
        self.unanswered += ids[max(0, len(replies) - 1) :]

    async def halves(self, rng, reader, writer):
        """Write commands in two halves with a pause, after a first whole one."""
        send(writer, PING)
        if not await self.read_replies(reader, 1):
            return
        while self.is_loaded(reader):
            request_id = self.new_id(b"half")
            text = rng.choice([command(request_id), write_command(request_id, b"note")])
            cut = rng.randint(1, len(text) - 1)
            send(writer, text[:cut])
            sent_at = time.monotonic()
            pause_s = rng.uniform(0.0, 1.5)
            while time.monotonic() < sent_at + pause_s and not reader.at_eof():
                await asyncio.sleep(0.02)
            is_read = time.monotonic() - sent_at > READ_GRACE_S
            send(writer, text[cut:])
            replies = await self.read_replies(reader, 1)
            self.outcomes["halves answered" if replies else "halves unanswered"] += 1
            if not replies:
                self.unanswered.append(request_id)
                if is_read and not self.is_over():
                    self.record_violation("part", f"{request_id}: part of it was read, and no answer")
                return
            await asyncio.sleep(rng.uniform(0.0, 0.3))

    async def keep(self, rng, reader, writer):
        """Send one request after another on one connection until the gateway ends it."""
        while self.is_loaded(reader):
            request_id = self.new_id(b"keep")
            send(writer, command(request_id))
            if not await self.read_replies(reader, 1):
                self.unanswered.append(request_id)
                return
            self.outcomes["kept answered"] += 1
            await asyncio.sleep(rng.uniform(0.0, 0.4))

    async def fill(self, rng, reader, writer):
        """Keep a place busy with a body that comes slowly."""
        fields = terms(c="note")
        text = command(self.new_id(b"upload"), fields, b"API.WRITE", body=b"x" * UPLOAD_BYTES)
        for start in range(0, len(text), UPLOAD_STEP_BYTES):
            send(writer, text[start : start + UPLOAD_STEP_BYTES])
            await asyncio.sleep(UPLOAD_INTERVAL_S)
            if reader.at_eof():
                return
        await self.read_replies(reader, 1)

    # What happens to the gateway

    async def cause_events(self, gateway, stack, config):
        rng = random.Random(f"events {self.seed}")
        for name in self.plan.events:
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            await self.cause(name, gateway, stack, config, rng)
        if self.plan.is_killed:
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            gateway.signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(KILL_AFTER_TERM_S):
                    await gateway.process.wait()
            self.ended_at = time.monotonic()
            gateway.signal(signal.SIGKILL)

    async def cause(self, name, gateway, stack, config, rng):
        if name in ("HUP", "smaller"):
            sockets = self.plan.descriptors - (rng.randrange(64) if name == "smaller" else 0)
            config["limits"] = config["limits"] | {"sockets": sockets}
            Path(stack.folder, "config.json").write_text(json.dumps(config))
            gateway.signal(signal.SIGHUP)
        elif name == "standby":
            await call_control(gateway.control_port, "POST /standby")
            await asyncio.sleep(rng.uniform(0.0, 2.5))
            await call_control(gateway.control_port, "POST /active")
        elif name == "crowd":
            for _ in range(CROWD):
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
                    stack.callback(writer.close)
                await asyncio.sleep(CROWD_INTERVAL_S)

    # The run

    async def run(self):
        """Run the gateway and the clients, check the rules and return the violations."""
        async with contextlib.AsyncExitStack() as stack:
            stack.folder = stack.enter_context(tempfile.TemporaryDirectory())
            counter = await stack.enter_async_context(StubCounter())
            discovery = await stack.enter_async_context(StubDiscovery())
            delays = [self.plan.host_delay_s] * HOSTS
            hosts = [
                await stack.enter_async_context(SlowHost(self.ran, delay_s, self.seed + number))
                for number, delay_s in enumerate(delays)
            ]
            discovery.servers = [entry(host, f"h{number}") for number, host in enumerate(hosts)]
            config = gateway_config(discovery.servers, discovery.port, counter.port, SETTINGS)
            limits = {"memory_mb": self.plan.memory_mb, "sockets": self.plan.descriptors}
            config["limits"] = config["limits"] | limits
            gateway = await stack.enter_async_context(
                gateway_process(Path(stack.folder), config, {"planted": self.planted})
            )
            await gateway.wait_until_ready()
            await self.run_load(gateway, stack, config)
            if not self.plan.is_killed:
                await self.check_metrics(gateway)
            self.check_process(gateway)
        for request_id in self.unanswered:
            if request_id in self.ran:
                self.record_violation("lost", f"{request_id} ran at a host and was not answered")
        return self.violations

    async def run_load(self, gateway, stack, config):
        self.load_ends_at = time.monotonic() + LOAD_DURATION_S
        kinds = [
            (self.fill, self.plan.fillers),
            (self.pipeline, self.plan.pipelines),
            (self.halves, self.plan.halves),
            (self.keep, self.plan.keepers),
        ]
        async with asyncio.TaskGroup() as group:
            for act, count in kinds:
                for number in range(count):
                    rng = random.Random(f"{act.__name__} {number} {self.seed}")
                    group.create_task(self.until_end(gateway.port, lambda r, w, a=act, g=rng: a(g, r, w)))
            group.create_task(self.cause_events(gateway, stack, config))

    async def check_metrics(self, gateway):
        _, metrics = await call_control(gateway.control_port, "GET /metrics")
        lost_count = metrics["connections_ended"].get("request_lost", 0)
        if lost_count:
            self.record_violation("lost", f"the gateway counts {lost_count} lost requests")

    def check_process(self, gateway):
        status = gateway.process.returncode
        if status is not None and (not self.plan.is_killed or status not in (0, -signal.SIGKILL)):
            self.record_violation("crashed", f"ended with {status}")
        for line in gateway.log:
            if "Traceback" in line or "reason=request_lost" in line or "reason=internal_error" in line:
                self.record_violation("log", line.strip())


async def run_plan(plan, seed, planted=""):
    """Play a plan, print its outcome and return the violations."""
    soak_run = SoakRun(seed, plan, planted)
    await soak_run.run()
    verdict = ", ".join(f"{rule} {count}" for rule, count in soak_run.violations.items()) or "passed"
    print(
        f"seed {seed} {plan}: {verdict}; {dict(soak_run.outcomes)}, {len(soak_run.ran)} ran",
        *soak_run.messages,
        sep="\n    ",
        flush=True,
    )
    return soak_run.violations


def main():
    """Run the seeds of the command line, one after another."""
    parser = argparse.ArgumentParser(description="soak test of ends of client connections")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--planted", default="", choices=["", *BROKEN_RULES])
    args = parser.parse_args()
    failed_count = 0
    for seed in range(args.first, args.first + args.seeds):
        plan = BROKEN_RULES[args.planted][0] if args.planted else draw_plan(seed)
        failed_count += bool(uvloop.run(run_plan(plan, seed, args.planted)))
    print(f"{args.seeds} seeds; {failed_count} broke a rule")
    return int(bool(failed_count))


if __name__ == "__main__":
    sys.exit(main())
