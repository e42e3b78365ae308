"""Print twice a second the longest scheduling delay of this process, in seconds.

The delay shows what the machine does to any other process.
"""

import sys
import time

REPORT_INTERVAL_S, SLEEP_S = 0.5, 0.02


def main() -> None:
    """Sleep in short steps and print the longest delay of each interval, until killed."""
    max_delay, due, report_at = 0.0, time.monotonic() + SLEEP_S, time.monotonic() + REPORT_INTERVAL_S
    while True:
        time.sleep(max(0.0, due - time.monotonic()))
        now = time.monotonic()
        max_delay, due = max(max_delay, now - due), now + SLEEP_S
        if now >= report_at:
            sys.stdout.write(f"{max_delay:.4f}\n")
            sys.stdout.flush()
            max_delay, report_at = 0.0, now + REPORT_INTERVAL_S


if __name__ == "__main__":
    main()
