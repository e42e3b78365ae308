"""A real gateway whose requests are stamped on their way: `python -m api_gateway.experiments.scale.stamped`.

It runs the gateway's own program with functions of it wrapped, so nothing of this is in the gateway. Started
as that one is, with STAMPS naming the file that it leaves at its end. Each request is in one part at any
moment, so its parts sum to its whole. A stamp is in s of the machine's monotonic clock.
"""

from __future__ import annotations

import gc
import json
import os
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from time import monotonic
from typing import Any

from api_gateway import interface as api
from api_gateway.downstream.client_connection import ClientConnection as Client
from api_gateway.gateway import __main__ as program
from api_gateway.gateway.attempt_runner import AttemptRunner
from api_gateway.gateway.in_flight import InFlightRequests
from api_gateway.gateway.node import GatewayNode
from api_gateway.upstream.connect_limits import SharedPool
from api_gateway.upstream.connection import Connection
from api_gateway.upstream.pool import Pool

# In this order: for its turn among clients, reading it, the module, for a lease or an open attempt, for a
# host that is free, sending, for a connection to settle, for a connect, at the host, at hosts that failed it,
# reading and passing on the answer.
PARTS = ("turn", "read", "module", "lease", "queue", "send", "settle", "connect", "host", "again", "answer")
WAITS = {"units": "lease", "slot": "lease", "queue": "queue"}  # by the stage of the module's job


class Trace:
    """One request: the part it is in, since when, and what it has spent in each."""

    __slots__ = ("began", "since", "part", "spent", "written", "heard")

    def __init__(self, began: float) -> None:
        self.began = self.since = began
        self.part, self.spent = PARTS[0], dict.fromkeys(PARTS, 0.0)
        self.written = self.heard = began  # when its last attempt went out; when the first bytes came back

    def at(self, part: str, now: float) -> None:
        """It is in another part from now on. A moment before the last one counts as that one."""
        now = max(now, self.since)
        self.spent[self.part] += now - self.since
        self.part, self.since = part, now

    def failed(self, now: float) -> None:
        """What was spent at this host was for nothing; the wait for its connection stays what it was."""
        self.at("again", now)
        for part in ("host", "answer"):
            self.spent["again"] += self.spent[part]
            self.spent[part] = 0.0

    def row(self) -> tuple[float, ...]:
        """What is kept of it: a tuple of numbers, which collections of garbage do not look at."""
        return self.began, self.written, self.heard, self.since, *self.spent.values()


