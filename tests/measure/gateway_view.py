"""Measures one gateway with many hosts: python tests/measure/gateway_view.py [HOSTS ...] [--json]

Runs with and without the `view` setting, against the list service, which supports views, and against the
stand-in for discovery, which sends full lists. Measured are the time from the start until the gateway has its
hosts, its memory at the end and at most, the bytes received from discovery, and CPU and bytes per second when
idle and while hosts outside and inside the view change. The gateway is a separate process; a proxy counts the
bytes. Loopback, some minutes.
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

SERVICE_COUNT, ZONES, VIEW_SIZE = 2600, "abcdef", 480
KIND_COUNT = 80  # services that one gateway calls
REGISTERED_INTERVAL = 20  # one in this many hosts registers itself at the list service, so that it can change
CHANGES_PER_S = 5.0
TICKS_PER_S, PAGE_BYTES = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")
DRAIN_GRACE_NS = 5_000_000_000  # an agent's late report is abandoned after a part of it


def entry(n, state="up"):
    return {
        "id": f"s-{n:08x}",
        "addr": f"10.{n // 65536}.{n // 256 % 256}.{n % 256}:6379",
        "zone": ZONES[n % len(ZONES)],
        "kind": f"svc-{n // len(ZONES) % SERVICE_COUNT}",
        "cell": n % 7,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


class ServiceProcess:
    """A process that logs its port in a line containing `port_marker`."""

    def __init__(self, *args, env=None, port_marker=" at "):
        self.args, self.env, self.port_marker = args, env or {}, port_marker

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self.args,
            stderr=subprocess.PIPE,
            stdin=subprocess.PIPE,
            limit=2**20,
            env={**os.environ, "PYTHONPATH": str(ROOT), **self.env},
        )
        while True:
            line = (await self.process.stderr.readline()).decode()
            if not line:
                raise SystemExit(f"{self.args} ended")
            if self.port_marker in line:
                self.port = int(line.rsplit(":", 1)[1])
                self.discard_task = asyncio.create_task(self.discard_output())
                return self

    async def discard_output(self):
        while await self.process.stderr.read(65536):
            pass

    def write_line(self, line):
        self.process.stdin.write(line.encode() + b"\n")

    def cpu(self):
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory(self):
        """Return the current and the largest resident size in MB."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        fields = dict(line.split(":", 1) for line in lines)
        return tuple(int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM"))

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class CountingProxy:
    """Proxies connections to a service and counts the bytes that it sends."""

    def __init__(self, port):
        self.upstream_port, self.bytes = port, 0

    async def start(self):
        self.server = await asyncio.start_server(self.copy_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def copy_connection(self, reader, writer):
        upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.upstream_port)

        async def copy_replies():
            while data := await upstream_reader.read(2**18):
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()

        task = asyncio.create_task(copy_replies())
        try:
            while data := await reader.read(65536):
                upstream_writer.write(data)
        finally:
            task.cancel()
            upstream_writer.close()
            writer.close()


async def serve_lists(count):
    """Run the stand-in; each line of its input is the number of a host that starts or stops draining."""
    discovery, draining = Discovery(), set()
    discovery.servers = [entry(n) for n in range(count)]
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    await discovery.open("127.0.0.1", 0)
    print(f"lists at 127.0.0.1:{discovery.port}", file=sys.stderr, flush=True)
    while line := await reader.readline():
        n = int(line)
        draining ^= {n}
        discovery.change([entry(n, "draining" if n in draining else "up")])


async def list_service(folder, count):
    hosts, config = folder / "hosts.json", folder / "registry.json"
    hosts.write_text(json.dumps({"servers": [entry(n) for n in range(count) if n % REGISTERED_INTERVAL]}))
    config.write_text(json.dumps({"listen": "127.0.0.1:0", "hosts": str(hosts)}))
    service = await ServiceProcess("-m", "api_gateway.registry", env={"REGISTRY_CONFIG": str(config)}).start()
    connection = await asyncio.open_connection("127.0.0.1", service.port)
    for n in range(0, count, REGISTERED_INTERVAL):
        await register(connection, n, 1)
    connection[1].close()
    return service


async def register(connection, n, incarnation):
    reader, writer = connection
    registration = {
        name: value for name, value in entry(n).items() if name not in ("id", "state", "started_ms")
    }
    body = json.dumps(registration | {"incarnation": incarnation, "ttl_ms": 600_000}).encode()
    writer.write(
        b"PUT /v1/hosts/s-%08x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (n, len(body), body)
    )
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
    if b" 200 " not in head.split(b"\r\n")[0]:
        raise SystemExit(f"{head!r}")


async def change(service, stand_in, n):
    if stand_in:
        service.write_line(str(n))
        return
    connection = await asyncio.open_connection("127.0.0.1", service.port)
    await register(connection, n, time.time_ns() // 1000)
    connection[1].close()


async def measure_phase(gateway, proxy, span, make_change):
    start_cpu, start_bytes, started_at = gateway.cpu(), proxy.bytes, time.monotonic()
    change_count = 0
    while (elapsed := time.monotonic() - started_at) < span:
        if make_change is not None and change_count < elapsed * CHANGES_PER_S:
            await make_change(change_count)
            change_count += 1
        await asyncio.sleep(0.02)
    return 100 * (gateway.cpu() - start_cpu) / elapsed, (proxy.bytes - start_bytes) / elapsed


async def measure(count, stand_in, view, span):
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        service = await (
            ServiceProcess(__file__, "--stand-in", str(count)).start()
            if stand_in
            else list_service(folder, count)
        )
        proxy = await CountingProxy(service.port).start()
        settings = {**SETTINGS, "rules": {**SETTINGS["rules"], "drain_grace": DRAIN_GRACE_NS}}
        config = gateway_config([], proxy.port, 1, settings) | {"control": "127.0.0.1:0"}
        config["known"] = {"version": 0, "full": True, "servers": []}
        config |= {} if stand_in else {"replicas": {}}
        kinds = sorted({entry(n)["kind"] for n in range(count)})[:KIND_COUNT]
        config |= {"view": {"size": VIEW_SIZE, "kinds": kinds}} if view == "kinds" else {}
        config |= {"view": {"size": VIEW_SIZE}} if view == "all" else {}
        file = folder / "gateway.json"
        file.write_text(json.dumps(config))
        started_at = time.monotonic()
        gateway = await ServiceProcess(
            "-m",
            "api_gateway.gateway",
            env={"RELAY_CONFIG": str(file), "TMPDIR": name},
            port_marker="calls are taken",
        ).start()
        while True:
            status = (await call_control(gateway.port, "GET /status"))[1]
            if status.get("list", {}).get("version") and status["hosts"]:
                break
            await asyncio.sleep(0.02)
        ready_s, received_bytes = time.monotonic() - started_at, proxy.bytes
        view_hosts = {int(host[2:], 16) for host in status["hosts"]}
        idle = await measure_phase(gateway, proxy, span, None)
        changing_hosts = range(0, count, REGISTERED_INTERVAL)
        hosts_outside, hosts_inside = (
            [n for n in changing_hosts if n not in view_hosts] or [0],
            [n for n in changing_hosts if n in view_hosts] or [0],
        )

        async def change_outside(number):
            await change(service, stand_in, hosts_outside[number * 37 % len(hosts_outside)])

        async def change_inside(number):
            await change(service, stand_in, hosts_inside[number * 37 % len(hosts_inside)])

        outside = await measure_phase(gateway, proxy, span, change_outside)
        inside = await measure_phase(gateway, proxy, span, change_inside)
        memory = gateway.memory()
        await gateway.stop()
        await service.stop()
        proxy.server.close()
        return {
            "hosts": count,
            "service": "stand-in" if stand_in else "list service",
            "view": view or "none",
            "in_view": len(view_hosts),
            "ready_s": round(ready_s, 2),
            "told_kB": round(received_bytes / 1000, 1),
            "rss_MB": round(memory[0], 1),
            "most_MB": round(memory[1], 1),
            "rest_cpu_%": round(idle[0], 2),
            "rest_B_s": round(idle[1]),
            "outside_cpu_%": round(outside[0], 2),
            "outside_B_s": round(outside[1]),
            "inside_cpu_%": round(inside[0], 2),
            "inside_B_s": round(inside[1]),
        }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("hosts", type=int, nargs="*", default=[200, 10_000, 56_000])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--stand-in", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--views", default="none,all,kinds")
    parser.add_argument("--seconds", type=float, default=10.0, help="of each phase")
    args = parser.parse_args()
    if args.stand_in is not None:
        asyncio.run(serve_lists(args.stand_in))
        return
    rows = []
    for count in args.hosts:
        for stand_in in (True, False):
            for view in args.views.split(","):
                row = uvloop.run(measure(count, stand_in, "" if view == "none" else view, args.seconds))
                rows.append(row)
                if not args.json:
                    print("  ".join(f"{name} {value}" for name, value in row.items()), flush=True)
    if args.json:
        print(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
