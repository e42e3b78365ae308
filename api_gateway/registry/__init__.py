"""The list service: hosts register or are listed in a file, and gateways watch the list."""
