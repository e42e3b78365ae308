"""The line and the counts that tell why a client connection was ended."""

import logging

from netkit import Node, StubHost, command, on_loop, wait_until

from api_gateway.downstream.connection_ends import EndReason
from api_gateway.downstream.connection_state import CloseCause


@on_loop
async def test_the_line_of_an_end_names_who_began_it_and_the_unanswered_requests(tmp_path, caplog):
    caplog.set_level(logging.INFO)
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        _, writer = await node.connect()
        writer.write(command(b"first") + command(b"second") + command(b"third")[:40])
        await host.arrived.get()
        await host.arrived.get()
        writer.close()
        ends = node.node.clients.ends
        await wait_until(lambda: ends.counts[EndReason.CLIENT_LEFT])
        (line,) = [record.message for record in caplog.records if "client connection ended" in record.message]
        assert "reason=client_left begun_by=client " in line
        assert "commands=2 unanswered=2 undelivered=0 unread=0 unhandled=yes" in line
        assert line.endswith("sending_shut=no requests=first,second")
        assert ends.begun_counts == {CloseCause.CLIENT: 1}


@on_loop
async def test_the_beginning_of_a_close_is_counted_once_by_its_cause(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command())
        await reader.readline()
        (client,) = node.node.clients.connections
        client.close_when_done(CloseCause.EVICTION)
        node.node.clients.set_draining(True)
        assert await reader.read() == b"value\r\n"
        assert node.node.clients.ends.begun_counts == {CloseCause.EVICTION: 1}