class Stamps:
    """What was stamped: requests that got an answer, by id; pauses for garbage: start, s and generation."""

    def __init__(self) -> None:
        self.open, self.done = dict[str, Trace](), dict[str, tuple[float, ...]]()
        self.pauses = list[tuple[float, float, int]]()
        self.taking: Trace | None = None  # of the command that is being read
        self.paused_at = 0.0

    def collects(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self.paused_at = monotonic()
        else:
            self.pauses.append((self.paused_at, monotonic() - self.paused_at, info["generation"]))

    def of(self, attempt: Any) -> Trace | None:
        """Of the request that an attempt is for; none for a probe."""
        return (
            self.open.get(attempt.context[0].id)
            if attempt is not None and isinstance(attempt.context, tuple)
            else None
        )

    # The way in

    def heard(self, act: Callable[..., None], client: Any, data: bytes) -> None:
        client.stamp = monotonic()
        act(client, data)

    def take(self, act: Callable[..., None], node: Any, slot: Any, command: Any) -> None:
        self.taking = Trace(slot.connection.stamp)
        self.taking.at("read", monotonic())
        act(node, slot, command)

    def read(self, act: Callable[..., Any], node: Any, *args: Any) -> Any:
        request = act(node, *args)
        if self.taking is not None and request.request_id not in node.in_flight:
            self.open[request.request_id] = self.taking
        return request

    # The module

    def made(self, act: Callable[..., None], node: Any, *args: Any) -> None:
        act(node, *args)
        handle, enqueue, jobs = (
            node.engine.handle,
            node.engine.load_shedder.enqueue,
            node.engine.requests_in_flight,
        )

        def handled(now: float, event: api.Event) -> list[api.Action]:
            began = monotonic()
            asked = event.request_id if isinstance(event, api.Request) else None
            trace = self.open.get(asked) if asked is not None else None
            if trace is not None:
                trace.at("module", began)
            actions = handle(now, event)
            ended = monotonic()
            for action in actions:
                if isinstance(action, api.SendAttempt | api.RejectRequest | api.FailRequest):
                    self.decided(action, began, ended)
            if trace is not None and trace.part == "module" and asked in jobs:
                trace.at(WAITS[jobs[asked].stage], ended)
            return actions

        def enqueued(now: float, job: Any) -> None:
            trace = self.open.get(job.request.request_id)
            if trace is not None and trace.part == "lease":
                trace.at("queue", monotonic())
            enqueue(now, job)

        node.engine.handle, node.engine.load_shedder.enqueue = handled, enqueued

    def decided(
        self, action: api.SendAttempt | api.RejectRequest | api.FailRequest, began: float, ended: float
    ) -> None:
        if (trace := self.open.get(action.request_id)) is not None:
            trace.at("module", began)
            trace.at("send" if isinstance(action, api.SendAttempt) else "answer", ended)

    # Connections to hosts

    def start(self, act: Callable[..., None], pool: Any, attempt: Any) -> None:
        act(pool, attempt)
        trace = self.of(attempt)
        if trace is not None and trace.part == "send" and not attempt.result:
            trace.at("settle" if attempt in pool.settling else "connect", monotonic())

    def start_new(self, act: Callable[..., None], pool: Any, attempt: Any) -> None:
        if (trace := self.of(attempt)) is not None:
            trace.at("connect", monotonic())
        act(pool, attempt)

    def goes_out(self, act: Callable[..., bool], conn: Any, attempt: Any) -> bool:
        trace = self.of(attempt)
        if trace is not None:
            trace.at("send", monotonic())
        went = act(conn, attempt)
        if trace is not None and went:
            trace.written = monotonic()
            trace.at("host", trace.written)
        return went

    def answered(self, act: Callable[..., None], conn: Any, data: bytes) -> None:
        trace = self.of(conn.attempt)
        if trace is not None and trace.part == "host":
            trace.heard = monotonic()
            trace.at("answer", trace.heard)
        act(conn, data)

    # The way back

    def attempted(self, act: Callable[..., None], node: Any, attempt: Any) -> None:
        trace = self.of(attempt)
        if trace is not None and attempt.result != "ok":
            trace.failed(monotonic())
        act(node, attempt)

    def finish(self, act: Callable[..., None], node: Any, work: Any, answer: bytes) -> None:
        trace = self.open.pop(work.id, None)
        if trace is not None:
            trace.at("answer", monotonic())
        act(node, work, answer)
        if trace is not None and answer:
            trace.at("answer", monotonic())
            self.done[work.id] = trace.row()

    def hooks(self) -> list[tuple[type, str, Callable[..., Any]]]:
        return [
            (Client, "data_received", self.heard),
            (InFlightRequests, "admit", self.take),
            (InFlightRequests, "parse", self.read),
            (GatewayNode, "__init__", self.made),
            (Pool, "start", self.start),
            (SharedPool, "start", self.start),
            (Pool, "start_new", self.start_new),
            (Connection, "start", self.goes_out),
            (Connection, "data_received", self.answered),
            (AttemptRunner, "on_attempt_ended", self.attempted),
            (InFlightRequests, "finish", self.finish),
        ]

    def told(self) -> dict[str, Any]:
        return {"requests": {name: self.told_of(name) for name in self.done}, "pauses": self.pauses}

    def told_of(self, name: str) -> dict[str, Any]:
        began, written, heard, ended, *spent = self.done[name]
        return {
            "began": began,
            "written": written,
            "heard": heard,
            "ended": ended,
            "spent": dict(zip(PARTS, spent, strict=True)),
        }


def wrapped(act: Callable[..., Any], hook: Callable[..., Any]) -> Callable[..., Any]:
    return lambda *args, **more: hook(act, *args, **more)


@contextmanager
def watching() -> Iterator[Stamps]:
    """Gateways that are made within are stamped."""
    stamps = Stamps()
    hooks = [(owner, name, owner.__dict__[name], hook) for owner, name, hook in stamps.hooks()]
    gc.callbacks.append(stamps.collects)
    try:
        for owner, name, act, hook in hooks:
            setattr(owner, name, wrapped(act, hook))
        yield stamps
    finally:
        gc.callbacks.remove(stamps.collects)
        for owner, name, act, _ in hooks:
            setattr(owner, name, act)


def main() -> int:
    with watching() as stamps:
        status = program.main()
    Path(os.environ["STAMPS"]).write_text(json.dumps(stamps.told()))
    return status


if __name__ == "__main__":
    sys.exit(main())
