"""All endpoints of a cluster in little memory, for a gateway that takes its subset from the full list.

An endpoint is one record of bytes on the ring of its group, zone and state: its position (POSITION_BYTES),
its id, ID_END, the number of the full list that named it last (LIST_NUMBER_BYTES), and the rest as JSON.
Records of a ring are sorted. There is no table of endpoints, which would take as much memory again: an
endpoint is searched for on the rings of all zones.
"""

from __future__ import annotations

import json
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from sys import intern

from api_gateway import interface as api
from api_gateway.base.endpoint_list import Address, AddressedEndpoint
from api_gateway.base.subsets import EndpointRings, Ring, position_of_endpoint

RECORDS_PER_TURN = 1000  # scanned in one turn of the event loop: some 1 ms
POSITION_BYTES = 8
LIST_NUMBER_BYTES = 4
ID_END = b"\0\0"  # nothing else in an id starts with a byte as low, so that ids sort as they are
ESCAPED_ZERO = b"\0\xff"  # stands for a zero byte in an id

encode_json = json.JSONEncoder(separators=(",", ":")).encode


@dataclass(slots=True)
class RecordLocation:
    """Where a record lies."""

    zone: str
    ring: Ring
    records: list[bytes]  # one of the ring's two lists
    index: int  # in that list


