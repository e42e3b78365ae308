"""The client side of the gateway: listeners, connections, admission limits and fair queueing."""
