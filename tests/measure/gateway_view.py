"""Figures of one gateway before many hosts: python tests/measure/gateway_view.py [HOSTS ...] [--json]

With the key view and without it, against the list service (which may know views) and against the stand-in for
discovery, which tells whole lists: time from the start until it has its hosts, memory then and at most, bytes
that its discovery tells it, and CPU and bytes a second, at rest and while hosts outside and inside the view
change. The gateway is a process of its own; bytes are counted on the way. Loopback, some minutes.
"""

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import uvloop  # noqa: E402
from netkit import SETTINGS, call_control, gateway_config  # noqa: E402

from api_gateway.emulators.discovery import Discovery  # noqa: E402

SERVICES, ZONES, SIZE = 2600, "abcdef", 480
KINDS = 80  # services that one gateway calls
EVERY = 20  # of so many hosts one registers itself at the list service, so that it can change
PACE = 5.0  # changes a second
TICKS, PAGE = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")
GRACE = 5_000_000_000  # ns: what an agent tells late is given up after part of it


def entry(n, state="up"):
    return {
        "id": f"s-{n:08x}",
        "addr": f"10.{n // 65536}.{n // 256 % 256}.{n % 256}:6379",
        "zone": ZONES[n % len(ZONES)],
        "kind": f"svc-{n // len(ZONES) % SERVICES}",
        "cell": n % 7,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


class Program:
    """A process; `word` ends the line that names its port."""

    def __init__(self, *args, env=None, word=" at "):
        self.args, self.env, self.word = args, env or {}, word

    async def start(self):
        self.program = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.args,
            stderr=subprocess.PIPE,
            stdin=subprocess.PIPE,
            limit=2**20,
            env={**os.environ, "PYTHONPATH": str(ROOT), **self.env},
        )
        while True:
            line = (await self.program.stderr.readline()).decode()
            if not line:
                raise SystemExit(f"{self.args} ended")
            if self.word in line:
                self.port = int(line.rsplit(":", 1)[1])
                self.rest = asyncio.create_task(self.swallow())
                return self

    async def swallow(self):
        while await self.program.stderr.read(65536):
            pass

    def say(self, line):
        self.program.stdin.write(line.encode() + b"\n")

    def cpu(self):
        fields = Path(f"/proc/{self.program.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def memory(self):
        """MB that it has, and that it had at most."""
        lines = Path(f"/proc/{self.program.pid}/status").read_text().splitlines()
        found = dict(line.split(":", 1) for line in lines)
        return tuple(int(found[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM"))

    async def stop(self):
        if self.program.returncode is None:
            self.program.kill()
        await self.program.wait()


class Relay:
    """Stands before a service and counts what it tells."""

    def __init__(self, port):
        self.there, self.bytes = port, 0

    async def start(self):
        self.server = await asyncio.start_server(self.join, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def join(self, reader, writer):
        there, out = await asyncio.open_connection("127.0.0.1", self.there)

        async def back():
            while data := await there.read(2**18):
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()

        task = asyncio.create_task(back())
        try:
            while data := await reader.read(65536):
                out.write(data)
        finally:
            task.cancel()
            out.close()
            writer.close()


async def serve_lists(count):
    """The stand-in as a process: a line on its input is a host's number, which drains or comes back."""
    lists, draining = Discovery(), set()
    lists.servers = [entry(n) for n in range(count)]
    reader = asyncio.StreamReader()
    made = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: made, sys.stdin)
    await lists.open("127.0.0.1", 0)
    print(f"lists at 127.0.0.1:{lists.port}", file=sys.stderr, flush=True)
    while line := await reader.readline():
        n = int(line)
        draining ^= {n}
        lists.change([entry(n, "draining" if n in draining else "up")])


async def list_service(folder, count):
    hosts, config = folder / "hosts.json", folder / "registry.json"
    hosts.write_text(json.dumps({"servers": [entry(n) for n in range(count) if n % EVERY]}))
    config.write_text(json.dumps({"listen": "127.0.0.1:0", "hosts": str(hosts)}))
    service = await Program("-m", "api_gateway.registry", env={"REGISTRY_CONFIG": str(config)}).start()
    lines = await asyncio.open_connection("127.0.0.1", service.port)
    for n in range(0, count, EVERY):
        await register(lines, n, 1)
    lines[1].close()
    return service


async def register(lines, n, incarnation):
    reader, writer = lines
    told = {name: value for name, value in entry(n).items() if name not in ("id", "state", "started_ms")}
    body = json.dumps(told | {"incarnation": incarnation, "ttl_ms": 600_000}).encode()
    writer.write(
        b"PUT /v1/hosts/s-%08x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (n, len(body), body)
    )
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
    if b" 200 " not in head.split(b"\r\n")[0]:
        raise SystemExit(f"{head!r}")


async def change(service, stand_in, n):
    if stand_in:
        service.say(str(n))
        return
    lines = await asyncio.open_connection("127.0.0.1", service.port)
    await register(lines, n, time.time_ns() // 1000)
    lines[1].close()


async def phase(gateway, relay, span, act):
    cpu, count, began = gateway.cpu(), relay.bytes, time.monotonic()
    done = 0
    while (passed := time.monotonic() - began) < span:
        if act is not None and done < passed * PACE:
            await act(done)
            done += 1
        await asyncio.sleep(0.02)
    return 100 * (gateway.cpu() - cpu) / passed, (relay.bytes - count) / passed


async def play(count, stand_in, view, span):
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        service = await (
            Program(__file__, "--stand-in", str(count)).start() if stand_in else list_service(folder, count)
        )
        relay = await Relay(service.port).start()
        settings = {**SETTINGS, "rules": {**SETTINGS["rules"], "drain_grace": GRACE}}
        tree = gateway_config([], relay.port, 1, settings) | {"control": "127.0.0.1:0"}
        tree["known"] = {"version": 0, "full": True, "servers": []}
        tree |= {} if stand_in else {"replicas": {}}
        kinds = sorted({entry(n)["kind"] for n in range(count)})[:KINDS]
        tree |= {"view": {"size": SIZE, "kinds": kinds}} if view == "kinds" else {}
        tree |= {"view": {"size": SIZE}} if view == "all" else {}
        file = folder / "gateway.json"
        file.write_text(json.dumps(tree))
        began = time.monotonic()
        gateway = await Program(
            "-m",
            "api_gateway.gateway",
            env={"RELAY_CONFIG": str(file), "TMPDIR": name},
            word="calls are taken",
        ).start()
        while True:
            seen = (await call_control(gateway.port, "GET /status"))[1]
            if seen.get("list", {}).get("version") and seen["hosts"]:
                break
            await asyncio.sleep(0.02)
        took, told_by = time.monotonic() - began, relay.bytes
        own = {int(host[2:], 16) for host in seen["hosts"]}
        quiet = await phase(gateway, relay, span, None)
        some = range(0, count, EVERY)
        others, mine = [n for n in some if n not in own] or [0], [n for n in some if n in own] or [0]

        async def outside(number):
            await change(service, stand_in, others[number * 37 % len(others)])

        async def inside(number):
            await change(service, stand_in, mine[number * 37 % len(mine)])

        far = await phase(gateway, relay, span, outside)
        near = await phase(gateway, relay, span, inside)
        memory = gateway.memory()
        await gateway.stop()
        await service.stop()
        relay.server.close()
        return {
            "hosts": count,
            "service": "stand-in" if stand_in else "list service",
            "view": view or "none",
            "in_view": len(own),
            "ready_s": round(took, 2),
            "told_kB": round(told_by / 1000, 1),
            "rss_MB": round(memory[0], 1),
            "most_MB": round(memory[1], 1),
            "rest_cpu_%": round(quiet[0], 2),
            "rest_B_s": round(quiet[1]),
            "outside_cpu_%": round(far[0], 2),
            "outside_B_s": round(far[1]),
            "inside_cpu_%": round(near[0], 2),
            "inside_B_s": round(near[1]),
        }


def main():
    words = argparse.ArgumentParser()
    words.add_argument("hosts", type=int, nargs="*", default=[200, 10_000, 56_000])
    words.add_argument("--json", action="store_true")
    words.add_argument("--stand-in", type=int, help=argparse.SUPPRESS)
    words.add_argument("--views", default="none,all,kinds")
    words.add_argument("--seconds", type=float, default=10.0, help="of each phase")
    args = words.parse_args()
    if args.stand_in is not None:
        asyncio.run(serve_lists(args.stand_in))
        return
    rows = []
    for count in args.hosts:
        for stand_in in (True, False):
            for view in args.views.split(","):
                row = uvloop.run(play(count, stand_in, "" if view == "none" else view, args.seconds))
                rows.append(row)
                if not args.json:
                    print("  ".join(f"{name} {value}" for name, value in row.items()), flush=True)
    if args.json:
        print(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
