"""Value validation for the interface types."""


def require(condition: bool, message: str) -> None:
    """Raise ValueError unless a condition on a field value holds.

    Args:
        condition: Whether the value is valid.
        message: Describes the fault if the value is invalid.

    Raises:
        ValueError: The condition does not hold; the text is the message.
    """
    if not condition:
        raise ValueError(message)