class CompactEndpointStore(EndpointRings):
    """All endpoints of some kinds, by group, zone and state.

    `touched_groups` are those in which something has changed since its owner emptied it. `list_number` counts
    the full lists that were begun; its owner raises it.
    """

    def __init__(self, kinds: tuple[str, ...]) -> None:
        """Initialise an empty store.

        Args:
            kinds: Kinds of endpoints that are stored, each a group; none: all endpoints, as one group.
        """
        super().__init__()
        self.kinds = frozenset(kinds)
        self.kind_by_id: dict[str, str] = {}  # only where kinds are named
        self.touched_groups: set[str | None] = set()
        self.list_number = 0

    # Records

    @staticmethod
    def position_key(position: int) -> bytes:
        """Return what sorts before all records of a position and after those of the positions before."""
        return position.to_bytes(POSITION_BYTES, "big")

    @staticmethod
    def position_of(ring_key: bytes) -> int:
        """Return the position of a record."""
        return int.from_bytes(ring_key[:POSITION_BYTES], "big")

    @staticmethod
    def id_of(ring_key: bytes) -> str:
        """Return the endpoint id of a record."""
        escaped = ring_key[POSITION_BYTES : ring_key.index(ID_END, POSITION_BYTES)]
        return escaped.replace(ESCAPED_ZERO, b"\0").decode("utf-8", "surrogatepass")

    @staticmethod
    def members_of(ring_keys: list[bytes]) -> list[bytes]:
        """Return records as a Part holds them: as they are."""
        return ring_keys

    def record_prefix(self, endpoint_id: str) -> bytes:
        """Return what the record of an endpoint begins with."""
        escaped = endpoint_id.encode("utf-8", "surrogatepass").replace(b"\0", ESCAPED_ZERO)
        return self.position_key(position_of_endpoint(endpoint_id)) + escaped + ID_END

    @staticmethod
    def encoded_endpoint(record: bytes) -> bytes:
        """Return what encode_endpoint() made of the endpoint of a record."""
        return record[record.index(ID_END, POSITION_BYTES) + len(ID_END) + LIST_NUMBER_BYTES :]

    @staticmethod
    def list_number_of(record: bytes) -> int:
        """Return the number of the full list that named the endpoint of a record last."""
        start = record.index(ID_END, POSITION_BYTES) + len(ID_END)
        return int.from_bytes(record[start : start + LIST_NUMBER_BYTES], "big")

    # Endpoints

    def find(self, endpoint_id: str, zone: str = "") -> RecordLocation | None:
        """Return where the record of an endpoint lies; `zone` is searched first. None: it is not stored."""
        prefix = self.record_prefix(endpoint_id)
        zones = self.groups.get(self.kind_by_id.get(endpoint_id) if self.kinds else None, {})
        for candidate in (zone, *zones) if zone in zones else zones:
            ring = zones[candidate]
            for records in (ring.up, ring.draining):
                index = bisect_left(records, prefix)
                if index < len(records) and records[index].startswith(prefix):
                    return RecordLocation(candidate, ring, records, index)
        return None

    def store(self, endpoint: api.Endpoint, address: Address | None) -> None:
        """Store an endpoint in place of what was known of it.

        One that is removed, or of another kind, is dropped.
        """
        if endpoint.state == "down" or (self.kinds and endpoint.kind not in self.kinds):
            self.remove_endpoint(endpoint.id)
            return
        encoded = encode_endpoint(endpoint, address)
        number = self.list_number.to_bytes(LIST_NUMBER_BYTES, "big")
        record = self.record_prefix(endpoint.id) + number + encoded
        if (location := self.find(endpoint.id, endpoint.zone)) is not None:
            if self.encoded_endpoint(location.records[location.index]) == encoded:
                location.records[location.index] = record
                return
            self.remove_endpoint(endpoint.id)
        group = intern(endpoint.kind) if self.kinds else None
        if group is not None:
            self.kind_by_id[endpoint.id] = group
        ring = self.groups.setdefault(group, {}).setdefault(intern(endpoint.zone), Ring())
        insort(ring.up if endpoint.state == "up" else ring.draining, record)
        self.touched_groups.add(group)

    def remove_endpoint(self, name: str, number: int | None = None) -> None:
        """Remove an endpoint.

        Args:
            name: Its id.
            number: Of a full list; if given, the endpoint goes only where neither that list nor a later one
                has named it.
        """
        if (location := self.find(name)) is None:
            return
        if number is not None and self.list_number_of(location.records[location.index]) >= number:
            return
        group = self.kind_by_id.pop(name) if self.kinds else None
        del location.records[location.index]
        self.remove_empty_ring(group, location.zone, location.ring)
        self.touched_groups.add(group)

    def get(self, endpoint_id: str) -> AddressedEndpoint | None:
        """Return an endpoint and its address; None: it is not stored."""
        location = self.find(endpoint_id)
        if location is None:
            return None
        return decode_endpoint(endpoint_id, self.encoded_endpoint(location.records[location.index]))

    def size(self) -> int:
        """Return the count of endpoints."""
        return sum(map(len, self.record_lists()))

    def record_lists(self) -> Iterator[list[bytes]]:
        """Yield the sorted records of each group, zone and state."""
        for zones in self.groups.values():
            for ring in zones.values():
                yield from (ring.up, ring.draining)

    def draining_ids(self) -> list[str]:
        """Return the ids of all endpoints that are draining."""
        return [
            self.id_of(record)
            for zones in self.groups.values()
            for ring in zones.values()
            for record in ring.draining
        ]

    def ids_named_by(self, number: int) -> Iterator[list[str]]:
        """Yield the ids that this full list named last, of RECORDS_PER_TURN records at a time."""
        return self._scan(lambda last_number: last_number == number)

    def ids_not_named_since(self, number: int) -> Iterator[list[str]]:
        """Yield the ids that neither this full list nor a later one named, as ids_named_by() does."""
        return self._scan(lambda last_number: last_number < number)

    def _scan(self, is_wanted: Callable[[int], bool]) -> Iterator[list[str]]:
        # Copies, as the rings may change between two of the lists that this yields.
        for records in [list(records) for records in self.record_lists()]:
            for start in range(0, len(records), RECORDS_PER_TURN):
                yield [
                    self.id_of(record)
                    for record in records[start : start + RECORDS_PER_TURN]
                    if is_wanted(self.list_number_of(record))
                ]


def encode_endpoint(endpoint: api.Endpoint, address: Address | None) -> bytes:
    """Return all of an endpoint but its id, and its address, as a short text."""
    return encode_json(
        [
            endpoint.zone,
            endpoint.cell,
            endpoint.weight,
            endpoint.kind,
            endpoint.state,
            endpoint.started_at,
            address,
        ]
    ).encode()


def decode_endpoint(endpoint_id: str, encoded: bytes) -> AddressedEndpoint:
    """Return the endpoint and the address that encode_endpoint() wrote."""
    *fields, address = json.loads(encoded)
    return AddressedEndpoint(api.Endpoint(endpoint_id, *fields), tuple(address) if address else None)
