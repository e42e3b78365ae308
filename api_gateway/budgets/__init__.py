"""Fleet-wide budgets, divided among the gateways that are there."""
