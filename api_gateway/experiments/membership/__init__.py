"""Simulation of membership in virtual time: many members, faults, a referee and measurements."""
