"""A start that meets a shortage of a moment waits it out: a process that ends there serves nobody."""

import asyncio
import errno
import os
import socket

import pytest
from gateway_process import gateway_process
from netkit import (
    SERVED,
    StubCounter,
    StubDiscovery,
    StubHost,
    command,
    entry,
    gateway_config,
    on_loop,
    read_reply,
)

from api_gateway.base import descriptors
from api_gateway.base.accepting import open_listening_socket

SHORTAGE_ENDS_S = 1.5  # after the process began: its sockets are opened well before that


@pytest.mark.parametrize("code", ["ENOBUFS", "EMFILE", "ENFILE", "ENOMEM"])
@on_loop
async def test_a_gateway_that_can_open_no_socket_for_a_moment_starts_all_the_same(code, tmp_path):
    async with StubHost() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(host)]
        tree = gateway_config([entry(host)], discovery.port, counter.port)
        faults = {"calls": {"socket": [[code], 1.0]}, "until": SHORTAGE_ENDS_S}
        async with gateway_process(tmp_path, tree, faults) as gateway:
            await gateway.wait_until_ready()
            assert any("a socket could not be opened at the start" in line for line in gateway.log)
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            writer.write(command())
            assert await read_reply(reader) == SERVED
            writer.close()


class Shortage:
    """Opens a socket after so many failures."""

    def __init__(self, failures, code):
        self.failures, self.code, self.calls = failures, code, 0

    async def __call__(self):
        self.calls += 1
        if self.calls <= self.failures:
            raise OSError(self.code, os.strerror(self.code))
        return "socket"


@on_loop
async def test_a_shortage_is_waited_out_and_no_other_error():
    short = Shortage(3, errno.ENFILE)
    assert await descriptors.retry_in_shortage(short) == "socket" and short.calls == 4
    taken = Shortage(3, errno.EADDRINUSE)
    with pytest.raises(OSError, match="in use"):
        await descriptors.retry_in_shortage(taken)
    assert taken.calls == 1


@on_loop
async def test_a_shortage_that_lasts_is_told(monkeypatch):
    monkeypatch.setattr(descriptors, "START_SHORTAGE_TIMEOUT_S", 0.1)
    short = Shortage(10_000, errno.EMFILE)
    with pytest.raises(OSError, match="Too many open files"):
        await descriptors.retry_in_shortage(short)
    assert short.calls > 1


@on_loop
async def test_an_address_that_is_taken_is_told_at_once():
    with socket.create_server(("127.0.0.1", 0)) as other, pytest.raises(OSError) as told_of:
        await open_listening_socket(other.getsockname()[:2], 1)
    assert told_of.value.errno == errno.EADDRINUSE
