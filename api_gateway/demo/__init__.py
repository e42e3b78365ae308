"""The command `api-gateway demo`: a small cluster on the loopback address with generated traffic."""
