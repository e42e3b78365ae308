"""Stores all endpoints of a cluster compactly, for a gateway that selects its subset from the full list.

An endpoint is stored as one record of bytes on the ring of its group, zone and state. The record consists of
its position (POSITION_BYTES), its id, ID_END, the number of the last full list that contained it
(LIST_NUMBER_BYTES), and its other fields as JSON. The records of a ring are sorted. A table of endpoints by
id would double the memory, so an endpoint is searched for on the rings of all zones instead.
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

RECORDS_PER_TURN = 1000  # records scanned per turn of the event loop, which takes about 1 ms
POSITION_BYTES = 8
LIST_NUMBER_BYTES = 4
ID_END = b"\0\0"  # sorts before any byte of an escaped id, so that records sort in the order of their ids
ESCAPED_ZERO = b"\0\xff"  # encodes a zero byte within an id

encode_json = json.JSONEncoder(separators=(",", ":")).encode


@dataclass(slots=True)
class RecordLocation:
    """The location of a record in the store."""

    zone: str
    ring: Ring
    records: list[bytes]  # one of the two lists of the ring
    index: int  # index in `records`


class CompactEndpointStore(EndpointRings):
    """All endpoints of some kinds, by group, zone and state.

    `touched_groups` contains the groups that have changed since the owner of the store last cleared it.
    `list_number` counts the full lists whose reading has begun; the owner increments it.
    """

    def __init__(self, kinds: tuple[str, ...]) -> None:
        """Initialise an empty store.

        Args:
            kinds: Kinds of endpoints to store, each a separate group; empty: all endpoints, as one group.
        """
        super().__init__()
        self.kinds = frozenset(kinds)
        self.kind_by_id: dict[str, str] = {}  # only filled if `kinds` are given
        self.touched_groups: set[str | None] = set()
        self.list_number = 0

    # Records

    @staticmethod
    def position_key(position: int) -> bytes:
        """Return a key that sorts before all records at a position and after those at lower positions."""
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
        """Return the records unchanged, as the members of a SubsetPart."""
        return ring_keys

    def record_prefix(self, endpoint_id: str) -> bytes:
        """Return the prefix of the record of an endpoint: its position and its id."""
        escaped = endpoint_id.encode("utf-8", "surrogatepass").replace(b"\0", ESCAPED_ZERO)
        return self.position_key(position_of_endpoint(endpoint_id)) + escaped + ID_END

    @staticmethod
    def encoded_endpoint(record: bytes) -> bytes:
        """Return the part of a record that encode_endpoint() produced."""
        return record[record.index(ID_END, POSITION_BYTES) + len(ID_END) + LIST_NUMBER_BYTES :]

    @staticmethod
    def list_number_of(record: bytes) -> int:
        """Return the number of the last full list that contained the endpoint of a record."""
        start = record.index(ID_END, POSITION_BYTES) + len(ID_END)
        return int.from_bytes(record[start : start + LIST_NUMBER_BYTES], "big")

    # Endpoints

    def find(self, endpoint_id: str, zone: str = "") -> RecordLocation | None:
        """Return the location of an endpoint, searching `zone` first; None if the endpoint is not stored."""
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
        """Store an endpoint and replace its previous record.

        An endpoint that is removed, or whose kind is not stored, is deleted from the store.
        """
        if endpoint.state == "down" or (self.kinds and endpoint.kind not in self.kinds):
            self.remove_endpoint(endpoint.id)
            return
        encoded = encode_endpoint(endpoint, address)
        encoded_list_number = self.list_number.to_bytes(LIST_NUMBER_BYTES, "big")
        record = self.record_prefix(endpoint.id) + encoded_list_number + encoded
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

    def remove_endpoint(self, name: str, list_number: int | None = None) -> None:
        """Remove an endpoint.

        Args:
            name: Id of the endpoint.
            list_number: Number of a full list; if given, the endpoint is removed only if neither that list
                nor a later one contained it.
        """
        if (location := self.find(name)) is None:
            return
        if list_number is not None and self.list_number_of(location.records[location.index]) >= list_number:
            return
        group = self.kind_by_id.pop(name) if self.kinds else None
        del location.records[location.index]
        self.remove_empty_ring(group, location.zone, location.ring)
        self.touched_groups.add(group)

    def get(self, endpoint_id: str) -> AddressedEndpoint | None:
        """Return an endpoint and its address; None if it is not stored."""
        location = self.find(endpoint_id)
        if location is None:
            return None
        return decode_endpoint(endpoint_id, self.encoded_endpoint(location.records[location.index]))

    def size(self) -> int:
        """Return the number of endpoints."""
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

    def ids_last_listed_in(self, list_number: int) -> Iterator[list[str]]:
        """Yield the ids whose last full list was this one, one batch per RECORDS_PER_TURN scanned records."""
        return self._scan(lambda last_list_number: last_list_number == list_number)

    def ids_not_listed_since(self, list_number: int) -> Iterator[list[str]]:
        """Yield the ids that neither this full list nor a later one contained, in batches as above."""
        return self._scan(lambda last_list_number: last_list_number < list_number)

    def _scan(self, matches: Callable[[int], bool]) -> Iterator[list[str]]:
        # The lists are copied because the rings may change between two batches.
        for records in [list(records) for records in self.record_lists()]:
            for start in range(0, len(records), RECORDS_PER_TURN):
                yield [
                    self.id_of(record)
                    for record in records[start : start + RECORDS_PER_TURN]
                    if matches(self.list_number_of(record))
                ]


def encode_endpoint(endpoint: api.Endpoint, address: Address | None) -> bytes:
    """Return the fields of an endpoint except its id, and its address, as compact JSON."""
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
    """Return the endpoint and the address that encode_endpoint() encoded."""
    *fields, address = json.loads(encoded)
    return AddressedEndpoint(api.Endpoint(endpoint_id, *fields), tuple(address) if address else None)
