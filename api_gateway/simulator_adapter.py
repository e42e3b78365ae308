"""Simulator adapter: reads event batches from standard input and writes actions to standard output.

Each simulated instance has its own DecisionEngine. The adapter only translates between the simulator's
protocol and the interface types. Run as `python -m api_gateway.simulator_adapter`.
"""

from __future__ import annotations

import math
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from api_gateway import interface as api
from api_gateway.policy import DecisionEngine
from api_gateway.settings_parser import (
    NANOSECONDS_PER_SECOND,
    read_flag,
    read_load_report,
    read_seconds,
    read_settings,
)

STATE_BY_AVAILABILITY = {"U": "up", "L": "leaving", "D": "down"}
RESULT_BY_REASON = {
    "GOOD": "ok",
    "BAD": "error",
    "FULL": "full",
    "LATE": "timeout",
    "NOCONN": "connect_failed",
    "RST": "reset",
    "CXL": "cancelled",
    "NOP": "moot",
}


# The name=value parts that follow the first word of a line, by name.
Fields = dict[str, str]


class WireError(Exception):
    """A line violates the simulator's protocol.

    Attributes:
        instance: The instance named by the line, or None.
    """

    def __init__(self, text: str, instance: int | None = None) -> None:
        """Create the error from its text and the instance."""
        super().__init__(text)
        self.instance = instance


def _build_settings_tree(pairs: Fields) -> dict[str, Any]:
    """Convert settings with dotted paths to a nested tree."""
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


def _read_server_stats(fields: Fields) -> dict[str, float]:
    return read_load_report(
        pair.split(":", 1) for pair in fields.get("server_stats", "").split(",") if ":" in pair
    )


def _read_endpoint(fields: Fields) -> api.Endpoint:
    return api.Endpoint(
        id=fields["host"],
        zone=fields.get("zone", ""),
        cell=int(fields.get("unit_group", 0)),
        weight=float(fields.get("heft", 1)),
        kind=fields.get("flavor", ""),
        state=STATE_BY_AVAILABILITY[fields["availability"]],
        started_at=read_seconds(fields.get("ready_at", "0")),
    )


def _read_request(fields: Fields) -> api.Request:
    flags = int(fields.get("marks", 0))
    return api.Request(
        request_id=fields["txn"],
        time_left=read_seconds(fields["patience_left"]),
        customer=fields["customer"],
        plan=fields["tier"],
        service_class=fields["type"],
        units=float(fields["cost_units"]),
        first_gateway=int(float(fields.get("first", 0))),
        gateway_spread=int(float(fields["n_entries"])),
        is_retry=bool(flags & 2),
        is_write=bool(flags & 4),
    )


def _read_attempt_ended(fields: Fields) -> api.AttemptEnded:
    return api.AttemptEnded(
        request_id=fields["txn"],
        attempt=int(fields["attempt"]),
        endpoint_id=fields["host"],
        result=RESULT_BY_REASON[fields["reason"]],
        elapsed=read_seconds(fields.get("time_taken", "0")),
        is_final=read_flag(fields, "terminal"),
        metered_use=int(float(fields.get("fleet_use", 0))),
        actual_units=float(fields.get("actual", 0)),
        load_report=_read_server_stats(fields),
    )


def _read_peer_message(fields: Fields) -> api.PeerMessage:
    return api.PeerMessage(sender=int(fields["from"]), data=bytes.fromhex(fields["octets"].strip("-")))


