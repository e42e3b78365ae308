"""Connections to hosts: attempts, their outcomes, probes, caps."""

import asyncio
import random
import socket
from time import monotonic

import hiredis
import pytest
from netkit import (
    SERVED,
    VALUE,
    Node,
    StubHost,
    bear,
    command,
    entry,
    has_settled,
    on_loop,
    terms,
    until,
    write,
)

from api_gateway import interface as api
from api_gateway.upstream.pool import Attempt, Hosts, Pool


@on_loop
async def test_a_report_that_says_nothing_sound_is_ignored(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        for n, report in enumerate(
            (
                b"$-1\r\n",
                b"$3\r\n???\r\n",
                b"$10\r\nactive=nan\r\n",
                b"$9\r\nactive=-1\r\n",
                b":7\r\n",
                b"$8\r\nactive=x\r\n",
            )
        ):
            host.answer = b"*3\r\n$1\r\nv\r\n$-1\r\n" + report
            assert await node.ask(command(b"r%d" % n)) == b"$1\r\nv\r\n"
        assert not node.node.module.fleet.reports


@pytest.mark.parametrize(
    "odd",
    [
        b"+OK\r\n",
        b"$2\r\nOK\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*1\r\n$-1\r\n",
        b":1\r\n",
        b"*1\r\n:1\r\n",
        b"nonsense\r\n",
        b"$-1\r\n",
        b"*3\r\n$%d\r\n" % (4 * 2**20 + 1),
        b"*1\r\n$69633\r\n",
        b"*1\r\n$65537\r\n" + b"x" * 65537 + b"\r\n",
    ],
)
@on_loop
async def test_what_is_no_value_of_a_host_is_not_served(odd, tmp_path):
    async with StubHost(odd) as host, Node(host, path=tmp_path) as node:
        assert (await node.ask(write(cls=b"note"))).startswith(b"-ERR")
        host.answer = VALUE
        assert await node.ask(command(b"r2")) == SERVED


@on_loop
async def test_an_answer_that_announces_too_much_ends_its_attempt_only(tmp_path):
    async with StubHost(b"*1000000000\r\n") as host, Node(host, path=tmp_path) as node:
        assert await node.ask(write(cls=b"note", d=60000)) == b"-ERR failed\r\n"  # long before that
        host.answer = VALUE
        assert await node.ask(command(b"r2")) == SERVED


@on_loop
async def test_a_probe_brings_the_load_report(tmp_path):
    async with StubHost(b"$8\r\nactive=7\r\n") as host, Node(host, path=tmp_path) as node:
        seen, done = [], asyncio.Event()

        class Watcher:
            def handle(self, now, event):
                if isinstance(event, api.HealthCheckEnded):
                    seen.append(event)
                    done.set()
                return []

        node.node.dispatcher.engine = Watcher()
        node.node.probe(api.CheckHealth("h1"))
        await done.wait()
        assert host.commands == [[b"INFO", b"load"]]
        assert seen[0].result == "ok" and seen[0].load_report == {"inflight": 7.0}


@on_loop
async def test_a_late_answer_reaches_nobody(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        asked = asyncio.create_task(node.ask(write(cls=b"note", d=300)))
        assert await host.arrived.get()
        (late,) = host.writers
        assert (await asked).startswith(b"-ERR") and await host.arrived.get() is None
        await until(late.is_closing)  # its connection went too, so a late answer has no way
        host.answer = VALUE
        assert await node.ask(command(b"r2")) == SERVED


@on_loop
async def test_a_host_that_breaks_off_may_have_run_an_unsafe_request(tmp_path):
    async with StubHost(b"") as one, StubHost(b"") as two, Node(one, two, path=tmp_path) as node:
        assert (await node.ask(write(cls=b"note"))).startswith(b"-ERR")
        assert len(one.commands) + len(two.commands) == 1


@on_loop
async def test_a_host_that_turns_away_never_ran_it(tmp_path):
    turns = iter([b"-BUSY active=3\r\n", VALUE])
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        one.answer = two.answer = lambda: next(turns)
        assert await node.ask(write(cls=b"note")) == SERVED
        assert [c[2] for c in one.commands + two.commands] == [b"r1", b"r1"]


@on_loop
async def test_a_refused_connection_never_ran_it(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        host.server.close()
        await host.server.wait_closed()
        assert (await node.ask(write(cls=b"note"))).startswith(b"-BUSY")  # harmless to try again


@on_loop
async def test_one_connection_is_used_again_and_closed_before_the_host_would(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        for n in range(3):
            assert await node.ask(command(b"r%d" % n)) == SERVED
            await has_settled(node.node.hosts.pools["h1"])
        assert len(host.writers) == 1
        (conn,) = node.node.hosts.pools["h1"].idle
        node.node.hosts.close_stale()
        assert node.node.hosts.pools["h1"].idle == [conn]
        conn.idle_since -= 28.0  # of the 30 s after which the host would close it
        node.node.hosts.close_stale()
        assert node.node.hosts.pools["h1"].idle == []
        while await host.arrived.get() is not None:
            pass


@on_loop
async def test_the_cap_on_connections_holds(tmp_path):
    async with StubHost(answer=None) as host, Node(host, path=tmp_path) as node:
        node.node.hosts.most = 2
        bear(node.node, 100.0)
        asked = [asyncio.create_task(node.ask(command(b"r%d" % n, terms=terms(d="500")))) for n in range(6)]
        await asyncio.gather(*asked)
        assert len(host.writers) <= 2 * 3 and node.node.hosts.open <= 2


@on_loop
async def test_an_attempt_called_off_has_left_the_host_before_the_next_goes_out(tmp_path):
    """Where second copies are not allowed, one attempt's connection must end before the next is written."""
    async with StubHost(None) as one, StubHost() as two, Node(one, two, path=tmp_path) as node:

        class Mover:
            def handle(self, now, event):
                if isinstance(event, api.Request):
                    return [api.SendAttempt(event.request_id, "h1")]
                return (
                    [api.SendAttempt(event.request_id, "h2")]
                    if getattr(event, "result", "") == "cancelled"
                    else []
                )

        node.node.dispatcher.engine = Mover()
        asked = asyncio.create_task(node.ask(command()))
        await one.arrived.get()
        (attempt,) = node.node.in_flight["r1"].attempts.values()
        ended = attempt.conn.sock
        node.node.attempts.cancel(api.CancelAttempt("r1", 0))
        with pytest.raises(OSError):  # the socket was shut at once, not in a later turn of the loop
            ended.send(b"x")
        assert await one.arrived.get() is None
        assert await asked == SERVED and len(two.commands) == 1


@on_loop
async def test_connects_called_off_before_they_began_take_no_room(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        hosts = node.node.hosts
        hosts.most = 2
        for _ in range(5):
            attempt = Attempt("h1", lambda _: command(), lambda attempt: None)
            hosts.send(attempt, 3.0)
            hosts.give_up(attempt, "cancelled")
            assert attempt.result == "connect_failed"
        assert await node.ask(command()) == SERVED
        assert len(host.commands) == 1


class Scripted:
    """A host whose connections a test speaks for, in the order of the commands on them."""

    def __init__(self):
        self.commands = asyncio.Queue()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        parser = hiredis.Reader(notEnoughData=...)
        while data := await reader.read(65536):
            parser.feed(data)
            while (got := parser.gets()) is not ...:
                self.commands.put_nowait((got[2], writer))


def value(text):
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(text), text)


@pytest.mark.parametrize("effect", ["read", "note"])
@on_loop
async def test_a_second_answer_that_is_late_reaches_no_other_request(effect, tmp_path):
    """The next request is due in the turn of the first one's answer; the second answer comes after that."""
    asks = {"read": command, "note": lambda name: write(name, cls=b"note")}[effect]
    async with Scripted() as host, Node(host, path=tmp_path) as node:
        bear(node.node, 1.0)  # the next one waits for the first one's place
        node.node.module.fleet.full = lambda *_: (
            bool(node.node.hosts.conns) and any(conn.attempt for conn in node.node.hosts.conns)
        )
        first = asyncio.create_task(node.ask(asks(b"r1")))
        _, out = await host.commands.get()
        second = asyncio.create_task(node.ask(asks(b"r2")))
        await until(lambda: "r2" in node.node.in_flight)
        pool = node.node.hosts.pools["h1"]
        pool.settle, pool.pace = 10.0, 100.0  # far more than this machine is late
        out.write(value(b"one"))
        assert await first == b"$3\r\none\r\n"
        out.write(value(b"one"))
        name, other = await host.commands.get()
        assert name == b"r2"
        other.write(value(b"two"))
        assert await second == b"$3\r\ntwo\r\n"


@pytest.mark.parametrize("left", [b"*3\r\n$3\r\nol", value(b"old"), b"-ERR late\r\n", None])
@on_loop
async def test_a_connection_with_something_unread_takes_no_request(left, tmp_path):
    """It came in the turn in which the next request goes out, so the loop has not read it: a half line, a
    second answer, an end. On that connection an unsafe request would be lost or get an answer of another."""
    async with Scripted() as host, Node(host, path=tmp_path) as node:
        first = asyncio.create_task(node.ask(command(b"r1")))
        _, out = await host.commands.get()
        out.write(value(b"one"))
        assert await first == b"$3\r\none\r\n"
        pool = node.node.hosts.pools["h1"]
        (conn,) = pool.idle
        conn.idle_since -= pool.settle
        conn.transport.pause_reading()  # as between two turns of the loop
        out.write(left) if left else out.close()
        await until(lambda: not conn.sound())
        second = asyncio.create_task(node.ask(write(b"r2", cls=b"note")))
        name, other = await host.commands.get()
        assert name == b"r2" and other is not out
        other.write(value(b"two"))
        assert await second == b"$3\r\ntwo\r\n"


@pytest.mark.parametrize("late, sent", [(True, False), (False, True)])
@on_loop
async def test_a_repeat_whose_connect_outlasts_the_window_is_not_sent(late, sent, tmp_path, monkeypatch):
    """Hosts would not know the key any longer, so the work would be done twice."""
    held, opened, real = asyncio.Event(), [], Pool.open

    async def open(self):
        opened.append(self)
        if len(opened) == 2:
            await held.wait()
        return await real(self)

    monkeypatch.setattr(Pool, "open", open)
    async with StubHost(b"") as one, StubHost(b"") as two, Node(one, two, path=tmp_path) as node:
        asked = asyncio.create_task(node.ask(write()))
        await until(lambda: len(opened) == 2)
        (attempt,) = node.node.in_flight["r1"].attempts.values()
        assert attempt.until - attempt.started <= 3.0 - 0.02  # memory_span, less the way to the host
        if late:
            attempt.until = monotonic()
        held.set()
        assert (await asked)[:1] == b"-"
        assert len(one.commands) + len(two.commands) == 1 + sent


@on_loop
async def test_an_attempt_whose_time_to_go_out_is_over_ends_unsent_on_a_resting_connection_too(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.ask(command()) == SERVED
        pool, ended = node.node.hosts.pools["h1"], []
        pool.idle[0].idle_since -= pool.settle
        node.node.hosts.send(Attempt("h1", lambda _: command(b"r2"), ended.append, within=-1.0), 3.0)
        assert [attempt.result for attempt in ended] == ["connect_failed"]
        assert len(pool.idle) == 1 and len(host.commands) == 1


@pytest.mark.parametrize("end", ["settles", "called off", "drained", "spoilt"])
@on_loop
async def test_a_request_waits_for_a_connection_that_settles_and_ends_once_however_that_ends(end, tmp_path):
    async with Scripted() as host, Node(host, path=tmp_path) as node:
        hosts, ended = node.node.hosts, []
        first = asyncio.create_task(node.ask(command(b"r1")))
        _, out = await host.commands.get()
        pool = hosts.pools["h1"]
        pool.settle, pool.pace = 30.0 if end != "settles" else 0.2, 1000.0
        out.write(value(b"one"))
        assert await first == b"$3\r\none\r\n"
        (conn,) = pool.idle
        attempt = Attempt("h1", lambda _: command(b"r2"), ended.append)
        hosts.send(attempt, 60.0)
        assert not pool.coming and not pool.idle and list(pool.settling) == [attempt]
        if end == "settles":
            name, again = await host.commands.get()
            assert name == b"r2" and again is out
            out.write(value(b"two"))
            await until(lambda: ended)
            assert ended[0].result == "ok" and len(hosts.conns) == 1
        elif end == "called off":
            hosts.give_up(attempt, "cancelled")
            assert pool.idle == [conn] and ended[0].result == "connect_failed"
        elif end == "drained":
            hosts.listed("h1", None)
            assert ended[0].result == "connect_failed" and not hosts.conns
        else:
            out.write(value(b"one"))
            name, other = await host.commands.get()
            assert name == b"r2" and other is not out
        assert not pool.settling and len(ended) <= 1


@pytest.mark.parametrize("body, result", [(b"x" * 4_000_000, "connect_failed"), (b"BODY", "reset")])
@on_loop
async def test_a_request_of_which_a_host_took_a_part_only_never_ran(body, result, tmp_path):
    """The host's machine takes what its buffers hold, then the connection breaks. Whatever is whole there may
    have run."""
    silent = socket.create_server(("127.0.0.1", 0))
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        seen = []

        class Sender:
            def handle(self, now, event):
                if isinstance(event, api.AttemptEnded):
                    seen.append(event.result)
                    return [api.FailRequest(event.request_id)]
                return [api.SendAttempt(event.request_id, "silent")] if isinstance(event, api.Request) else []

        node.node.dispatcher.engine = Sender()
        node.node.hosts.listed("silent", silent.getsockname())
        asked = asyncio.create_task(node.ask(command(b"r1", terms(c="note"), b"API.WRITE", body=body)))
        await until(lambda: any(conn.attempt for conn in node.node.hosts.conns))
        (conn,) = node.node.hosts.conns
        await until(lambda: not conn.written or len(body) < 100)
        silent.close()  # what nobody accepted is reset
        assert await asked == b"-ERR failed\r\n" and seen == [result]


@pytest.mark.parametrize("pace, new", [(0.01, True), (1.0, False)])
@on_loop
async def test_a_quick_host_is_not_waited_for_while_a_connection_settles(pace, new, tmp_path):
    """A request would take many times what the host needs for it."""
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert await node.ask(command()) == SERVED
        pool = node.node.hosts.pools["h1"]
        pool.settle, pool.pace = 0.3, pace
        pool.idle[0].idle_since = monotonic()
        assert await node.ask(command(b"r2")) == SERVED
        assert (len(host.writers) == 2) == new


class Rests:
    def __init__(self, since):
        self.idle_since = since


@pytest.mark.parametrize("seed", range(20))
def test_those_that_rest_stand_in_the_order_of_their_resting_also_those_that_are_put_back(seed):
    rng, hosts, taken, now = random.Random(seed), Hosts(1.0, 30.0, 10), [], 0.0
    for _ in range(300):
        now += rng.choice((0.0, 0.01, 1.0))
        if hosts.idle and rng.random() < 0.4:
            taken.append(rng.choice(list(hosts.idle)))
            del hosts.idle[taken[-1]]
        elif taken and rng.random() < 0.5:
            hosts.rests(taken.pop(rng.randrange(len(taken))))
        else:
            hosts.rests(Rests(now))
        order = [conn.idle_since for conn in hosts.idle]
        assert order == sorted(order)


class Walked(dict):
    """Pools over which nothing may walk."""

    def __iter__(self):
        raise AssertionError("all pools are walked over")

    values = items = __iter__


@on_loop
async def test_no_request_change_or_timer_walks_over_all_pools(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        hosts = node.node.hosts
        hosts.pools = Walked(hosts.pools)
        hosts.most = 1
        for n in range(3):
            assert await node.ask(command(b"r%d" % n)) == SERVED
        node.discovery.change([entry(host, "h2")])
        await until(lambda: "h2" in hosts.pools)
        node.discovery.change([entry(host, "h1", "removed")])
        await until(lambda: "h1" not in hosts.pools)
        assert await node.ask(command(b"r4")) == SERVED  # the place of the one that rested
        hosts.close_stale()
        hosts.make_room()
        assert hosts.resting() <= hosts.open <= 1
        hosts.pools = dict(dict.items(hosts.pools))
