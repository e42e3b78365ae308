"""Stand-ins for the systems that a gateway lives among: hosts, the counter, discovery. For trials."""
