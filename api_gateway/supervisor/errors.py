"""Why a process could not be started."""


class StartError(Exception):
    """A process did not come up; the text says which and why in one line."""
