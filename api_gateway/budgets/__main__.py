"""Runs the budget grantor: `python -m api_gateway.budgets`. BUDGETS_CONFIG names its configuration file."""

from __future__ import annotations

import sys

from api_gateway.base.serving import run
from api_gateway.budgets.config import read_config
from api_gateway.budgets.service import GrantorService

if __name__ == "__main__":
    sys.exit(run("api_gateway.budgets", lambda: GrantorService(read_config()), "budgets are granted"))
