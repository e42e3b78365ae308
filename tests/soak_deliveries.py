"""Soak test of delivery: slow readers, values that break off and bursts that go, at one real gateway.

    python tests/soak_deliveries.py [--seeds 50] [--first 1] [--planted NAME]

A seed draws the memory and the descriptors of the gateway, the clients, and an event: SIGTERM, a drain, a
crowd of idle clients, or none. Whatever has run at a host must be answered to a client that reads on. Each
violation is printed on a line; the exit code is 1 if there was one.
"""

import argparse
import asyncio
import contextlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from collections import Counter as Tally
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import hiredis  # noqa: E402
import uvloop  # noqa: E402
from gateway_process import gateway_process  # noqa: E402
from netkit import (  # noqa: E402
    SERVED,
    SETTINGS,
    VALUE,
    StubCounter,
    StubDiscovery,
    StubHost,
    call_control,
    command,
    entry,
    gateway_config,
    read_reply,
    terms,
)

LOAD_DURATION_S = 5.0
EVENT_AT_S = 2.0
HOSTS = 4
TIMEOUT_MS = 3000  # of each request
SLOW_READER_BYTES_S = (250_000, 2_000_000)
LONGEST_READING_PAUSE_S = 2.0
MAX_OUTSTANDING_BYTES = 2_500_000  # of one slow reader, so that it reads them within some 12 s
SMALL_BYTES, LARGE_BYTES = (1_000, 60_000), (100_000, 2_000_000)
BURST_COMMANDS = (100, 700)
CROWD, CROWD_INTERVAL_S = 200, 0.005
PROBES = 15
PROCESS_END_TIMEOUT_S = 45.0
GATEWAY_DELAY_S = 0.2  # between a host's writing and the gateway's reading
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass
class Plan:
    """The load of a run, as drawn from its seed."""

    event: str
    memory_mb: int = 192
    descriptors: int = 1024
    slow_readers: int = 4
    large_values: float = 0.2  # fraction of the values that slow readers ask for
    silent_readers: int = 0  # clients that never read
    breakers: int = 3  # clients whose value breaks off before further commands
    bursts: int = 2  # clients that send much at once and go


BROKEN_RULES = {  # planted bug: the plan that shows it, the rule that it breaks
    "early delivery": (Plan("term", slow_readers=24, large_values=1.0, breakers=0, bursts=0), "lost"),
    "early idle": (
        Plan("crowd", descriptors=256, slow_readers=32, large_values=1.0, breakers=0, bursts=0),
        "lost",
    ),
    "no hold": (Plan("none", slow_readers=0, breakers=4, bursts=0), "lost"),
    "lost places": (Plan("none", slow_readers=0, breakers=0, bursts=3), "hang"),
}


def draw_plan(seed):
    """Draw the plan of a seed."""
    rng = random.Random(seed)
    event = rng.choice(["term", "term", "standby", "crowd", "crowd", "none"])
    return Plan(
        event=event,
        memory_mb=rng.choice([32, 64, 192]),
        descriptors=256 if event == "crowd" else rng.choice([256, 1024]),
        slow_readers=rng.randint(1, 6),
        large_values=rng.choice([0.1, 0.5, 1.0]),
        silent_readers=rng.choice([0, 0, 1, 3]),
        breakers=rng.randint(0, 4),
        bursts=rng.choice([0, 0, 1, 3]),
    )


@dataclass
class Request:
    """One request, what became of it, and whether its loss is excused."""

    id: bytes
    ran_at: float = 0.0  # when the first attempt reached a host
    run_count: int = 0
    value_began_at: float = 0.0  # when a host began a value that breaks off
    is_answered: bool = False
    behind: "Request | None" = None  # the request on its connection whose value breaks off

    def is_excused(self):
        """Return whether the client may get no reply: its value breaks off, or it ran before that began."""
        if self.value_began_at:
            return True
        broken = self.behind
        return (
            broken is not None
            and bool(broken.value_began_at)
            and (self.ran_at <= broken.value_began_at + GATEWAY_DELAY_S)
        )


