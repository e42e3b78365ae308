"""Encode and decode the datagrams that the members of a cluster exchange.

A datagram is one JSON object: `c` the cluster, `f` and `a` the sender's name and address, `k` the kind of the
message, `s` its sequence number, `r` rows of what the sender knows of members. A probe names its `target`;
`w` marks the rows of a full state exchange. The order of the keys is part of the wire form.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, ClassVar, Literal

from api_gateway.membership.errors import MalformedDatagramError, OtherClusterError

MAX_DATAGRAM_BYTES = 1200  # below the smallest common MTU, so that no datagram is fragmented
HEADER_RESERVE_BYTES = 200  # of them kept free for everything but the rows
MAX_METADATA_BYTES = 256  # of the JSON text of what a member publishes of itself
MAX_NAME_CHARACTERS = 128  # of the name of a member
MAX_ACCUSERS = 4  # names sent along with one suspect
INCARNATION_BOUND = 2**62  # above any clock in milliseconds, and still a number of 64 bits
PORT_BOUND = 65536  # ports are below it

MemberState = Literal["alive", "suspect", "dead", "left"]
Address = tuple[str, int]

ALIVE: Literal["alive"] = "alive"
SUSPECT: Literal["suspect"] = "suspect"
DEAD: Literal["dead"] = "dead"
LEFT: Literal["left"] = "left"
PRESENT_STATES = (ALIVE, SUSPECT)
STATE_CODES: dict[MemberState, int] = {
    ALIVE: 0,
    SUSPECT: 1,
    DEAD: 2,
    LEFT: 3,
}  # code of each state on the wire
STATE_BY_CODE: dict[int, MemberState] = {code: state for state, code in STATE_CODES.items()}


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What a datagram says of one member.

    Attributes:
        name: The member's name, unique in its cluster.
        address: Where the member is reached.
        incarnation: The member's own version of its state; the higher one counts.
        state: What the sender holds it for.
        metadata: What the member publishes of itself.
        accusers: Members whose own probes it did not answer.
    """

    name: str
    address: Address
    incarnation: int
    state: MemberState
    metadata: dict[str, str]
    accusers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Ping:
    """A probe. `target` names the member that is meant, since another process may have its address by now."""

    kind: ClassVar[str] = "ping"
    sequence: int
    target: str | None


@dataclass(frozen=True, slots=True)
class Ack:
    """The answer to a probe, or to a request to probe, by its sequence number."""

    kind: ClassVar[str] = "ack"
    sequence: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """A request to probe `target` on behalf of the sender."""

    kind: ClassVar[str] = "ask"
    sequence: int
    target: str


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """The first datagram of a full state exchange; the receiver answers with its own full state."""

    kind: ClassVar[str] = "sync"
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """Updates that expect no answer."""

    kind: ClassVar[str] = "more"
    sequence: int = 0


Message = Ping | Ack | PingRequest | SyncRequest | StateUpdate


@dataclass(frozen=True, slots=True)
class Datagram:
    """A message with its sender and the updates that go along.

    Attributes:
        sender: Name of the member that sent it.
        sender_address: Where that member is reached; answers go there.
        message: What is said or asked.
        updates: What the sender knows of members.
        is_full_state: Whether the updates are part of a full state exchange.
    """

    sender: str
    sender_address: Address
    message: Message
    updates: tuple[MemberUpdate, ...] = ()
    is_full_state: bool = False


def encode_update(update: MemberUpdate) -> list[Any]:
    """Return the row of a datagram for one member; accusers are left out where there are none."""
    host, port = update.address
    row: list[Any] = [update.name, host, port, update.incarnation, STATE_CODES[update.state], update.metadata]
    if update.accusers:
        row.append(update.accusers)
    return row


def update_size(update: MemberUpdate) -> int:
    """Return the bytes to count for an update: its JSON text with spaces, a little more than is sent."""
    return len(json.dumps(encode_update(update)))


def encode_datagram(cluster: str, datagram: Datagram) -> bytes:
    """Return the bytes of a datagram to a member of `cluster`."""
    message = datagram.message
    document: dict[str, Any] = {
        "c": cluster,
        "f": datagram.sender,
        "a": datagram.sender_address,
        "k": message.kind,
        "s": message.sequence,
        "r": [encode_update(update) for update in datagram.updates],
    }
    if isinstance(message, Ping | PingRequest) and message.target is not None:
        document["target"] = message.target
    if datagram.is_full_state:
        document["w"] = 1
    return json.dumps(document, separators=(",", ":")).encode()


def decode_datagram(cluster: str, source: Address, data: bytes) -> Datagram:
    """Parse a datagram.

    Args:
        cluster: The cluster that it must belong to.
        source: Where it came from; stands for the sender's address where it names none.
        data: Its bytes.

    Returns:
        The datagram; unknown keys are ignored.

    Raises:
        DatagramError: It belongs to another cluster, or is truncated or malformed.
    """
    try:
        document = json.loads(data)
        if document["c"] != cluster:
            raise OtherClusterError(cluster)
        message = _decode_message(document)
        if not isinstance(document["r"], list):
            raise MalformedDatagramError("rows are no list")
        updates = tuple(_decode_update(row) for row in document["r"])
        host, port = document.get("a", source)
        if not isinstance(document["f"], str) or not is_address(host, port):
            raise MalformedDatagramError("no name or address of a sender")
        return Datagram(document["f"], (host, port), message, updates, bool(document.get("w")))
    except (MalformedDatagramError, OtherClusterError):
        raise
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise MalformedDatagramError(str(error)) from error


def _decode_message(document: dict[str, Any]) -> Message:
    kind = document["k"]
    sequence = document["s"]
    if type(sequence) is not int:
        raise MalformedDatagramError("sequence is no integer")
    if kind == Ping.kind:
        target = document.get("target")
        if "target" in document and not isinstance(target, str):
            target = ""  # no member's name: nobody answers such a probe
        return Ping(sequence, target)
    if kind == PingRequest.kind:
        return PingRequest(sequence, str(document.get("target", "")))
    if kind == Ack.kind:
        return Ack(sequence)
    if kind == SyncRequest.kind:
        return SyncRequest(sequence)
    if kind == StateUpdate.kind:
        return StateUpdate(sequence)
    raise MalformedDatagramError("unknown kind")


def _decode_update(row: Any) -> MemberUpdate:
    name, host, port, incarnation, code, metadata, *more = row
    accusers = more[0] if more else []
    is_valid = (
        _is_name(name)
        and len(name) > 0
        and is_address(host, port)
        and type(incarnation) is int
        and 0 <= incarnation < INCARNATION_BOUND
        and type(code) is int
        and isinstance(metadata, dict)
        and len(json.dumps(metadata)) <= MAX_METADATA_BYTES
        and isinstance(accusers, list)
        and len(accusers) <= MAX_ACCUSERS
        and all(_is_name(accuser) for accuser in accusers)
    )
    if not is_valid:
        raise MalformedDatagramError("row of a member")
    return MemberUpdate(name, (host, port), incarnation, STATE_BY_CODE[code], metadata, tuple(accusers))


def _is_name(value: object) -> bool:
    return isinstance(value, str) and len(value) <= MAX_NAME_CHARACTERS


def is_address(host: object, port: object) -> bool:
    """Tell whether two values of a JSON document are a host and a port."""
    return isinstance(host, str) and type(port) is int and 0 < port < PORT_BOUND
