"""Fair queueing: shares follow cost and weight, new members are served soon, commands stay in order."""

import asyncio
import random
import socket
from collections import deque

import pytest
from netkit import SERVED, Node, StubHost, command, on_loop, read_reply, wait_until

from api_gateway.downstream import client_connection as clients
from api_gateway.downstream import client_server, fair_queueing
from api_gateway.downstream.admission_settings import parse_admission_settings
from api_gateway.downstream.connection_state import CloseCause
from api_gateway.downstream.fair_queueing import BATCH_COST, QUANTUM, FairQueue, SourceQueue, command_cost
from api_gateway.downstream.rate_limits import ConnectionLimiter

MAX_COMMAND_COST = 5.0


class ModelConnection:
    """A connection of the model, with numbered commands and their costs."""

    def __init__(self, weight=1.0):
        self.weight, self.credit, self.queued = weight, QUANTUM * weight, False
        self.commands, self.served, self.spent = deque(), [], 0.0

    def serve(self, max_cost):
        spent = 0.0
        while self.commands and spent < max_cost:
            number, cost = self.commands.popleft()
            self.served.append(number)
            spent += cost
        self.spent += spent
        return spent, bool(self.commands)


class Favours(FairQueue):
    """Injected bug: a member that is being served is never preempted."""

    def serve(self, max_cost):
        for member in (*self.new_members, *self.served_members):
            member.credit = 1e9
        return super().serve(max_cost)


class Unpaid(FairQueue):
    """Injected bug: debt is forgotten."""

    def serve(self, max_cost):
        for member in (*self.new_members, *self.served_members):
            member.credit = max(member.credit, 0.1)
        return super().serve(max_cost)


class AlwaysNew(FairQueue):
    """Injected bug: a member without further commands is new again with its next command."""

    def serve(self, max_cost):
        result = super().serve(max_cost)
        for member in [m for m in self.served_members if not m.commands]:
            self.served_members.remove(member)
            member.queued = False
        return result


def simulate(seed, make=FairQueue):
    """Simulate deep pipelines of several weights beside single commands, in one queue or by source."""
    rng = random.Random(seed)
    outer, nested = make(), rng.random() < 0.5
    weights = [rng.choice((0.5, 1.0, 2.0, 4.0)) for _ in range(rng.randint(2, 5))]
    deep = [ModelConnection(1.0 if nested else weight) for weight in weights]
    light = [ModelConnection() for _ in range(5)]
    sources = {}
    for member, weight in zip(deep, weights, strict=True):
        if nested:
            source = SourceQueue(weight)
            source.queue = make()
            source.serve = source.queue.serve
            sources[member] = source
    command_count, waiting_since, turns = 0, {}, 0
    queued_commands = {member: [] for member in deep + light}

    def add(member, cost):
        nonlocal command_count
        command_count += 1
        queued_commands[member].append(command_count)
        member.commands.append((command_count, cost))
        if member in sources:
            sources[member].queue.add(member)
            outer.add(sources[member])
        else:
            outer.add(member)

    # Maximum cost of one round, if each member exceeds its credit by one expensive command.
    max_round_cost = (
        sum(QUANTUM * w + MAX_COMMAND_COST for w in weights)
        + 5 * (QUANTUM + MAX_COMMAND_COST)
        + BATCH_COST
        + MAX_COMMAND_COST
    )
    for _ in range(400):
        turns += 1
        for member in deep:
            while len(member.commands) < 30:  # always more than one turn can serve
                add(member, rng.choice((1.0, 1.0, 1.3, MAX_COMMAND_COST)))
        for member in light:
            if rng.random() < 0.1 and not member.commands:
                add(member, 1.0)
                waiting_since[member] = sum(m.spent for m in deep + light)
        outer.serve(BATCH_COST)
        for member in light:
            if not member.commands:
                waiting_since.pop(member, None)
        now = sum(m.spent for m in deep + light)
        for spent_at_arrival in waiting_since.values():
            assert now - spent_at_arrival <= max_round_cost, "a newcomer waits for more than a round"
        shares = [member.spent / weight for member, weight in zip(deep, weights, strict=True)]
        # A turn of the smallest weight costs QUANTUM / 2, so an expensive command takes several of them.
        assert max(shares) - min(shares) <= 2 * QUANTUM + 2 * (MAX_COMMAND_COST + BATCH_COST) / min(
            weights
        ), "unfair"
    for member in deep + light:
        assert member.served == queued_commands[member][: len(member.served)], "out of order"
    assert all(member.spent > 0 for member in deep)
    return turns


@pytest.mark.parametrize("seed", range(30))
def test_scheduling_is_fair_for_random_loads(seed):
    simulate(seed)


