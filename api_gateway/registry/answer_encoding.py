"""Encode answers of the list service: a host once per change, an answer once per version."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from api_gateway.base.subsets import SubsetSpec
from api_gateway.registry.core import Answer, Host, Registry

MAX_ENCODED_BYTES = 32 * 1024 * 1024  # limit for cached answers of one version; the newest is always kept
SPARE_HOST_TEXTS = 1000  # the cache is emptied when it exceeds two texts per known host by this many


class AnswerKey(NamedTuple):
    """Key of a cached answer within one version.

    Attributes:
        since_version: The version that changes are counted from; None for a complete list.
        view: The view that the answer is limited to; None for all hosts.
    """

    since_version: int | None
    view: SubsetSpec | None


class AnswerEncoder:
    """Caches encoded answers of the current version, because many watches get the same one.

    Attributes:
        answers: Encoded answers of `version` by key, oldest first.
        version: The version of the cached answers.
        size_bytes: Total size of the cached answers.
    """

    def __init__(self, registry: Registry) -> None:
        """Start with an empty cache for the answers of `registry`."""
        self._registry = registry
        # Each host as last encoded, with its text, by id.
        self._host_texts: dict[str, tuple[Host, bytes]] = {}
        self.answers: dict[AnswerKey, bytes] = {}
        self.version = -1
        self.size_bytes = 0

    def encode(self, answer: Answer) -> bytes:
        """Return the JSON body of an answer."""
        if self.version != answer.version:
            self.answers.clear()
            self.version = answer.version
            self.size_bytes = 0
        key = AnswerKey(answer.index, answer.view)
        if key not in self.answers:
            body = self._encode_body(answer)
            self.answers[key] = body
            self.size_bytes += len(body)
            self._trim()
        return self.answers[key]

    def encode_host(self, host: Host) -> bytes:
        """Return the JSON text of a host; it is encoded once per change."""
        cached = self._host_texts.get(host.id)
        if cached is not None and cached[0] is host:
            return cached[1]
        if len(self._host_texts) > 2 * len(self._registry.entries) + SPARE_HOST_TEXTS:
            self._host_texts.clear()
        text = json.dumps(host_document(host)).encode()
        if host.state != "removed":
            self._host_texts[host.id] = (host, text)
        return text

    def _encode_body(self, answer: Answer) -> bytes:
        head: dict[str, Any] = {
            "version": answer.version,
            "full": answer.index is None,
            "epoch": self._registry.epoch,
        }
        if answer.view is not None:
            head["view"] = True
            head["total"] = answer.total
        servers = b", ".join([self.encode_host(host) for host in answer.hosts])
        return b'%s, "servers": [%s]}' % (json.dumps(head).encode()[:-1], servers)

    def _trim(self) -> None:
        """Drop the oldest answers above MAX_ENCODED_BYTES, but never the newest."""
        while self.size_bytes > MAX_ENCODED_BYTES and len(self.answers) > 1:
            oldest = next(iter(self.answers))
            self.size_bytes -= len(self.answers.pop(oldest))


def host_document(host: Host) -> dict[str, Any]:
    """Return a host as a JSON object of the protocol; the order of the keys is part of the protocol."""
    return {
        "id": host.id,
        "addr": host.addr,
        "zone": host.zone,
        "kind": host.kind,
        "cell": host.cell,
        "state": host.state,
        "weight": host.weight,
        "started_ms": host.started_ms,
    }


HOST_KEYS = tuple(host_document(Host("", "")))  # keys that a registration may have besides its lease
