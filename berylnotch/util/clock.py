"""Clock of leases and deadlines."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return seconds since the VM started, suspended time included.

    A lease or deadline must run out while the VM is suspended, which
    `time.monotonic` does not count.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