@pytest.mark.parametrize("bug", [Favours, Unpaid])
def test_the_model_catches_a_planted_bug(bug):
    with pytest.raises(AssertionError, match="unfair|newcomer"):
        for seed in range(30):
            simulate(seed, bug)


@pytest.mark.parametrize("make, passed_over", [(FairQueue, False), (AlwaysNew, True)])
def test_continuous_single_commands_do_not_starve_a_pipeline(make, passed_over):
    queue, deep, light = make(), ModelConnection(), [ModelConnection() for _ in range(10)]
    deep.commands.extend((n, 1.0) for n in range(1000))
    queue.add(deep)
    deep.credit = 0.0
    for _ in range(100):
        for member in light:
            if not member.commands:
                member.commands.append((0, 1.0))
                queue.add(member)
        queue.serve(BATCH_COST)
    assert (deep.spent < 100 * BATCH_COST / 11 / 2) == passed_over


@pytest.mark.parametrize(
    "told, price",
    [([b"PING"], 1.0), ([b"x" * 1024, b"y" * 1024], 3.0), (7, 1.0), ([bytearray(4 << 20)], 65.0)],
)
def test_the_cost_of_a_command_includes_its_size(told, price):
    assert round(command_cost(told), 1) == price


@pytest.mark.parametrize(
    "address, weight", [("10.2.0.9", 4.0), ("10.3.0.1", 0.5), ("192.0.2.1", 1.0), ("fe80::1%eth0", 1.0)]
)
def test_a_source_has_the_weight_of_the_first_matching_network(address, weight):
    edge = parse_admission_settings({"weights": {"10.2.0.0/16": 4, "10.0.0.0/8": 0.5}})
    assert ConnectionLimiter(edge, 0.0).weight(address) == weight


EDGE = {"edge": {}}
PIPELINE = b"".join(command(b"h%04d" % n, customer=b"%016x" % (n % 50)) for n in range(400))


async def run_beside_pipelines(node, count):
    """Run a light client that sends a command right after `count` pipelines.

    Returns:
        The ids in the order in which commands were admitted, and all replies.
    """
    admitted_ids, admit = [], node.node.requests.admit
    node.node.requests.admit = lambda pending_reply, parts: (
        admitted_ids.append(parts[2]),
        admit(pending_reply, parts),
    )
    light, *deep = [await node.connect() for _ in range(count + 1)]
    for reader, writer in (light, *deep):
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        await read_reply(reader)
    for letter, (_, writer) in zip(b"abc", deep, strict=True):
        writer.write(PIPELINE.replace(b"$5\r\nh", b"$5\r\n%c" % letter))
    light[1].write(command(b"light", customer=b"%016x" % 99))
    replies = [await read_reply(light[0])]
    for reader, _ in deep:
        replies += [await read_reply(reader) for _ in range(400)]
    return admitted_ids, replies


# Without fair queueing, the bound on a connection's commands in an iteration of the loop has this effect.
@pytest.mark.parametrize("more", [EDGE, {"edge": {"turns": False}}, None])
@on_loop
async def test_a_light_client_does_not_wait_behind_pipelines(more, scratch):
    async with StubHost() as host, Node(host, path=scratch, config_overrides=more) as node:
        admitted_ids, replies = await run_beside_pipelines(node, 3)
        assert admitted_ids.index(b"light") <= 6 * BATCH_COST
        assert len(replies) == 1201 and {reply[:1] for reply in replies} <= {b"$", b"-"}
        for letter in b"abc":
            pipeline_ids = [id for id in admitted_ids if id[0] == letter]
            assert pipeline_ids == sorted(pipeline_ids) and len(pipeline_ids) == 400


@on_loop
async def test_a_pipeline_that_disconnects_while_queued_leaves_no_state(scratch):
    async with StubHost() as host, Node(host, path=scratch, config_overrides=EDGE) as node:
        scheduler = node.node.clients.listener.scheduler
        for how in ("close", "reset"):
            for _ in range(5):
                _, writer = await node.connect()
                writer.write(PIPELINE * 2)
                await wait_until(lambda: node.node.clients.connections)
                if how == "reset":
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                writer.transport.abort()
            await wait_until(lambda: not node.node.in_flight and not node.node.clients.connections)
            await wait_until(lambda: not len(scheduler.queue))
            assert (
                not scheduler.sources
                and not scheduler.is_scheduled
                and not node.node.requests.budget.reserved_bytes
            )
            edge_status = (await node.call_control("GET /status"))[1]["edge"]
            assert edge_status["turns"] == 0 and edge_status["windows"] == [32, 32]


