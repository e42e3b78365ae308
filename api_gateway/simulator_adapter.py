"""Wire adapter: reads batches on standard input, hands events to one Gateway per instance, writes actions.

It translates only. Run as `python -m api_gateway.simulator_adapter`.
"""

from __future__ import annotations

import math
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from api_gateway import interface as api
from api_gateway.policy import DecisionEngine
from api_gateway.settings_parser import NANOSECONDS_PER_SECOND, flag, read_load_report, read_settings, seconds

STATE = {"U": "up", "L": "leaving", "D": "down"}
RESULT = {
    "GOOD": "ok",
    "BAD": "error",
    "FULL": "full",
    "LATE": "timeout",
    "NOCONN": "connect_failed",
    "RST": "reset",
    "CXL": "cancelled",
    "NOP": "moot",
}


# What follows a line's first word, by name.
Fields = dict[str, str]


class WireError(Exception):
    """A line that does not follow the wire.

    Attributes:
        instance: The instance that the line named, if any.
    """

    def __init__(self, text: str, instance: int | None = None) -> None:
        """Make the error with its text and the instance."""
        super().__init__(text)
        self.instance = instance


def _tree(pairs: Fields) -> dict[str, Any]:
    """Return the tree of settings that flat paths name."""
    root: dict[str, Any] = {}
    for path, value in pairs.items():
        branch = root
        *parents, leaf = path.split(".")
        for part in parents:
            branch = branch.setdefault(part, {})
            if not isinstance(branch, dict):
                raise WireError(f"setting {path} stands below a plain value")
        branch[leaf] = value
    return root


def _stats(fields: Fields) -> dict[str, float]:
    return read_load_report(
        pair.split(":", 1) for pair in fields.get("server_stats", "").split(",") if ":" in pair
    )


def _host(fields: Fields) -> api.Endpoint:
    return api.Endpoint(
        id=fields["host"],
        zone=fields.get("zone", ""),
        cell=int(fields.get("unit_group", 0)),
        weight=float(fields.get("heft", 1)),
        kind=fields.get("flavor", ""),
        state=STATE[fields["availability"]],
        started_at=seconds(fields.get("ready_at", "0")),
    )


def _work_item(fields: Fields) -> api.Request:
    marks = int(fields.get("marks", 0))
    return api.Request(
        request_id=fields["txn"],
        time_left=seconds(fields["patience_left"]),
        customer=fields["customer"],
        plan=fields["tier"],
        service_class=fields["type"],
        units=float(fields["cost_units"]),
        first_gateway=int(float(fields.get("first", 0))),
        gateway_spread=int(float(fields["n_entries"])),
        is_retry=bool(marks & 2),
        is_write=bool(marks & 4),
    )


def _outcome(fields: Fields) -> api.AttemptEnded:
    return api.AttemptEnded(
        request_id=fields["txn"],
        attempt=int(fields["attempt"]),
        endpoint_id=fields["host"],
        result=RESULT[fields["reason"]],
        elapsed=seconds(fields.get("time_taken", "0")),
        is_final=flag(fields, "terminal"),
        metered_use=int(float(fields.get("fleet_use", 0))),
        actual_units=float(fields.get("actual", 0)),
        load_report=_stats(fields),
    )


def _memo(fields: Fields) -> api.PeerMessage:
    return api.PeerMessage(sender=int(fields["from"]), data=bytes.fromhex(fields["octets"].strip("-")))


