"""The list service: hosts register, or an operator names them, and gateways watch the list."""
