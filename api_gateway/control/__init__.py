"""What operators change while a gateway runs: overrides of hosts, drains, and the configuration."""
