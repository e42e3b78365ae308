"""Connections to endpoints: pools, attempts, health checks, load reports and limits on connects."""
