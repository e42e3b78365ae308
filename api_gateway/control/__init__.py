"""Changes that operators make to a running gateway: host overrides, drains and the configuration."""
