"""The side of the gateway that clients connect to."""
