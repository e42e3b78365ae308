"""A small fleet on loopback with traffic of its own: `api-gateway demo`."""
