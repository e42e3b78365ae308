"""Faults inside a gateway's process, as the variable INJECTED_FAULTS names them in JSON.

Python loads this module at its start where the folder is on PYTHONPATH; without the variable it does nothing.
`clock`: pairs of seconds since the start and of seconds by which the wall clock is off from then on.
`calls`: for accept, connect, socket, write and fsync a list of errno names and the share of calls that fail
with one of them, drawn by `seed`; `from` and `until` bound these faults, in seconds since the start.
"""

import errno
import json
import os
import random
import socket
import time

TREE = json.loads(os.environ.get("INJECTED_FAULTS", "{}"))
BEGAN = time.monotonic()


def wall_clock(real, steps):
    def stepped():
        since = time.monotonic() - BEGAN
        return real() + next((off for at, off in reversed(steps) if since >= at), 0.0)

    return stepped


def failing(real, names, share, rng):
    def call(*args, **more):
        since = time.monotonic() - BEGAN
        if TREE.get("from", 0.0) <= since < TREE.get("until", 1e9) and rng.random() < share:
            code = getattr(errno, rng.choice(names))
            raise OSError(code, os.strerror(code))
        return real(*args, **more)

    return call


if "clock" in TREE:
    time.time = wall_clock(time.time, TREE["clock"])
if "calls" in TREE:
    RNG = random.Random(TREE.get("seed", 0))
    for NAME, (CODES, SHARE) in TREE["calls"].items():
        if NAME == "accept":
            socket.socket.accept = failing(socket.socket.accept, CODES, SHARE, RNG)
        elif NAME == "socket":
            socket.socket.__init__ = failing(socket.socket.__init__, CODES, SHARE, RNG)
        else:
            setattr(os, NAME, failing(getattr(os, NAME), CODES, SHARE, RNG))
