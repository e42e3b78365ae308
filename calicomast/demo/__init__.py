"""A small fleet on loopback with traffic of its own: `cinderrouter demo`."""
