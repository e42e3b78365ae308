"""Encode answers of the list service: each host once for each of its changes, each answer once a version."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from api_gateway.base.subsets import SubsetSpec
from api_gateway.registry.core import Answer, Host, Registry

MAX_ENCODED_BYTES = 32 * 1024 * 1024  # of answers of one version that are cached; the last one in any case
SPARE_HOST_TEXTS = 1000  # cached texts past two for each known host, after which the cache is emptied


class AnswerKey(NamedTuple):
    """What tells two answers of one version apart.

    Attributes:
        since_version: The version that changes are counted from; None for a complete list.
        view: The view that is told of; None for all hosts.
    """

    since_version: int | None
    view: SubsetSpec | None


class AnswerEncoder:
    """Caches encoded answers of the present version: many watches get the same one.

    Attributes:
        answers: Encoded answers of `version`.
        version: The version that is served now.
        size_bytes: Of all cached answers.
    """

    def __init__(self, registry: Registry) -> None:
        """Encode answers of `registry`."""
        self._registry = registry
        self._host_texts: dict[str, tuple[Host, bytes]] = {}  # hosts as they were last encoded, by id
        self.answers: dict[AnswerKey, bytes] = {}
        self.version = -1
        self.size_bytes = 0

    def encode(self, answer: Answer) -> bytes:
        """Return the body of an answer."""
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
        """Return the text of one host, made once for each of its changes."""
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
        """Drop the oldest answers past the bound; the newest stays."""
        while self.size_bytes > MAX_ENCODED_BYTES and len(self.answers) > 1:
            oldest = next(iter(self.answers))
            self.size_bytes -= len(self.answers.pop(oldest))


def host_document(host: Host) -> dict[str, Any]:
    """Return a host in the protocol's form; the order of the keys is part of it."""
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


HOST_KEYS = tuple(host_document(Host("", "")))  # that a registration may hold beside its lease
