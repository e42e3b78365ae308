"""Fleet-wide budgets, which a grantor divides among the running gateways."""