@pytest.mark.parametrize("call", ["POST /standby", None])
@on_loop
async def test_queued_commands_are_answered_in_a_drain(call, scratch, monkeypatch):
    monkeypatch.setattr(fair_queueing, "BATCH_COST", 1.0)
    async with StubHost() as host, Node(host, path=scratch, config_overrides=EDGE) as node:
        reader, writer = await node.connect()
        writer.write(PIPELINE[:20000])
        command_count = PIPELINE[:20000].count(b"first=0\r\n")
        await wait_until(lambda: host.commands)
        if call:
            assert (await node.call_control(call))[0] == 200
        else:
            for client in node.node.clients.connections:
                client.close_when_done(CloseCause.EVICTION)
        replies = [await read_reply(reader) for _ in range(command_count)]
        # One host may lack the capacity for all of them; each command has a complete reply.
        assert SERVED in replies and set(replies) <= {SERVED, b"-BUSY\r\n"}


@on_loop
async def test_pending_commands_of_a_connection_are_bounded(scratch, monkeypatch):
    for module in (fair_queueing, clients):
        monkeypatch.setattr(module, "MAX_PENDING_COMMANDS", 8)
    async with StubHost() as host, Node(host, path=scratch, config_overrides=EDGE) as node:
        pending_counts, admit = [], node.node.requests.admit
        node.node.requests.admit = lambda pending_reply, parts: (
            pending_counts.append(len(pending_reply.connection.pending_replies)),
            admit(pending_reply, parts),
        )
        reader, writer = await node.connect()
        writer.write(PIPELINE)
        assert {(await read_reply(reader))[:1] for _ in range(400)} <= {b"$", b"-"}
        assert max(pending_counts) == 8 and len(pending_counts) == 400


class LimitedHandler:
    """A command handler of limited capacity, which rejects further commands as the gateway does."""

    def __init__(self, capacity):
        self.capacity, self.in_flight, self.rejected, self.served = capacity, deque(), 0, 0
        self.max_pending = 0

    def handle_command(self, pending_reply, command):
        if len(self.in_flight) >= self.capacity:
            self.rejected += 1
            pending_reply.connection.on_overload()
            pending_reply.complete(b"-BUSY\r\n")
            return
        self.in_flight.append(pending_reply)
        self.max_pending = max(self.max_pending, len(pending_reply.connection.pending_replies))

    def on_client_disconnected(self, pending_reply):
        pass

    async def serve(self, command_count):
        while self.served + self.rejected < command_count:
            for pending_reply in [self.in_flight.popleft() for _ in range(min(4, len(self.in_flight)))]:
                self.served += 1
                pending_reply.complete(SERVED)
            await asyncio.sleep(0)


@on_loop
async def test_a_failing_connection_is_aborted_alone_and_scheduling_continues(scratch):
    async with StubHost() as host, Node(host, path=scratch, config_overrides=EDGE) as node:
        handle = node.node.requests.handle_command

        def fail_or_handle(pending_reply, parts):
            if parts == [b"FAIL"]:
                raise RuntimeError("injected failure")
            handle(pending_reply, parts)

        node.node.requests.handle_command = fail_or_handle
        bad, other = await node.connect(), await node.connect()
        bad[1].write(b"*1\r\n$4\r\nFAIL\r\n" * 3)
        assert await bad[0].read() == b""
        other[1].write(b"*1\r\n$4\r\nPING\r\n")
        assert await read_reply(other[0]) == b"+PONG\r\n"
        await wait_until(lambda: len(node.node.clients.connections) == 1)


@pytest.mark.parametrize("halves", [True, False])
@on_loop
async def test_pipelines_adapt_their_window_to_endpoint_capacity(halves, monkeypatch):
    """Additive increase, multiplicative decrease: few commands are rejected, and the capacity is used."""
    if not halves:  # injected bug: overload is ignored
        monkeypatch.setattr(fair_queueing.FairClientConnection, "on_overload", lambda self: None)
    handler = LimitedHandler(capacity=20)
    server = client_server.ClientServer(handler, 100)
    port = await server.listen("127.0.0.1", 0, edge=parse_admission_settings({}))
    pairs = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
    for _, writer in pairs:
        writer.write(PIPELINE * 5)
    readers = [asyncio.create_task(reader.read(-1)) for reader, _ in pairs]
    await handler.serve(2000 * len(pairs))
    assert (handler.rejected < 0.05 * handler.served) == halves
    assert handler.max_pending >= 8  # neither pipeline takes all of the capacity or almost none
    server.begin_shutdown()
    for _, writer in pairs:
        writer.write_eof()
    received = b"".join(await asyncio.gather(*readers))
    assert received.count(SERVED) + received.count(b"-BUSY") == 4000
    server.close()
