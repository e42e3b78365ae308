"""Clients' requests: what a command must be, and a request from its command to its final answer."""

from __future__ import annotations

import asyncio
import re

from api_gateway import interface as api
from api_gateway.downstream.pending_reply import Slot
from api_gateway.upstream.attempt import Attempt

RESERVED = 0.03  # s before the client gives up by which the module is to be done
LONGEST_WAIT = 3600.0  # s; a client that says it will wait for longer is in error
CUSTOMERS = 2**33  # customers are numbers below it

PLAIN_NUMBER = re.compile(rb"(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?").fullmatch
CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}").fullmatch


class BadRequest(Exception):
    """Why a command cannot be taken."""


class InFlightRequest:
    """A request that was taken: where its answer goes, what goes to hosts, and what is out for it.

    `deadline` is by the monotonic clock, in seconds. `limits` are those of the settings that it began under.
    """

    __slots__ = (
        "id",
        "slot",
        "command",
        "deadline",
        "limits",
        "guard",
        "sends",
        "live",
        "finished",
        "stream",
    )

    def __init__(
        self, id: str, slot: Slot, command: list[bytes], deadline: float, limits: api.Limits
    ) -> None:
        self.id, self.slot, self.command, self.deadline = id, slot, command, deadline
        self.limits = limits
        self.guard: asyncio.TimerHandle | None = None  # fails it where nothing else does
        self.sends = 0  # attempts so far
        self.live: dict[int, Attempt] = {}  # attempts that are out, by number
        self.finished = False  # whether it has its final answer
        self.stream: Attempt | None = None  # whose value goes to the client in pieces

    @property
    def body(self) -> bytearray | None:
        """A large one, which has a place in the budget."""
        return self.command[-1] if type(self.command[-1]) is bytearray else None

    def payload(self, left: float) -> bytes:
        """The command as the client sent it, but for `d`: this attempt is waited for `left` seconds.
        A large body follows by itself, so that no copy of it is made."""
        terms = self.command[3]
        start = (b"," + terms).index(b",d=") + 2
        end = terms.find(b",", start)
        told = b"%s%d%s" % (terms[:start], max(1, int(left * 1000)), terms[end:] if end >= 0 else b"")
        parts = [*self.command[:3], told, *self.command[4:]]
        if self.body is not None:
            return b"*5\r\n%s$%d\r\n" % (b"".join([bulk(part) for part in parts[:4]]), len(parts[4]))
        return b"*%d\r\n%s" % (len(parts), b"".join([bulk(part) for part in parts]))


def bulk(data: bytes) -> bytes:
    """A bulk string of RESP2."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


def read_request(command: object, settings: api.Settings, waited: float) -> api.Request:
    """The request that a command makes; `waited`: seconds since its bytes came. Raises BadRequest."""
    if not isinstance(command, list) or {type(part) for part in command} - {bytes, bytearray}:
        raise BadRequest("not an array of bulk strings")
    verb = command[0] if command else b""
    write = verb == b"API.WRITE"
    if not write and verb != b"API.READ":
        raise BadRequest("unknown command")
    if len(command) != 4 + write:
        raise BadRequest("wrong number of arguments")
    _, customer, name, terms = command[:4]
    try:
        fields = dict(term.split(b"=", 1) for term in terms.split(b","))
        cls = settings.classes.get(fields[b"c"].decode())
        plan = fields[b"t"].decode()
        whole = fields[b"d"], fields[b"spread"], fields[b"first"]
        milliseconds, spread, first = map(int, whole)
        units = float(fields[b"units"])
        if not b"".join(whole).isdigit() or not PLAIN_NUMBER(fields[b"units"]):  # int() takes +1 and 1_0, too
            raise ValueError("no plain number")
        if not CUSTOMER(customer) or int(customer, 16) >= CUSTOMERS or not name:
            raise ValueError("customer or id")
        if len(fields) != terms.count(b",") + 1:  # hosts would get both
            raise ValueError("a field that stands twice")
    except (KeyError, ValueError, OverflowError) as err:
        raise BadRequest("missing or odd field") from err
    if cls is None or plan not in settings.plans:
        raise BadRequest("unknown class or plan")
    if write == (cls.idempotency == "safe") or (cls.idempotency == "keyed" and not fields.get(b"k")):
        raise BadRequest("class does not go with this command")
    # The module weighs a request by its units against the mean of all: one of 1e12 spoils that for long.
    in_range = 0 < units <= settings.max_units and milliseconds <= 1000 * LONGEST_WAIT
    if not in_range or not 1 <= spread <= settings.gateway_count or first >= settings.gateway_count:
        raise BadRequest("field out of range")
    return api.Request(
        request_id=name.decode("latin-1"),
        time_left=milliseconds / 1000 - RESERVED - waited,
        customer=customer.decode(),
        plan=plan,
        service_class=cls.name,
        units=units,
        first_gateway=first,
        gateway_spread=spread,
        is_retry=fields.get(b"r") == b"1",
        is_write=write,
    )
