"""Fault injection between real processes: `python -m api_gateway.experiments.faults SCENARIO`."""
