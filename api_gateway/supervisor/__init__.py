"""Keeps processes of the program on this machine: for the demo, the lab and the tests."""
