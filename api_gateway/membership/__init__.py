"""Cluster membership: detects over UDP which processes of a cluster are present (SWIM)."""