READERS: dict[str, Callable[[Fields], api.Event]] = {
    "WORK_ITEM": _work_item,
    "REPORT_BACK": _outcome,
    "ADDED": lambda fields: api.CounterReply(
        name=int(fields["entry_name"]),
        result=RESULT[fields["reason"]],
        total=float(fields.get("now_at", 0)),
        elapsed=seconds(fields.get("time_taken", "0")),
    ),
    "PING_RESULT": lambda fields: api.HealthCheckEnded(
        endpoint_id=fields["host"],
        result=RESULT[fields["reason"]],
        elapsed=seconds(fields.get("time_taken", "0")),
        load_report=_stats(fields),
    ),
    "DUE": lambda fields: api.TimerFired(label=int(fields["label"])),
    "BEGUN": lambda fields: api.ResponseStarted(
        request_id=fields["txn"],
        attempt=int(fields["attempt"]),
        endpoint_id=fields["host"],
        elapsed=seconds(fields.get("time_taken", "0")),
    ),
    "DROPPED": lambda fields: api.ClientDisconnected(request_id=fields["txn"]),
    "MEMO": _memo,
}


def _nanoseconds(seconds: float) -> int:
    return math.ceil(seconds * NANOSECONDS_PER_SECOND)


# Each takes the instance and the one type of action that it stands for, which a map cannot say.
WRITERS: dict[type[api.Action], Callable[[int, Any], str]] = {
    api.SendAttempt: lambda instance, action: (
        f"ASSIGN i={instance} txn={action.request_id} "
        f"timeout={_nanoseconds(action.timeout)} host={action.endpoint_id}"
    ),
    api.RejectRequest: lambda instance, action: (
        f"DECLINE i={instance} txn={action.request_id} hold_off={_nanoseconds(action.retry_after)}"
    ),
    api.FailRequest: lambda instance, action: f"DROP_REQUEST i={instance} txn={action.request_id}",
    api.CancelAttempt: lambda instance, action: (
        f"REVOKE i={instance} txn={action.request_id} attempt={action.attempt}"
    ),
    api.AddToCounter: lambda instance, action: (
        f"CHARGE_COUNTER i={instance} entry_name={action.name} by={action.amount:.7g} "
        f"forget_after={_nanoseconds(action.lifetime)}"
    ),
    api.SetTimer: lambda instance, action: (
        f"AFTER i={instance} sleep_for={_nanoseconds(action.delay)} label={action.label}"
    ),
    api.CheckHealth: lambda instance, action: f"TOUCH i={instance} host={action.endpoint_id}",
    api.CloseIdleConnections: lambda instance, action: f"RELEASE i={instance} host={action.endpoint_id}",
    api.FetchEndpoints: lambda instance, action: f"PULL i={instance}",
    api.WatchEndpoints: lambda instance, action: f"WATCH i={instance} active={int(action.enabled)}",
    # Lists on this wire are complete, and its clock needs no agreement: both are remarks only.
    api.ResizeSubset: lambda instance, action: (
        f"REMARK i={instance} words=a view of {action.endpoint_count} hosts is wanted"
    ),
    api.ClusterClockChanged: lambda instance, action: (
        f"REMARK i={instance} words=synchronizing: {action.synchronizing}"
    ),
    api.LogMessage: lambda instance, action: f"REMARK i={instance} words={action.text}",
}


def _fields(parts: list[str]) -> Fields:
    fields: Fields = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals:
            raise WireError(f"{part!r} is not name=value")
        fields[name] = value
    return fields


