"""Tells each half second by how much this process came late, in seconds: what the machine does to any
other."""

import sys
import time

SPAN, STEP = 0.5, 0.02


def main() -> None:
    worst, due, told = 0.0, time.monotonic() + STEP, time.monotonic() + SPAN
    while True:
        time.sleep(max(0.0, due - time.monotonic()))
        now = time.monotonic()
        worst, due = max(worst, now - due), now + STEP
        if now >= told:
            sys.stdout.write(f"{worst:.4f}\n")
            sys.stdout.flush()
            worst, told = 0.0, now + SPAN


if __name__ == "__main__":
    main()
