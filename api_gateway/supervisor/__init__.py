"""Starts and stops processes of the program on this machine for the demo, experiments and tests."""
