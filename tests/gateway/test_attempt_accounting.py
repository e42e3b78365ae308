"""Property: whatever happens to requests and attempts, each attempt that the engine counts ends exactly once.

The decision engine, the runner and the requests in flight are the real ones. Connections of clients and the
pools of endpoints are scripted, so that a seed draws every order of bursts, answers, values, failures,
disconnects, deadlines, lists and drains.
"""

import asyncio
import random
from collections import deque
from types import SimpleNamespace

import pytest
from helpers import NOTE, READ, WRITE, host, plan, settings
from netkit import on_loop

from api_gateway import interface as api
from api_gateway.downstream.pending_reply import PendingReply
from api_gateway.downstream.send_time import SendTime
from api_gateway.gateway.attempt_runner import AttemptRunner
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.forwarded_ids import ForwardedIds
from api_gateway.gateway.in_flight import InFlightRequests
from api_gateway.policy import DecisionEngine

SEEDS = range(150)
STEPS = 250
PLAN = plan(rate=100_000.0, burst=100_000.0)
DEADLINE_MS = 60_000  # far beyond what a play takes in real time; deadlines pass by the engine's clock
LARGE = 100_000
FAILURES = ("error", "full", "timeout", "reset", "connect_failed")


class ScriptedConnection:
    """A client connection without a socket: it records replies, and may be found to be gone."""

    def __init__(self, requests):
        self.requests = requests
        self.pending_replies = deque()
        self.send_time = SendTime(0.0)
        self.send_time.earliest = asyncio.get_running_loop().time()
        self.writing_paused = False
        self.is_gone = False  # the client has left, and the event loop has not noticed
        self.is_closed = False
        self.value_count = 0

    def send(self, command):
        pending_reply = PendingReply(self)
        self.pending_replies.append(pending_reply)
        self.requests.handle_command(pending_reply, command)

    def disconnect(self):
        """Do as a connection does that notices the end of its client."""
        self.is_closed = True
        pending, self.pending_replies = self.pending_replies, deque()
        for pending_reply in pending:
            pending_reply.is_abandoned = True
        for pending_reply in pending:
            if pending_reply.encoded_reply is None:
                self.requests.on_client_disconnected(pending_reply)

    def detect_disconnect(self):
        if self.is_gone and not self.is_closed:
            self.disconnect()

    def end_truncated(self):
        self.disconnect()

    def on_reply_completed(self, pending_reply):
        while self.pending_replies and self.pending_replies[0].encoded_reply is not None:
            self.pending_replies.popleft()

    def on_value_began(self):
        self.value_count += 1

    def on_value_ended(self):
        self.value_count -= 1

    def replies_behind(self, pending_reply):
        replies = list(self.pending_replies)
        return replies[replies.index(pending_reply) + 1 :]

    def replies_not_behind_a_value(self):
        replies = []
        for pending_reply in self.pending_replies:
            replies.append(pending_reply)
            if pending_reply.is_value_in_transfer:
                break
        return replies

    def on_overload(self):
        pass

    def write(self, data):
        pass


class ScriptedUpstream:
    """Pools of endpoints without sockets: an attempt waits for its connection, then for its answer."""

    def __init__(self, rng):
        self.rng = rng
        self.connecting, self.sent = [], []
        self.fails = False

    def send(self, attempt, timeout):
        if self.fails:
            raise RuntimeError("injected failure")
        self.connecting.append(attempt)

    def connect(self, attempt):
        """Write an attempt, unless it is not needed any more."""
        self.connecting.remove(attempt)
        if not attempt.make_payload(1.0):
            attempt.end("connect_failed")
        elif not attempt.result:
            attempt.connection = SimpleNamespace(is_written=True, resume_value=lambda: None)
            self.sent.append(attempt)

    def end(self, attempt, result):
        self.sent.remove(attempt)
        attempt.value = b"value"
        attempt.end(result)

    def abandon(self, attempt, result):
        if attempt.result:
            return
        for attempts in (self.connecting, self.sent):
            if attempt in attempts:
                attempts.remove(attempt)
        attempt.end("connect_failed" if attempt.connection is None else result)