EVENT_READERS: dict[str, Callable[[Fields], api.Event]] = {
    "WORK_ITEM": _read_request,
    "REPORT_BACK": _read_attempt_ended,
    "ADDED": lambda fields: api.CounterReply(
        name=int(fields["entry_name"]),
        result=RESULT_BY_REASON[fields["reason"]],
        total=float(fields.get("now_at", 0)),
        elapsed=read_seconds(fields.get("time_taken", "0")),
    ),
    "PING_RESULT": lambda fields: api.HealthCheckEnded(
        endpoint_id=fields["host"],
        result=RESULT_BY_REASON[fields["reason"]],
        elapsed=read_seconds(fields.get("time_taken", "0")),
        load_report=_read_server_stats(fields),
    ),
    "DUE": lambda fields: api.TimerFired(label=int(fields["label"])),
    "BEGUN": lambda fields: api.ResponseStarted(
        request_id=fields["txn"],
        attempt=int(fields["attempt"]),
        endpoint_id=fields["host"],
        elapsed=read_seconds(fields.get("time_taken", "0")),
    ),
    "DROPPED": lambda fields: api.ClientDisconnected(request_id=fields["txn"]),
    "MEMO": _read_peer_message,
}


def _to_nanoseconds(seconds: float) -> int:
    return math.ceil(seconds * NANOSECONDS_PER_SECOND)


# Each function takes an instance and an action of its key's type. The dict type cannot express that relation,
# hence Any.
ACTION_WRITERS: dict[type[api.Action], Callable[[int, Any], str]] = {
    api.SendAttempt: lambda instance, action: (
        f"ASSIGN i={instance} txn={action.request_id} "
        f"timeout={_to_nanoseconds(action.timeout)} host={action.endpoint_id}"
    ),
    api.RejectRequest: lambda instance, action: (
        f"DECLINE i={instance} txn={action.request_id} hold_off={_to_nanoseconds(action.retry_after)}"
    ),
    api.FailRequest: lambda instance, action: f"DROP_REQUEST i={instance} txn={action.request_id}",
    api.CancelAttempt: lambda instance, action: (
        f"REVOKE i={instance} txn={action.request_id} attempt={action.attempt}"
    ),
    api.AddToCounter: lambda instance, action: (
        f"CHARGE_COUNTER i={instance} entry_name={action.name} by={action.amount:.7g} "
        f"forget_after={_to_nanoseconds(action.lifetime)}"
    ),
    api.SetTimer: lambda instance, action: (
        f"AFTER i={instance} sleep_for={_to_nanoseconds(action.delay)} label={action.label}"
    ),
    api.CheckHealth: lambda instance, action: f"TOUCH i={instance} host={action.endpoint_id}",
    api.CloseIdleConnections: lambda instance, action: f"RELEASE i={instance} host={action.endpoint_id}",
    api.FetchEndpoints: lambda instance, action: f"PULL i={instance}",
    api.WatchEndpoints: lambda instance, action: f"WATCH i={instance} active={int(action.enabled)}",
    # The simulator sends complete lists and its clock needs no synchronization, so both are sent as remarks.
    api.ResizeSubset: lambda instance, action: (
        f"REMARK i={instance} words=a view of {action.endpoint_count} hosts is wanted"
    ),
    api.ClusterClockChanged: lambda instance, action: (
        f"REMARK i={instance} words=synchronizing: {action.synchronizing}"
    ),
    api.LogMessage: lambda instance, action: f"REMARK i={instance} words={action.text}",
}


def _parse_fields(parts: list[str]) -> Fields:
    fields: Fields = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals:
            raise WireError(f"{part!r} is not name=value")
        fields[name] = value
    return fields


