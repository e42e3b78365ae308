"""Encode and decode the datagrams that the members of a cluster exchange.

A datagram is one JSON object. `c` is the cluster, `f` and `a` are the sender's name and address, `k` is the
kind of the message, `s` is its sequence number, and `r` holds one row per membership update. Pings and ping
requests name their `target`, and `w` marks the rows of a full state exchange. The order of the keys is part
of the wire format.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, ClassVar, Literal

from api_gateway.membership.errors import MalformedDatagramError, OtherClusterError

MAX_DATAGRAM_BYTES = 1200  # below the smallest common MTU, so that datagrams are not fragmented
HEADER_RESERVE_BYTES = 200  # part of MAX_DATAGRAM_BYTES reserved for everything but the rows
MAX_METADATA_BYTES = 256  # of a member's metadata as JSON text
MAX_NAME_CHARACTERS = 128  # of a member's name
MAX_ACCUSERS = 4  # names sent with the update of one suspect
INCARNATION_BOUND = 2**62  # exclusive; above any clock in milliseconds, but still fits in 64 bits
PORT_BOUND = 65536  # exclusive upper bound of port numbers

MemberState = Literal["alive", "suspect", "dead", "left"]
Address = tuple[str, int]

ALIVE: Literal["alive"] = "alive"
SUSPECT: Literal["suspect"] = "suspect"
DEAD: Literal["dead"] = "dead"
LEFT: Literal["left"] = "left"
PRESENT_STATES = (ALIVE, SUSPECT)
# Numbers that represent the states on the wire.
STATE_CODES: dict[MemberState, int] = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
STATE_BY_CODE: dict[int, MemberState] = {code: state for state, code in STATE_CODES.items()}


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The state of one member as a datagram reports it.

    Attributes:
        name: The member's name, unique in its cluster.
        address: The address of the member.
        incarnation: Version number that the member gives to its own state. The highest one takes precedence.
        state: The state of the member as the sender sees it.
        metadata: Key-value pairs that the member publishes about itself.
        accusers: Names of the members whose own probes it did not answer.
    """

    name: str
    address: Address
    incarnation: int
    state: MemberState
    metadata: dict[str, str]
    accusers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Ping:
    """A probe. `target` names the intended member, because another process may use its address by now."""

    kind: ClassVar[str] = "ping"
    sequence: int
    target: str | None


@dataclass(frozen=True, slots=True)
class Ack:
    """The reply to a ping or a ping request with the same sequence number."""

    kind: ClassVar[str] = "ack"
    sequence: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """A request to probe `target` on behalf of the sender (`ping-req` in SWIM)."""

    kind: ClassVar[str] = "ask"
    sequence: int
    target: str


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """The first datagram of a full state exchange; the receiver replies with its own full state."""

    kind: ClassVar[str] = "sync"
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """Membership updates that need no reply."""

    kind: ClassVar[str] = "more"
    sequence: int = 0


Message = Ping | Ack | PingRequest | SyncRequest | StateUpdate


@dataclass(frozen=True, slots=True)
class Datagram:
    """A message with its sender and the piggybacked membership updates.

    Attributes:
        sender: Name of the member that sent it.
        sender_address: Address of that member, to which replies are sent.
        message: The message itself.
        updates: Membership updates from the sender.
        is_full_state: Whether the updates are part of a full state exchange.
    """

    sender: str
    sender_address: Address
    message: Message
    updates: tuple[MemberUpdate, ...] = ()
    is_full_state: bool = False


def encode_update(update: MemberUpdate) -> list[Any]:
    """Return the row for one member; the accusers are omitted if there are none."""
    host, port = update.address
    row: list[Any] = [update.name, host, port, update.incarnation, STATE_CODES[update.state], update.metadata]
    if update.accusers:
        row.append(update.accusers)
    return row


def update_size(update: MemberUpdate) -> int:
    """Return the size in bytes of an update as JSON text with spaces, a little more than what is sent."""
    return len(json.dumps(encode_update(update)))


def encode_datagram(cluster: str, datagram: Datagram) -> bytes:
    """Encode a datagram for members of `cluster`."""
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
        source: The address that it came from, used as the sender's address if the datagram names none.
        data: The bytes of the datagram.

    Returns:
        The parsed datagram. Unknown keys are ignored.

    Raises:
        DatagramError: The datagram belongs to another cluster, is truncated or is malformed.
    """
    try:
        document = json.loads(data)
        if document["c"] != cluster:
            raise OtherClusterError(cluster)
        message = _decode_message(document)
        if not isinstance(document["r"], list):
            raise MalformedDatagramError("rows are not a list")
        updates = tuple(_decode_update(row) for row in document["r"])
        host, port = document.get("a", source)
        if not isinstance(document["f"], str) or not is_address(host, port):
            raise MalformedDatagramError("the name or address of the sender is missing or invalid")
        return Datagram(document["f"], (host, port), message, updates, bool(document.get("w")))
    except (MalformedDatagramError, OtherClusterError):
        raise
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise MalformedDatagramError(str(error)) from error


def _decode_message(document: dict[str, Any]) -> Message:
    kind = document["k"]
    sequence = document["s"]
    if type(sequence) is not int:
        raise MalformedDatagramError("sequence number is not an integer")
    if kind == Ping.kind:
        target = document.get("target")
        if "target" in document and not isinstance(target, str):
            target = ""  # no member has this name, so the probe is not answered
        return Ping(sequence, target)
    if kind == PingRequest.kind:
        return PingRequest(sequence, str(document.get("target", "")))
    if kind == Ack.kind:
        return Ack(sequence)
    if kind == SyncRequest.kind:
        return SyncRequest(sequence)
    if kind == StateUpdate.kind:
        return StateUpdate(sequence)
    raise MalformedDatagramError("unknown message kind")


def _decode_update(row: Any) -> MemberUpdate:
    name, host, port, incarnation, code, metadata, *optional_fields = row
    accusers = optional_fields[0] if optional_fields else []
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
        raise MalformedDatagramError("invalid row of a member")
    return MemberUpdate(name, (host, port), incarnation, STATE_BY_CODE[code], metadata, tuple(accusers))


def _is_name(value: object) -> bool:
    return isinstance(value, str) and len(value) <= MAX_NAME_CHARACTERS


def is_address(host: object, port: object) -> bool:
    """Return whether two values of a JSON document are a host and a valid port."""
    return isinstance(host, str) and type(port) is int and 0 < port < PORT_BOUND