class Play:
    """The components under test, and the steps that a seed draws among."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 1000.0
        engine_settings = settings(
            plans=[PLAN],
            gateway_count=self.rng.choice([1, 3]),
            classes={c.name: c for c in (READ, WRITE, NOTE)},
            limits={"can_cancel": self.rng.random() < 0.7, "can_hedge": self.rng.random() < 0.7},
            has_counter=False,
        )
        self.engine = DecisionEngine(engine_settings, seed, self.now)
        self.dispatcher = EventDispatcher(self.engine, lambda: self.now)
        active = SimpleNamespace(settings=engine_settings, config=SimpleNamespace(max_in_flight=500))
        self.upstream = ScriptedUpstream(self.rng)
        self.requests = InFlightRequests(
            active, self.dispatcher, self.upstream, lambda: True, ForwardedIds(None)
        )
        self.runner = AttemptRunner(self.requests, self.upstream, self.dispatcher)
        ignored = (api.AddToCounter, api.SetTimer, api.CheckHealth, api.CloseIdleConnections)
        ignored += (api.FetchEndpoints, api.WatchEndpoints, api.ResizeSubset, api.LogMessage)
        self.dispatcher.handlers = dict.fromkeys(ignored, lambda action: None) | {
            api.SendAttempt: self.runner.send,
            api.CancelAttempt: self.runner.cancel,
            api.RejectRequest: self.requests.reject,
            api.FailRequest: self.requests.fail,
            api.ClusterClockChanged: lambda action: None,
        }
        self.dispatcher.on_engine_failure = self.on_engine_failure
        self.engine_failures = []
        self.hosts = [f"h{number}" for number in range(self.rng.choice([1, 3]))]
        self.dispatcher.dispatch(api.EndpointList("full", 1, tuple(host(name) for name in self.hosts)))
        self.connections, self.request_count, self.version = [], 0, 1

    def on_engine_failure(self, event):
        self.engine_failures.append(event)

    def step(self):
        """Carry out one step that the seed draws."""
        steps = [self.burst] * 2 + [self.leave, self.leave_unnoticed, self.advance, self.change_list]
        steps += [self.connect] * 4 + [self.answer] * 4 + [self.begin_value, self.end_value] * 2
        steps += [self.timeout, self.fail_to_send]
        self.rng.choice(steps)()

    def burst(self):
        connection = self.some([c for c in self.connections if not (c.is_closed or c.value_count)])
        if connection is None or self.rng.random() < 0.4:
            connection = ScriptedConnection(self.requests)
            self.connections.append(connection)
        for _ in range(self.rng.choice([1, 2, 10, 40])):
            if connection.is_closed or connection.value_count:
                return
            self.request_count += 1
            connection.send(self.command())

    def command(self):
        name = b"r%d" % self.request_count
        service_class = self.rng.choice(["read", "write", "note"])
        spread = self.engine.settings.gateway_count
        terms = (
            f"c={service_class},t=p,d={DEADLINE_MS},k={self.request_count},units=1,spread={spread},first=0"
        )
        verb = b"API.READ" if service_class == "read" else b"API.WRITE"
        words = [verb, b"%016x" % self.rng.randrange(3), name, terms.encode()]
        return words if service_class == "read" else [*words, b"BODY"]

    def some(self, items):
        return self.rng.choice(items) if items else None

    def leave(self):
        if (connection := self.some([c for c in self.connections if not c.is_closed])) is not None:
            connection.disconnect()

    def leave_unnoticed(self):
        if (connection := self.some([c for c in self.connections if not c.is_closed])) is not None:
            connection.is_gone = True

    def advance(self):
        self.now += self.rng.choice([0.01, 0.1, 0.5, 2.0])
        self.dispatcher.dispatch(api.TimerFired(0))

    def change_list(self):
        self.version += 1
        name = self.rng.choice(self.hosts)
        state = self.rng.choice(["up", "up", "leaving", "down"])
        entry = host(name, state=state, started=self.rng.choice([0.0, self.now]))
        self.dispatcher.dispatch(api.EndpointList("delta", self.version, (entry,)))

    def connect(self):
        if (attempt := self.some(self.upstream.connecting)) is not None:
            self.upstream.connect(attempt)

    def answer(self):
        if (attempt := self.some([a for a in self.upstream.sent if a.value_sink is None])) is not None:
            self.upstream.end(attempt, "ok" if self.rng.random() < 0.7 else self.rng.choice(FAILURES))

    def begin_value(self):
        if (attempt := self.some([a for a in self.upstream.sent if a.value_sink is None])) is not None:
            if not attempt.on_value_begins(attempt, LARGE):
                self.upstream.abandon(attempt, "cancelled")
            elif not attempt.is_value_blocked() and self.rng.random() < 0.8:
                attempt.forward_chunk(b"v")

    def end_value(self):
        if (attempt := self.some([a for a in self.upstream.sent if a.value_sink is not None])) is None:
            return
        if self.rng.random() < 0.6 and not attempt.is_value_blocked():
            attempt.forward_chunk(b"\r\n")
            attempt.on_value_complete()
            self.upstream.abandon(attempt, "ok")
        else:
            self.upstream.abandon(attempt, "reset")

    def timeout(self):
        if (attempt := self.some(self.upstream.connecting + self.upstream.sent)) is not None:
            self.upstream.abandon(attempt, "timeout")

    def fail_to_send(self):
        self.upstream.fails = True
        self.burst()
        self.upstream.fails = False

    def real_attempts(self):
        return self.upstream.connecting + self.upstream.sent

    def counted_attempts(self):
        return [
            key for endpoint in self.engine.endpoint_pool.endpoints.values() for key in endpoint.in_flight
        ]

    def check(self):
        """Compare what the engine counts with what there is."""
        real = {(attempt.context[0].id, attempt.context[1]) for attempt in self.real_attempts()}
        counted = self.counted_attempts()
        assert set(counted) <= real  # the engine stops counting an overdue or streaming attempt early
        assert len(counted) == self.engine.endpoint_pool.in_flight
        assert not self.engine_failures

    def finish(self):
        """Let all clients leave and all attempts end."""
        for connection in self.connections:
            if not connection.is_closed:
                connection.disconnect()
        for attempt in list(self.real_attempts()):
            self.upstream.abandon(attempt, "timeout")


# Guards against places for attempts that are lost for good, until all is refused though hosts are idle.
@pytest.mark.parametrize("seed", SEEDS)
@on_loop
async def test_each_counted_attempt_ends_exactly_once(seed):
    play = Play(seed)
    for _ in range(STEPS):
        play.step()
        play.check()
    play.finish()
    play.check()
    assert play.engine.endpoint_pool.in_flight == 0 and not play.counted_attempts()
    assert not play.requests.in_flight and not play.engine.requests_in_flight
    assert play.requests.budget.reserved_bytes == 0
    assert all(connection.value_count == 0 or connection.is_closed for connection in play.connections)


# Guards against requests of a client that has left being sent in the places that its first requests leave.
@on_loop
async def test_no_place_that_a_client_leaves_goes_to_another_of_its_requests():
    play = Play(1)
    connection = ScriptedConnection(play.requests)
    for _ in range(40):
        play.request_count += 1
        connection.send([b"API.READ", b"%016x" % 1, b"r%d" % play.request_count, read_terms(play)])
    while play.upstream.connecting:
        play.upstream.connect(play.upstream.connecting[0])
    sent, began = [*play.upstream.sent], []
    send = play.upstream.send
    play.upstream.send = lambda attempt, timeout: (began.append(attempt), send(attempt, timeout))
    connection.disconnect()
    assert sent and not began
    assert play.engine.endpoint_pool.in_flight == len(play.real_attempts())


def read_terms(play):
    """Return the fields of a read."""
    return b"c=read,t=p,d=%d,units=1,spread=%d,first=0" % (DEADLINE_MS, play.engine.settings.gateway_count)
