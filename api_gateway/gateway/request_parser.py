"""Parses the commands of clients into the requests that the decision module knows."""

from __future__ import annotations

import re

from api_gateway import interface as api

# Seconds before the client gives up by which the decision module has to be done.
ANSWER_RESERVE_S = 0.03
# Seconds; a client that says it will wait for longer is in error.
LONGEST_CLIENT_WAIT_S = 3600.0
# Customers are numbers below this one.
CUSTOMER_ID_LIMIT = 2**33

READ_VERB = b"API.READ"
WRITE_VERB = b"API.WRITE"
# Verb, customer, request id and terms; a write has its body behind them.
READ_ARGUMENT_COUNT = 4

_matches_plain_number = re.compile(rb"(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?").fullmatch
_matches_customer = re.compile(rb"[0-9a-fA-F]{16}").fullmatch


class BadRequestError(Exception):
    """A command that cannot be taken. Its text goes to the client behind `-ERR`."""


def parse_request(command: object, settings: api.Settings, waited: float) -> api.Request:
    """Parse a client's command.

    Args:
        command: What the RESP reader gave: a list of bytes where the command is a well-formed one.
        settings: The settings in force.
        waited: Seconds since the command's bytes came.

    Returns:
        The request, with the time that is left for it now.

    Raises:
        BadRequestError: The command is not one of the protocol, or a value of it is out of range.
    """
    arguments, is_write = _check_shape(command)
    _, customer, name, terms = arguments[:READ_ARGUMENT_COUNT]
    try:
        fields = dict(term.split(b"=", 1) for term in terms.split(b","))
        service_class = settings.classes.get(fields[b"c"].decode())
        plan = fields[b"t"].decode()
        integers = fields[b"d"], fields[b"spread"], fields[b"first"]
        milliseconds, spread, first = map(int, integers)
        units = float(fields[b"units"])
        # int() and float() take +1 and 1_0, too.
        if not b"".join(integers).isdigit() or not _matches_plain_number(fields[b"units"]):
            raise ValueError("no plain number")
        if not _matches_customer(customer) or int(customer, 16) >= CUSTOMER_ID_LIMIT or not name:
            raise ValueError("customer or id")
        if len(fields) != terms.count(b",") + 1:  # endpoints would get both
            raise ValueError("a field that stands twice")
    except (KeyError, ValueError, OverflowError) as err:
        raise BadRequestError("missing or odd field") from err
    if service_class is None or plan not in settings.plans:
        raise BadRequestError("unknown class or plan")
    if not _suits_command(service_class, is_write, fields):
        raise BadRequestError("class does not go with this command")
    # The module weighs a request by its units against the mean of all: one of 1e12 spoils that for long.
    is_in_range = 0 < units <= settings.max_request_units and milliseconds <= 1000 * LONGEST_CLIENT_WAIT_S
    if not is_in_range or not 1 <= spread <= settings.gateway_count or first >= settings.gateway_count:
        raise BadRequestError("field out of range")
    return api.Request(
        request_id=name.decode("latin-1"),
        time_left=milliseconds / 1000 - ANSWER_RESERVE_S - waited,
        customer=customer.decode(),
        plan=plan,
        service_class=service_class.name,
        units=units,
        first_gateway=first,
        gateway_spread=spread,
        is_retry=fields.get(b"r") == b"1",
        is_write=is_write,
    )


def _suits_command(service_class: api.ServiceClass, is_write: bool, fields: dict[bytes, bytes]) -> bool:
    """Tell whether requests of a class come by this verb, and with an idempotency key where it needs one."""
    if is_write == (service_class.idempotency == "safe"):
        return False
    return service_class.idempotency != "keyed" or bool(fields.get(b"k"))


def _check_shape(command: object) -> tuple[list[bytes], bool]:
    """Return the arguments of a well-formed command, verb included, and whether it writes."""
    if not isinstance(command, list) or {type(part) for part in command} - {bytes, bytearray}:
        raise BadRequestError("not an array of bulk strings")
    verb = command[0] if command else b""
    is_write = verb == WRITE_VERB
    if not is_write and verb != READ_VERB:
        raise BadRequestError("unknown command")
    if len(command) != READ_ARGUMENT_COUNT + is_write:
        raise BadRequestError("wrong number of arguments")
    return command, is_write