class Adapter:
    """Speaks the wire for all instances of one simulation.

    Attributes:
        gateways: The decision module of each instance.
        line: The line that was read last.
        line_number: Its number, from 1.
    """

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        """Speak on two text streams, which the caller owns."""
        self.source = source
        self.sink = sink
        self.line_number = 0
        self.line = ""
        self.gateways: dict[int, DecisionEngine] = {}

    def run(self) -> int:
        """Answer batches until the input ends; return the exit status."""
        try:
            while self._answer_batch():
                pass
        except WireError as err:
            print(f"api_gateway: line {self.line_number}: {err}: {self.line[:200]}", file=sys.stderr)
            return 1
        return 0

    def _answer_batch(self) -> bool:
        """Answer one batch; return False at the end of the input."""
        line = self._read_line()
        while line == "":
            line = self._read_line()
        if line is None:
            return False
        replies: list[str] = []
        try:
            now = _read_round(line)
            while (line := self._read_line()) != "GO":
                if line is None:
                    raise WireError("input ended inside a batch")
                if line:
                    self._handle_line(now, replies)
        except WireError as err:
            if err.instance is not None:
                replies.append(f"INTERNAL_ERROR i={err.instance} words=line {self.line_number}: {err}")
                self._write(replies)
            raise
        self._write(replies)
        return True

    def _handle_line(self, now: float, replies: list[str]) -> None:
        """Handle the event of the last line."""
        word, *parts = self.line.split(" ")
        instance: int | None = None
        try:
            fields = _fields(parts)
            instance = int(fields["i"])
            if word == "DETACH":
                self.gateways.pop(instance, None)
                return
            read = self._read_instance if word == "PROVISION" else self._read_event
            act = read(instance, word, fields, now)
        except WireError as err:
            raise WireError(str(err), instance) from err
        except KeyError as err:
            raise WireError(f"missing or unknown {err}", instance) from err
        except ValueError as err:
            raise WireError(str(err), instance) from err
        try:
            replies.extend(act())
        except Exception as err:  # the wire's own way to say that the decision code failed
            traceback.print_exc(file=sys.stderr)
            words = " ".join(f"{type(err).__name__}: {err}".split())
            replies.append(f"INTERNAL_ERROR i={instance} words={words}")

    def _read_instance(
        self, instance: int, word: str, fields: Fields, now: float
    ) -> Callable[[], Iterable[str]]:
        """Read the settings of a new instance; return what makes its decision module."""
        seed = int(fields["nonce64"])
        settings = read_settings(
            _tree({name: value for name, value in fields.items() if name not in ("i", "nonce64")})
        )

        def make() -> Iterable[str]:
            self.gateways[instance] = DecisionEngine(settings, seed, now)
            return ()

        return make

    def _read_event(
        self, instance: int, word: str, fields: Fields, now: float
    ) -> Callable[[], Iterable[str]]:
        """Read an event; return what hands it to its decision module and gives the lines to answer."""
        if word == "TARGETS":
            event: api.Event = api.EndpointList(
                mode=fields["mode"],
                version=int(fields.get("index", 0)),
                endpoints=self._read_endpoints(int(fields.get("rows_in", 0))),
            )
        elif word in READERS:
            event = READERS[word](fields)
        else:
            raise WireError(f"unknown event {word!r}")
        if instance not in self.gateways:
            raise WireError(f"instance {instance} has not been set up")

        def handle() -> Iterable[str]:
            actions = self.gateways[instance].handle(now, event)
            return (WRITERS[type(action)](instance, action) for action in actions)

        return handle

    def _read_endpoints(self, count: int) -> tuple[api.Endpoint, ...]:
        endpoints = []
        for _ in range(count):
            line = self._read_line() or ""
            word, *parts = line.split(" ")
            if word != "HOST":
                raise WireError(f"expected HOST, found {word!r}")
            endpoints.append(_host(_fields(parts)))
        return tuple(endpoints)

    def _read_line(self) -> str | None:
        line = self.source.readline()
        if not line:
            return None
        self.line_number += 1
        self.line = line.rstrip("\r\n")
        return self.line

    def _write(self, replies: list[str]) -> None:
        replies.append("ACK\n")
        self.sink.write("\n".join(replies))
        self.sink.flush()


def _read_round(line: str) -> float:
    """Return the time of a batch, in seconds, from its first line."""
    word, *parts = line.split(" ")
    if word != "ROUND":
        raise WireError(f"expected ROUND, found {word!r}")
    try:
        return seconds(_fields(parts)["at_time"])
    except (KeyError, ValueError) as err:
        raise WireError(f"bad clock: {err}") from err


def main() -> int:
    """Speak the wire on standard input and output; return the exit status."""
    for stream in (sys.stdin, sys.stdout):
        stream.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return Adapter(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
