"""The check that the types of the interface make of their values."""


def require(condition: bool, message: str) -> None:
    """Check a value of the interface.

    Args:
        condition: What must hold.
        message: What is wrong if it does not.

    Raises:
        ValueError: With the message, if the condition does not hold.
    """
    if not condition:
        raise ValueError(message)
