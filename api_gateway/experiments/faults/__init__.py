"""Real processes with faults between them: `python -m api_gateway.experiments.faults SCENARIO`."""
