"""Connections to endpoints: pools, attempts, health checks, load reports and connect limits."""
