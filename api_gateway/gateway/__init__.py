"""One gateway process: its components, their wiring, its start and its end."""
