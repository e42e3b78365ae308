"""Membership in virtual time: many members, faults between them, a referee, and its figures."""
