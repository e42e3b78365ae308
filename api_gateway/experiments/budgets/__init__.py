"""Budgets under faults: a world in virtual time, holders and a meter as processes, and figures of both."""
