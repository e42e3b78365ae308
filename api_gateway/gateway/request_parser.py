"""Parse client commands into requests for the decision engine."""

from __future__ import annotations

import re

from api_gateway import interface as api

# Seconds before the client's deadline by which the decision engine must have settled a request.
ANSWER_RESERVE_S = 0.03
# Longest deadline in seconds that a client may set.
CLIENT_DEADLINE_LIMIT_S = 3600.0
# Customer ids are below this number.
CUSTOMER_ID_LIMIT = 2**33

READ_VERB = b"API.READ"
WRITE_VERB = b"API.WRITE"
# Fields of a request; the protocol names eight.
MAX_FIELDS = 64
# Verb, customer, request id and fields. A write has a body as a further argument.
READ_ARGUMENT_COUNT = 4

_match_plain_number = re.compile(rb"(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?").fullmatch
_match_customer = re.compile(rb"[0-9a-fA-F]{16}").fullmatch


class BadRequestError(Exception):
    """An invalid command. The message is sent to the client after `-ERR`."""


def parse_request(command: object, settings: api.Settings, elapsed: float) -> api.Request:
    """Parse a client command.

    Args:
        command: The value from the RESP reader; a list of bytes if the command is well-formed.
        settings: The active settings.
        elapsed: Seconds since the bytes of the command were read.

    Returns:
        The request, with the time that is left until its deadline.

    Raises:
        BadRequestError: The command does not follow the protocol, or a value is out of range.
    """
    arguments, is_write = _validate_arguments(command)
    _, customer, name, encoded_fields = arguments[:READ_ARGUMENT_COUNT]
    if encoded_fields.count(b",") >= MAX_FIELDS:
        raise BadRequestError("too many fields")
    try:
        fields = dict(field.split(b"=", 1) for field in encoded_fields.split(b","))
        service_class = settings.classes.get(fields[b"c"].decode())
        plan = fields[b"t"].decode()
        integers = fields[b"d"], fields[b"spread"], fields[b"first"]
        milliseconds, spread, first = map(int, integers)
        units = float(fields[b"units"])
        # int() and float() also accept +1 and 1_0, which are invalid here.
        if not b"".join(integers).isdigit() or not _match_plain_number(fields[b"units"]):
            raise ValueError("number is not in plain decimal notation")
        if not _match_customer(customer) or int(customer, 16) >= CUSTOMER_ID_LIMIT or not name:
            raise ValueError("invalid customer or request id")
        if len(fields) != encoded_fields.count(b",") + 1:  # a duplicate field would be forwarded to endpoints
            raise ValueError("duplicate field")
    except (KeyError, ValueError, OverflowError) as err:
        raise BadRequestError("missing or odd field") from err
    if service_class is None or plan not in settings.plans:
        raise BadRequestError("unknown class or plan")
    if not _is_allowed_for_command(service_class, is_write, fields):
        raise BadRequestError("class does not go with this command")
    # The decision engine compares the units of a request with the mean of all requests. One request of 1e12
    # units would distort that mean for a long time.
    is_in_range = 0 < units <= settings.max_request_units and milliseconds <= 1000 * CLIENT_DEADLINE_LIMIT_S
    if not is_in_range or not 1 <= spread <= settings.gateway_count or first >= settings.gateway_count:
        raise BadRequestError("field out of range")
    return api.Request(
        request_id=name.decode("latin-1"),
        time_left=milliseconds / 1000 - ANSWER_RESERVE_S - elapsed,
        customer=customer.decode(),
        plan=plan,
        service_class=service_class.name,
        units=units,
        first_gateway=first,
        gateway_spread=spread,
        is_retry=fields.get(b"r") == b"1",
        is_write=is_write,
    )


def _is_allowed_for_command(
    service_class: api.ServiceClass, is_write: bool, fields: dict[bytes, bytes]
) -> bool:
    """Return whether the class may use this verb, and whether the idempotency key is set if it needs one."""
    if is_write == (service_class.idempotency == "safe"):
        return False
    return service_class.idempotency != "keyed" or bool(fields.get(b"k"))


def _validate_arguments(command: object) -> tuple[list[bytes], bool]:
    """Check the number and types of arguments; return them with the verb, and whether it is a write."""
    if not isinstance(command, list) or {type(part) for part in command} - {bytes, bytearray}:
        raise BadRequestError("not an array of bulk strings")
    verb = command[0] if command else b""
    is_write = verb == WRITE_VERB
    if not is_write and verb != READ_VERB:
        raise BadRequestError("unknown command")
    if len(command) != READ_ARGUMENT_COUNT + is_write:
        raise BadRequestError("wrong number of arguments")
    return command, is_write
