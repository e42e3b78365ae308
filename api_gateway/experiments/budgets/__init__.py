"""Budgets under faults: a simulation in virtual time, holder and meter processes, and measurements."""