class Adapter:
    """Serves all instances of one simulation over the simulator's protocol.

    Attributes:
        engines: The decision engine of each instance.
        line: The last line read.
        line_number: The number of that line, from 1.
    """

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        """Use two text streams, which the caller opens and closes."""
        self.source = source
        self.sink = sink
        self.line_number = 0
        self.line = ""
        self.engines: dict[int, DecisionEngine] = {}

    def run(self) -> int:
        """Answer batches until the end of the input and return the exit status."""
        try:
            while self._answer_batch():
                pass
        except WireError as error:
            print(f"api_gateway: line {self.line_number}: {error}: {self.line[:200]}", file=sys.stderr)
            return 1
        return 0

    def _answer_batch(self) -> bool:
        """Answer one batch, and return False at the end of the input."""
        line = self._read_line()
        while line == "":
            line = self._read_line()
        if line is None:
            return False
        replies: list[str] = []
        try:
            now = _read_batch_time(line)
            while (line := self._read_line()) != "GO":
                if line is None:
                    raise WireError("input ended inside a batch")
                if line:
                    self._handle_line(now, replies)
        except WireError as error:
            if error.instance is not None:
                replies.append(f"INTERNAL_ERROR i={error.instance} words=line {self.line_number}: {error}")
                self._write(replies)
            raise
        self._write(replies)
        return True

    def _handle_line(self, now: float, replies: list[str]) -> None:
        """Handle the event in the last line read."""
        command, *parts = self.line.split(" ")
        instance: int | None = None
        try:
            fields = _parse_fields(parts)
            instance = int(fields["i"])
            if command == "DETACH":
                self.engines.pop(instance, None)
                return
            read = self._read_instance if command == "PROVISION" else self._read_event
            handle = read(instance, command, fields, now)
        except WireError as error:
            raise WireError(str(error), instance) from error
        except KeyError as error:
            raise WireError(f"missing or unknown {error}", instance) from error
        except ValueError as error:
            raise WireError(str(error), instance) from error
        try:
            replies.extend(handle())
        except Exception as error:  # the protocol reports a failure of the decision code as INTERNAL_ERROR
            traceback.print_exc(file=sys.stderr)
            error_text = " ".join(f"{type(error).__name__}: {error}".split())
            replies.append(f"INTERNAL_ERROR i={instance} words={error_text}")

    def _read_instance(
        self, instance: int, command: str, fields: Fields, now: float
    ) -> Callable[[], Iterable[str]]:
        """Read the settings of a new instance and return a function that creates its decision engine."""
        seed = int(fields["nonce64"])
        settings = read_settings(
            _build_settings_tree(
                {name: value for name, value in fields.items() if name not in ("i", "nonce64")}
            )
        )

        def create_engine() -> Iterable[str]:
            self.engines[instance] = DecisionEngine(settings, seed, now)
            return ()

        return create_engine

    def _read_event(
        self, instance: int, command: str, fields: Fields, now: float
    ) -> Callable[[], Iterable[str]]:
        """Read an event and return a function that handles it and returns the reply lines."""
        if command == "TARGETS":
            event: api.Event = api.EndpointList(
                mode=fields["mode"],
                version=int(fields.get("index", 0)),
                endpoints=self._read_endpoints(int(fields.get("rows_in", 0))),
            )
        elif command in EVENT_READERS:
            event = EVENT_READERS[command](fields)
        else:
            raise WireError(f"unknown event {command!r}")
        if instance not in self.engines:
            raise WireError(f"instance {instance} has not been set up")

        def handle_event() -> Iterable[str]:
            actions = self.engines[instance].handle(now, event)
            return (ACTION_WRITERS[type(action)](instance, action) for action in actions)

        return handle_event

    def _read_endpoints(self, count: int) -> tuple[api.Endpoint, ...]:
        endpoints = []
        for _ in range(count):
            line = self._read_line() or ""
            row_type, *parts = line.split(" ")
            if row_type != "HOST":
                raise WireError(f"expected HOST, found {row_type!r}")
            endpoints.append(_read_endpoint(_parse_fields(parts)))
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


def _read_batch_time(line: str) -> float:
    """Return the time of a batch in seconds, taken from its first line."""
    command, *parts = line.split(" ")
    if command != "ROUND":
        raise WireError(f"expected ROUND, found {command!r}")
    try:
        return read_seconds(_parse_fields(parts)["at_time"])
    except (KeyError, ValueError) as error:
        raise WireError(f"invalid round time: {error}") from error


def main() -> int:
    """Serve the simulator on standard input and output, and return the exit status."""
    for stream in (sys.stdin, sys.stdout):
        stream.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return Adapter(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
