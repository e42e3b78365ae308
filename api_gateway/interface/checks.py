"""The check that the types of the interface make of their values."""


def require(condition: bool, message: str) -> None:
    """Raises ValueError with `message` where `condition` does not hold."""
    if not condition:
        raise ValueError(message)
