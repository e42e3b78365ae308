"""Errors of starting processes."""


class StartError(Exception):
    """A process did not start; the text gives its name and the reason in one line."""
