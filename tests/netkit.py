"""Hosts, a counter and discovery that do as a test tells them, and a real gateway among them, on loopback."""

import asyncio
import functools
import json
import os
from time import monotonic

import uvloop

from api_gateway.emulators import site
from api_gateway.emulators.counter import Counter as StubCounter
from api_gateway.emulators.discovery import Discovery as StubDiscovery
from api_gateway.emulators.host import VALUE
from api_gateway.emulators.host import Host as StubHost
from api_gateway.gateway.config import read_config
from api_gateway.gateway.node import GatewayNode

TEST_TIMEOUT_S = 20  # s for a test as a whole: far over what any needs
TERMS = b"c=read,t=p,d=3000,units=1,spread=1,first=0"
SERVED = b"$5\r\nvalue\r\n"

__all__ = ["StubHost", "StubCounter", "StubDiscovery", "VALUE"]

SETTINGS = site.BASE | {
    "services": [
        {"name": "read", "slo": 1_000_000_000, "deadline": 3_000_000_000, "effect": "pure", "gain": 1.0},
        {
            "name": "write",
            "slo": 1_000_000_000,
            "deadline": 3_000_000_000,
            "effect": "token",
            "gain": 1.0,
            "dedup_scope": "cell",
            "memory_span": 3_000_000_000,
        },
        {
            "name": "note",
            "slo": 1_000_000_000,
            "deadline": 3_000_000_000,
            "effect": "side_effect",
            "gain": 1.0,
        },
    ],
    "plans": [
        {"name": "p", "rate": 1000.0, "most_at_once": 10000.0},
        {"name": "small", "rate": 1.0, "most_at_once": 1.0},
    ],
}


def on_loop(test):
    """Runs an async test on the loop that the gateway runs on."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        async def bounded():
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await test(*args, **kwargs)

        uvloop.run(bounded())

    return run


def command(request_id=b"r1", terms=TERMS, verb=b"API.READ", customer=b"00000000b4d65521", body=None):
    parts = [verb, customer, request_id, terms] + ([body] if body is not None else [])
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def terms(**overrides):
    fields = dict(c="read", t="p", d="3000", units="1", spread="1", first="0") | overrides
    return ",".join(f"{name}={value}" for name, value in fields.items() if value is not None).encode()


def write_command(request_id=b"r1", service_class=b"write", deadline_ms=3000):
    terms = b"c=%s,t=p,d=%d,k=77,units=1,spread=1,first=0" % (service_class, deadline_ms)
    return command(request_id, terms, b"API.WRITE", body=b"BODY")


async def read_reply(reader):
    """One answer as it stands on the wire; b"" at the end of the connection."""
    line = await reader.readline()
    if line.startswith(b"$"):
        line += await reader.readexactly(int(line[1:]) + 2)
    return line


async def call_control(port, call, body=b""):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"%s HTTP/1.1\r\nHost: gateway\r\n" % call.encode())
    writer.write((b"Content-Length: %d\r\n" % len(body) if body else b"") + b"\r\n" + body)
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), json.loads(body) if body and b"json" in head else {}


def set_in_flight_limit(node, limit):
    """So many attempts may be out at a host, whatever later lists say."""
    node.engine.endpoint_pool.selector.in_flight_limit = limit
    node.engine.endpoint_pool.update_limits = lambda: None


async def wait_until(condition):
    """Waits for a condition; the test's own patience bounds it."""
    while not condition():
        await asyncio.sleep(0.01)


async def wait_until_settled(pool):
    """Until the connection that was used last may be used again."""
    await wait_until(lambda: pool.idle and monotonic() - pool.idle[-1].idle_since > pool.settle_time)


def entry(host, name="h1", state="up", port=None):
    return site.entry(name, f"127.0.0.1:{port or host.port}", state)


def gateway_config(listed, discovery_port, counter_port, settings=None):
    addresses = f"127.0.0.1:{discovery_port}", f"127.0.0.1:{counter_port}"
    return site.config(listed, *addresses, settings or SETTINGS)


class Node:
    """A gateway with a counter and discovery of its own and the given hosts, named h1, h2 and so on; or one
    more process of the same, beside another."""

    def __init__(self, *hosts, path, settings=None, sibling=None, config_overrides=None):
        self.hosts, self.path, self.settings, self.sibling = hosts, path, settings, sibling
        self.config_overrides = config_overrides or {}  # other keys of the file, or other values
        self.counter = sibling.counter if sibling else StubCounter()
        self.discovery, self.writers = sibling.discovery if sibling else StubDiscovery(), []

    async def __aenter__(self):
        self.file = self.path / "config.json"
        if not self.sibling:
            await self.counter.__aenter__()
            await self.discovery.__aenter__()
            listed = [entry(host, f"h{number}") for number, host in enumerate(self.hosts, 1)]
            self.discovery.servers = listed
            self.file.write_text(
                json.dumps(
                    gateway_config(listed, self.discovery.port, self.counter.port, self.settings)
                    | self.config_overrides
                )
            )
        env = {"RELAY_CONFIG": str(self.file), "RELAY_CONTROL": "127.0.0.1:0", "TMPDIR": str(self.path)}
        os.environ["RELAY_CONFIG"] = str(self.file)  # a signal reads the file that the environment names
        self.node = GatewayNode(read_config(env))
        self.port = await self.node.start()
        self.control_port = self.node.control.listener.sockets[0].getsockname()[1]
        return self

    async def call_control(self, call, body=b""):
        """One call on the second address, such as `GET /status`; its status and what it tells."""
        return await call_control(self.control_port, call, body)

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        return reader, writer

    async def send_command(self, text):
        """One command on a connection of its own; the answer."""
        reader, writer = await self.connect()
        writer.write(text)
        reply = await read_reply(reader)
        writer.close()
        return reply

    async def __aexit__(self, *_):
        for writer in self.writers:
            writer.close()
        if self.node.watch.timer:
            self.node.watch.timer.cancel()
        self.node.clients.begin_shutdown()
        self.node.clients.close()
        self.node.control.close()
        self.node.changes.close()
        if self.node.member:
            self.node.member.close()
        self.node.siblings.unregister()
        self.node.upstream.close()
        self.node.counter.close()
        await self.node.discovery.close()
        if not self.sibling:
            await self.discovery.__aexit__()
            await self.counter.__aexit__()
