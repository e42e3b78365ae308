"""Build the status of a gateway for operators and its metadata for other cluster members."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from api_gateway.base.endpoint_list import format_address
from api_gateway.gateway.process_limits import anonymous_bytes
from api_gateway.gateway.serving_state import ACTIVE

if TYPE_CHECKING:
    from api_gateway.gateway.node import GatewayNode


def gateway_status(node: GatewayNode) -> dict[str, Any]:
    """Return the answer to `GET /status`. Its keys are part of the control API."""
    listener = node.clients.listener
    status: dict[str, Any] = {
        "ready": node.serving.is_ready and node.serving.state == ACTIVE and listener is not None,
        "state": node.serving.state,
        "hosts": sorted(node.upstream.pools),
        "hosts_out": sorted(node.upstream.ejected),
        "requests": len(node.in_flight),
        "clients": len(node.clients.connections),
        "large_bodies": {
            "reserved_bytes": node.clients.body_budget.reserved_bytes,
            "waiting": len(node.clients.body_budget.waiting),
            "rejected": node.clients.body_budget.rejected_count,
        },
        "list": node.discovery.status(),
    }
    if node.config.edge:
        status["edge"] = listener.status()
    return status


def gateway_metrics(node: GatewayNode) -> dict[str, Any]:
    """Return the answer to `GET /metrics`: memory, what holds it, and why work was refused.

    Sizes are in bytes; counts are since the start of the process.
    """
    return {
        "memory": {
            "anonymous_bytes": anonymous_bytes(),
            "limit_bytes": int(node.config.max_memory_bytes) // node.limits.process_count,
            "large_body_bytes": node.clients.body_budget.reserved_bytes,
            "partial_command_bytes": node.clients.partial_command_budget.reserved_bytes,
            "request_bytes": node.requests.budget.reserved_bytes,
            "reply_bytes": node.clients.reply_budget.reserved_bytes,
            "answer_bytes": node.upstream.answer_budget.reserved_bytes,
        },
        "objects": {
            "requests": len(node.in_flight),
            "client_connections": len(node.clients.connections),
            "endpoint_connections": node.upstream.connection_count,
            "customers": len(node.engine.accounts),
        },
        "connections_ended": dict(node.clients.ends.counts),
        "closes_begun": dict(node.clients.ends.begun_counts),
        "requests_rejected": dict(node.requests.rejections.counts),
    }


def member_metadata(node: GatewayNode) -> dict[str, str]:
    """Return the metadata sent to the other members of the cluster. Its keys are part of the protocol."""
    metadata = {"kind": "gateway", "listen": format_address(node.config.listen)}
    if node.config.control:
        metadata["control"] = format_address(node.config.control)
        metadata["config"] = node.config_changes().current.digest
    return metadata
