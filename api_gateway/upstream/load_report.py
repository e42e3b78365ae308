"""Parsing of the load reports that endpoints attach to their answers."""

from __future__ import annotations

import math
import re

from api_gateway.settings_parser import LOAD_REPORT_FIELDS, read_load_report

# A plain number as the protocol defines it. float() alone would also accept 1_0.
PLAIN_NUMBER = re.compile(r"(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?")

# Values by the decision engine's field names; times are in seconds.
LoadReport = dict[str, float]


def parse_load_report(text: object) -> LoadReport:
    """Parse a load report of the form `name=value,name=value`.

    Args:
        text: What the answer has in place of a load report: bytes, text, or any other RESP value.

    Returns:
        The known fields. Empty if the report is missing or any part of it is malformed.
    """
    if isinstance(text, bytes):
        text = text.decode("utf-8", "replace")
    if not isinstance(text, str) or "=" not in text:
        return {}
    pairs = [pair.split("=", 1) for pair in text.split(",")]
    try:
        fields = dict(pairs)
    except ValueError:
        return {}
    if len(fields) < len(pairs):  # duplicate field
        return {}
    for name, value in fields.items():
        if value and name in LOAD_REPORT_FIELDS and not PLAIN_NUMBER.fullmatch(value):
            return {}
    report = read_load_report(fields.items())
    return report if math.inf not in report.values() else {}
