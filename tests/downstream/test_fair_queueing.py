"""Turns among connections with commands waiting: fair by cost and weight, newcomers soon, order kept."""

import asyncio
import random
import socket
from collections import deque

import pytest
from netkit import SERVED, Node, StubHost, command, on_loop, read_reply, wait_until

from api_gateway.downstream import client_connection as clients
from api_gateway.downstream import client_server, fair_queueing
from api_gateway.downstream.admission_settings import parse_admission_settings
from api_gateway.downstream.fair_queueing import BATCH_COST, QUANTUM, FairQueue, SourceQueue, command_cost
from api_gateway.downstream.rate_limits import ConnectionLimiter

DEAREST = 5.0


class Waiting:
    """A connection of the model: numbered commands with costs."""

    def __init__(self, weight=1.0):
        self.weight, self.credit, self.queued = weight, QUANTUM * weight, False
        self.commands, self.taken, self.spent = deque(), [], 0.0

    def serve(self, most):
        spent = 0.0
        while self.commands and spent < most:
            number, price = self.commands.popleft()
            self.taken.append(number)
            spent += price
        self.spent += spent
        return spent, bool(self.commands)


class Favours(FairQueue):
    """Planted: whoever has its turn keeps it."""

    def serve(self, most):
        for member in (*self.new_members, *self.served_members):
            member.credit = 1e9
        return super().serve(most)


class Unpaid(FairQueue):
    """Planted: what was taken too much is forgotten."""

    def serve(self, most):
        for member in (*self.new_members, *self.served_members):
            member.credit = max(member.credit, 0.1)
        return super().serve(most)


class AlwaysNew(FairQueue):
    """Planted: one whose commands were all taken is new again with its next one."""

    def serve(self, most):
        told = super().serve(most)
        for member in [m for m in self.served_members if not m.commands]:
            self.served_members.remove(member)
            member.queued = False
        return told


def play(seed, make=FairQueue):
    """Deep pipelines of several weights beside single commands, in one flat ring or under sources."""
    rng = random.Random(seed)
    outer, nested = make(), rng.random() < 0.5
    weights = [rng.choice((0.5, 1.0, 2.0, 4.0)) for _ in range(rng.randint(2, 5))]
    deep = [Waiting(1.0 if nested else weight) for weight in weights]
    light = [Waiting() for _ in range(5)]
    rings = {}
    for member, weight in zip(deep, weights, strict=True):
        if nested:
            source = SourceQueue(weight)
            source.queue = make()
            source.serve = source.queue.serve
            rings[member] = source
    made, since, turns = 0, {}, 0
    asked = {member: [] for member in deep + light}

    def add(member, price):
        nonlocal made
        made += 1
        asked[member].append(made)
        member.commands.append((made, price))
        if member in rings:
            rings[member].queue.add(member)
            outer.add(rings[member])
        else:
            outer.add(member)

    # What one round takes at most, each member overdrawing by a dear command.
    round_most = sum(QUANTUM * w + DEAREST for w in weights) + 5 * (QUANTUM + DEAREST) + BATCH_COST + DEAREST
    for _ in range(400):
        turns += 1
        for member in deep:
            while len(member.commands) < 30:  # always more than a turn
                add(member, rng.choice((1.0, 1.0, 1.3, DEAREST)))
        for member in light:
            if rng.random() < 0.1 and not member.commands:
                add(member, 1.0)
                since[member] = sum(m.spent for m in deep + light)
        outer.serve(BATCH_COST)
        for member in light:
            if not member.commands:
                since.pop(member, None)
        now = sum(m.spent for m in deep + light)
        for at in since.values():
            assert now - at <= round_most, "a newcomer waits for more than a round"
        shares = [member.spent / weight for member, weight in zip(deep, weights, strict=True)]
        # A turn of the lightest is QUANTUM / 2 of cost, so a dear command is some turns of it.
        assert max(shares) - min(shares) <= 2 * QUANTUM + 2 * (DEAREST + BATCH_COST) / min(weights), "unfair"
    for member in deep + light:
        assert member.taken == asked[member][: len(member.taken)], "out of order"
    assert all(member.spent > 0 for member in deep)
    return turns