class DeliveryHost(StubHost):
    """Gives each request the value that its id names; one whose id begins with `broken` breaks off."""

    def __init__(self, soak_run, seed):
        super().__init__(seed=seed)
        self.soak_run, self.rng = soak_run, random.Random(seed)

    async def serve(self, reader, writer):
        parser = hiredis.Reader(notEnoughData=...)
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (received := parser.gets()) is not ...:
                    if not await self.answer_on(received, writer):
                        return
        finally:
            writer.close()

    async def answer_on(self, received, writer):
        """Answer a command; return False if the connection has been reset within the value."""
        request = self.soak_run.requests.get(received[2]) if len(received) > 3 else None
        if request is None:
            writer.write(VALUE)
            return True
        request.run_count += 1
        request.ran_at = request.ran_at or time.monotonic()
        await asyncio.sleep(self.rng.uniform(0.0, 0.05))
        kind, size, _ = received[2].split(b"-")
        text = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (int(size), bytes(int(size)))
        if kind != b"broken":
            writer.write(text)
            return True
        request.value_began_at = time.monotonic()
        writer.write(text[: len(text) // 2])
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        writer.transport.abort()
        return False


class SoakClient:
    """A connection that reads at its own pace and knows which of its requests were answered."""

    def __init__(self, soak_run, port, rng, receive_buffer=0):
        self.soak_run, self.port, self.rng = soak_run, port, rng
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket()
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.setblocking(False)
        self.parser = hiredis.Reader(notEnoughData=..., replyError=str)
        self.open_requests = []
        self.is_ended = False

    async def connect(self):
        """Return whether the gateway has taken the connection."""
        with contextlib.suppress(OSError):
            await self.loop.sock_connect(self.sock, ("127.0.0.1", self.port))
            return True
        self.is_ended = True
        return False

    async def send(self, requests, service_class="read"):
        """Send requests in one piece; whether they have arrived is not known."""
        verb = b"API.READ" if service_class == "read" else b"API.WRITE"
        fields = terms(c=service_class, d=str(TIMEOUT_MS))
        body = None if service_class == "read" else b"BODY"
        customer = b"%016x" % self.rng.randrange(40)
        self.open_requests += requests
        text = b"".join(command(request.id, fields, verb, customer, body) for request in requests)
        with contextlib.suppress(OSError):
            await self.loop.sock_sendall(self.sock, text)

    async def read_once(self, size):
        """Read once and record the replies that are complete; return False at the end of the connection."""
        try:
            data = await self.loop.sock_recv(self.sock, size)
        except OSError:
            data = b""
        if not data:
            self.is_ended = True
            return False
        self.parser.feed(data)
        while self.open_requests and self.parser.gets() is not ...:
            self.open_requests.pop(0).is_answered = True
        return True

    async def read_all(self, bytes_per_s=float("inf"), longest_pause_s=0.0):
        """Read at a pace until all requests are answered or the connection has ended."""
        while self.open_requests and await self.read_once(20_000):
            pause_s = (
                self.rng.uniform(0.1, longest_pause_s)
                if self.rng.random() < 0.02 * bool(longest_pause_s)
                else 0
            )
            await asyncio.sleep(20_000 / bytes_per_s + pause_s)

    def close(self, *, reset=False):
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()


class SoakRun:
    """The gateway and the clients of one seed, and what was observed of both."""

    def __init__(self, seed, plan, planted=""):
        self.seed, self.plan, self.planted = seed, plan, planted
        self.requests = {}
        self.judged = []  # requests whose clients read on
        self.violations = Tally()
        self.messages = []
        self.peak_mb = 0.0
        self.event_at = 0.0

    def record_violation(self, rule, message):
        self.violations[rule] += 1
        if self.violations[rule] <= 3:
            self.messages.append(f"{rule}: {message}")

    def new_request(self, kind, size, behind=None):
        request = Request(b"%s-%d-%d" % (kind, size, len(self.requests)), behind=behind)
        self.requests[request.id] = request
        return request

    # Clients

    async def read_slowly(self, port, rng, ends_at):
        """Send pipelines for whole values, read these slowly and send more while they arrive."""
        while time.monotonic() < ends_at:
            client = SoakClient(self, port, rng, rng.choice([16, 64, 256]) * 1024)
            if not await client.connect():
                return
            pace = rng.uniform(*SLOW_READER_BYTES_S)
            first = [self.new_request(b"value", size) for size in self.draw_sizes(rng)]
            self.judged += first
            await client.send(first, rng.choice(["read", "note"]))
            reading = asyncio.create_task(client.read_all(pace, LONGEST_READING_PAUSE_S))
            await asyncio.sleep(rng.uniform(0.1, 2.0))
            if client.open_requests and not client.is_ended:
                more = [self.new_request(b"value", 100)]
                self.judged += more
                await client.send(more)
            await reading
            await client.read_all()  # what was sent after the others were answered
            client.close()

    def draw_sizes(self, rng):
        sizes, total = [], 0
        for _ in range(rng.choice([1, 2, 8, 30])):
            size = rng.randint(*(LARGE_BYTES if rng.random() < self.plan.large_values else SMALL_BYTES))
            if total + size > MAX_OUTSTANDING_BYTES:
                break
            sizes.append(size)
            total += size
        return sizes

    async def break_off(self, port, rng, ends_at):
        """Ask for a value that breaks off, and send requests that may run only once behind it."""
        while time.monotonic() < ends_at:
            client = SoakClient(self, port, rng)
            if not await client.connect():
                return
            before = [self.new_request(b"value", rng.randint(*SMALL_BYTES)) for _ in range(rng.randint(0, 2))]
            broken = self.new_request(b"broken", rng.randint(*LARGE_BYTES))
            self.judged += before
            await client.send([*before, broken])
            reading = asyncio.create_task(client.read_all(longest_pause_s=0.0))
            for _ in range(rng.randint(1, 3)):
                await asyncio.sleep(rng.uniform(0.0, 0.4))
                if client.is_ended:
                    break
                behind = [self.new_request(b"value", 20, behind=broken) for _ in range(rng.randint(1, 3))]
                self.judged += behind
                await client.send(behind, "note")
            await reading
            await client.read_all()  # what was sent after the others were answered
            client.close()

    async def burst_and_go(self, port, rng, ends_at):
        """Send many commands at once and leave; again and again."""
        while time.monotonic() < ends_at:
            client = SoakClient(self, port, rng)
            if not await client.connect():
                return
            count = rng.randint(*BURST_COMMANDS)
            await client.send([self.new_request(b"value", 20) for _ in range(count)])
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            client.close(reset=rng.random() < 0.5)

    async def never_read(self, port, rng, clients):
        client = SoakClient(self, port, rng, 16 * 1024)
        if await client.connect():
            clients.append(client)
            await client.send([self.new_request(b"value", 1_000_000) for _ in range(3)])

    # The event

    async def cause_event(self, gateway, stack):
        await asyncio.sleep(EVENT_AT_S)
        self.event_at = time.monotonic()
        if self.plan.event == "term":
            gateway.signal(signal.SIGTERM)
        elif self.plan.event == "standby":
            await call_control(gateway.control_port, "POST /standby")
        elif self.plan.event == "crowd":
            for _ in range(CROWD):
                client = SoakClient(self, gateway.port, random.Random(0))
                stack.callback(client.close)
                await client.connect()
                await asyncio.sleep(CROWD_INTERVAL_S)

    async def observe(self, gateway):
        while gateway.process.returncode is None:
            with contextlib.suppress(OSError):
                self.peak_mb = max(self.peak_mb, gateway.anonymous_mb())
            await asyncio.sleep(0.05)

    async def run(self):
        """Run the gateway and the clients, check the rules and return the violations."""
        async with contextlib.AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            counter = await stack.enter_async_context(StubCounter())
            discovery = await stack.enter_async_context(StubDiscovery())
            hosts = [await stack.enter_async_context(DeliveryHost(self, self.seed + n)) for n in range(HOSTS)]
            discovery.servers = [entry(host, f"h{number}") for number, host in enumerate(hosts)]
            config = gateway_config(discovery.servers, discovery.port, counter.port, SETTINGS)
            limits = {"memory_mb": self.plan.memory_mb, "sockets": self.plan.descriptors}
            config["limits"] = config["limits"] | limits
            gateway = await stack.enter_async_context(
                gateway_process(folder, config, {"planted": self.planted})
            )
            await gateway.wait_until_ready()
            observer = asyncio.create_task(self.observe(gateway))
            silent = []
            await self.run_load(gateway, silent, stack)
            if self.plan.event == "term":
                await self.check_end(gateway)
            elif self.plan.event != "standby":
                await self.check_probes(gateway.port)
            for client in silent:
                client.close()
            observer.cancel()
            self.check_process(gateway)
        self.check_requests()
        return self.violations

    async def run_load(self, gateway, silent, stack):
        ends_at = time.monotonic() + LOAD_DURATION_S
        port, numbers = gateway.port, iter(range(10**6))

        def rng():
            return random.Random(f"{self.seed} {next(numbers)}")

        async with asyncio.TaskGroup() as group:
            for _ in range(self.plan.silent_readers):
                group.create_task(self.never_read(port, rng(), silent))
            for _ in range(self.plan.slow_readers):
                group.create_task(self.read_slowly(port, rng(), ends_at))
            for _ in range(self.plan.breakers):
                group.create_task(self.break_off(port, rng(), ends_at))
            for _ in range(self.plan.bursts):
                group.create_task(self.burst_and_go(port, rng(), ends_at))
            group.create_task(self.cause_event(gateway, stack))

    # The rules

    async def check_end(self, gateway):
        try:
            async with asyncio.timeout(PROCESS_END_TIMEOUT_S):
                status = await gateway.process.wait()
        except TimeoutError:
            self.record_violation(
                "end", f"the process runs {time.monotonic() - self.event_at:.0f} s after SIGTERM"
            )
            return
        if status:
            self.record_violation("crashed", f"the process ended with {status}")

    async def check_probes(self, port):
        """Check that a sound client is served once the others have gone."""
        replies = []
        for number in range(PROBES):
            reply = b""
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(4.0):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(command(b"probe%d" % number))
                    reply = await read_reply(reader)
                    writer.close()
            replies.append(reply)
            await asyncio.sleep(0.1)
        if SERVED not in replies:
            self.record_violation("hang", f"none of {PROBES} requests was served: {Tally(replies)}")

    def check_process(self, gateway):
        if self.plan.event != "term" and gateway.process.returncode is not None:
            self.record_violation("crashed", f"the process ended with {gateway.process.returncode}")
        if any("Traceback" in line for line in gateway.log):
            self.record_violation("crashed", f"the gateway logged {' | '.join(gateway.log)[-400:]}")
        if self.peak_mb > self.plan.memory_mb:
            self.record_violation("memory", f"{self.peak_mb:.0f} MB, {self.plan.memory_mb} MB at most")

    def check_requests(self):
        for request in self.judged:
            if request.ran_at and not request.is_answered and not request.is_excused():
                times = f"ran {request.ran_at - self.event_at:.2f} s after the event"
                if request.behind is not None:
                    times += (
                        f", {request.ran_at - request.behind.value_began_at:.2f} s after the broken value"
                    )
                self.record_violation("lost", f"{request.id.decode()} {times} and has no whole reply")


async def run_plan(plan, seed=0, planted=""):
    """Run a plan, print its outcome and return the violations."""
    soak_run = SoakRun(seed, plan, planted)
    await soak_run.run()
    verdict = ", ".join(f"{rule} {count}" for rule, count in soak_run.violations.items()) or "passed"
    ran = [request for request in soak_run.judged if request.ran_at]
    answered_count = sum(request.is_answered for request in ran)
    print(
        f"seed {seed}: {verdict}; of {len(soak_run.judged)} requests {len(ran)} ran and {answered_count} "
        f"of these were answered; peak {soak_run.peak_mb:.0f} MB",
        *soak_run.messages,
        sep="\n    ",
        flush=True,
    )
    if soak_run.violations:
        print(f"    {plan}", flush=True)
    return soak_run.violations


def main():
    """Run the seeds that the command line names, one after another."""
    parser = argparse.ArgumentParser(description="soak test of the delivery of replies by a real gateway")
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
