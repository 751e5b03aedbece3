"""Clock for leases and deadlines."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return the seconds since the VM started, including time spent suspended.

    A lease or deadline must also expire while the VM is suspended. `time.monotonic`
    does not count that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