@pytest.mark.parametrize("seed", range(30))
def test_turns_are_fair_whatever_comes(seed):
    play(seed)


@pytest.mark.parametrize("bug", [Favours, Unpaid])
def test_the_model_catches_a_planted_bug(bug):
    with pytest.raises(AssertionError, match="unfair|newcomer"):
        for seed in range(30):
            play(seed, bug)


@pytest.mark.parametrize("make, passed_over", [(FairQueue, False), (AlwaysNew, True)])
def test_single_commands_that_never_end_do_not_starve_a_pipeline(make, passed_over):
    ring, deep, light = make(), Waiting(), [Waiting() for _ in range(10)]
    deep.commands.extend((n, 1.0) for n in range(1000))
    ring.add(deep)
    deep.credit = 0.0
    for _ in range(100):
        for member in light:
            if not member.commands:
                member.commands.append((0, 1.0))
                ring.add(member)
        ring.serve(BATCH_COST)
    assert (deep.spent < 100 * BATCH_COST / 11 / 2) == passed_over


@pytest.mark.parametrize(
    "told, price",
    [([b"PING"], 1.0), ([b"x" * 1024, b"y" * 1024], 3.0), (7, 1.0), ([bytearray(4 << 20)], 65.0)],
)
def test_a_command_costs_by_its_bytes_too(told, price):
    assert round(command_cost(told), 1) == price


@pytest.mark.parametrize(
    "address, weight", [("10.2.0.9", 4.0), ("10.3.0.1", 0.5), ("192.0.2.1", 1.0), ("fe80::1%eth0", 1.0)]
)
def test_a_source_has_the_weight_of_the_first_network_that_fits(address, weight):
    edge = parse_admission_settings({"weights": {"10.2.0.0/16": 4, "10.0.0.0/8": 0.5}})
    assert ConnectionLimiter(edge, 0.0).weight(address) == weight


EDGE = {"edge": {}}
HOG = b"".join(command(b"h%04d" % n, customer=b"%016x" % (n % 50)) for n in range(400))


async def pipelines_beside(node, count):
    """Ids in the order in which commands are taken, where a light client asks right behind `count` pipelines;
    and all answers."""
    taken, take = [], node.node.requests.admit
    node.node.requests.admit = lambda slot, parts: (taken.append(parts[2]), take(slot, parts))
    light, *deep = [await node.connect() for _ in range(count + 1)]
    for reader, writer in (light, *deep):
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        await read_reply(reader)
    for letter, (_, writer) in zip(b"abc", deep, strict=True):
        writer.write(HOG.replace(b"$5\r\nh", b"$5\r\n%c" % letter))
    light[1].write(command(b"light", customer=b"%016x" % 99))
    answers = [await read_reply(light[0])]
    for reader, _ in deep:
        answers += [await read_reply(reader) for _ in range(400)]
    return taken, answers


@pytest.mark.parametrize("more, soon", [(EDGE, True), ({"edge": {"turns": False}}, False), (None, False)])
@on_loop
async def test_a_light_client_does_not_wait_behind_pipelines(more, soon, scratch):
    async with StubHost() as host, Node(host, path=scratch, config_overrides=more) as node:
        taken, answers = await pipelines_beside(node, 3)
        assert (taken.index(b"light") <= 6 * BATCH_COST) == soon
        assert len(answers) == 1201 and {answer[:1] for answer in answers} <= {b"$", b"-"}
        for letter in b"abc":
            own = [id for id in taken if id[0] == letter]
            assert own == sorted(own) and len(own) == 400


@on_loop
async def test_a_pipeline_that_ends_while_it_waits_leaves_nothing(scratch):
    async with StubHost() as host, Node(host, path=scratch, config_overrides=EDGE) as node:
        scheduler = node.node.clients.listener.scheduler
        for how in ("close", "reset"):
            for _ in range(5):
                _, writer = await node.connect()
                writer.write(HOG * 2)
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
                and not node.node.requests.small_body_bytes
            )
            told = (await node.call_control("GET /status"))[1]["edge"]
            assert told["turns"] == 0 and told["windows"] == [32, 32]


