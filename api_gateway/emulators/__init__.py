"""Stand-ins for the hosts, the counter and discovery, for the demo, experiments and tests."""