@pytest.mark.parametrize("call", ["POST /standby", None])
@on_loop
async def test_commands_that_wait_for_their_turn_outlast_a_drain(call, scratch, monkeypatch):
    monkeypatch.setattr(fair_queueing, "BATCH_COST", 1.0)
    async with StubHost() as host, Node(host, path=scratch, config_overrides=EDGE) as node:
        reader, writer = await node.connect()
        writer.write(HOG[:20000])
        whole = HOG[:20000].count(b"first=0\r\n")
        await wait_until(lambda: host.commands)
        if call:
            assert (await node.call_control(call))[0] == 200
        else:
            for client in node.node.clients.connections:
                client.close_when_done()
        replies = [await read_reply(reader) for _ in range(whole)]
        # One host may not have room for all of them; each has its answer, and none is cut off.
        assert SERVED in replies and set(replies) <= {SERVED, b"-BUSY\r\n"}


@on_loop
async def test_a_connection_has_no_more_in_work_than_its_bound(scratch, monkeypatch):
    for module in (fair_queueing, clients):
        monkeypatch.setattr(module, "MAX_PENDING_COMMANDS", 8)
    async with StubHost() as host, Node(host, path=scratch, config_overrides=EDGE) as node:
        seen, take = [], node.node.requests.admit
        node.node.requests.admit = lambda slot, parts: (
            seen.append(len(slot.connection.pending_replies)),
            take(slot, parts),
        )
        reader, writer = await node.connect()
        writer.write(HOG)
        assert {(await read_reply(reader))[:1] for _ in range(400)} <= {b"$", b"-"}
        assert max(seen) == 8 and len(seen) == 400


class Full:
    """A handler with room for so many in work; it refuses what comes past that as the module does."""

    def __init__(self, room):
        self.room, self.work, self.refused, self.served = room, deque(), 0, 0
        self.most = 0

    def handle_command(self, slot, told):
        if len(self.work) >= self.room:
            self.refused += 1
            slot.connection.on_overload()
            slot.complete(b"-BUSY\r\n")
            return
        self.work.append(slot)
        self.most = max(self.most, len(slot.connection.pending_replies))

    def on_client_disconnected(self, slot):
        pass

    async def serve(self, until):
        while self.served + self.refused < until:
            for slot in [self.work.popleft() for _ in range(min(4, len(self.work)))]:
                self.served += 1
                slot.complete(SERVED)
            await asyncio.sleep(0)


@on_loop
async def test_a_connection_that_fails_ends_alone_and_turns_go_on(scratch):
    async with StubHost() as host, Node(host, path=scratch, config_overrides=EDGE) as node:
        handle = node.node.requests.handle_command

        def command_fails(slot, told):
            if told == [b"FAIL"]:
                raise RuntimeError("planted")
            handle(slot, told)

        node.node.requests.handle_command = command_fails
        bad, other = await node.connect(), await node.connect()
        bad[1].write(b"*1\r\n$4\r\nFAIL\r\n" * 3)
        assert await bad[0].read() == b""
        other[1].write(b"*1\r\n$4\r\nPING\r\n")
        assert await read_reply(other[0]) == b"+PONG\r\n"
        await wait_until(lambda: len(node.node.clients.connections) == 1)


@pytest.mark.parametrize("halves", [True, False])
@on_loop
async def test_pipelines_fit_themselves_to_what_hosts_have_room_for(halves, monkeypatch):
    """Additive increase, multiplicative decrease: few are refused, and the room is used."""
    if not halves:  # planted: what the module says of pressure is not heard
        monkeypatch.setattr(fair_queueing.FairClientConnection, "on_overload", lambda self: None)
    handler = Full(room=20)
    server = client_server.ClientServer(handler, 100)
    port = await server.listen("127.0.0.1", 0, edge=parse_admission_settings({}))
    pairs = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
    for _, writer in pairs:
        writer.write(HOG * 5)
    readers = [asyncio.create_task(reader.read(-1)) for reader, _ in pairs]
    await handler.serve(2000 * len(pairs))
    assert (handler.refused < 0.05 * handler.served) == halves
    assert handler.most >= 8  # neither pipeline has all of the room, nor next to none
    server.begin_shutdown()
    for _, writer in pairs:
        writer.write_eof()
    got = b"".join(await asyncio.gather(*readers))
    assert got.count(SERVED) + got.count(b"-BUSY") == 4000
    server.close()
