"""Limit on the number of file descriptors of a process."""

from __future__ import annotations

import resource
from contextlib import suppress

#: Descriptors of a process whose settings state none: 3,000 callers, as many requests
#: at targets, and links, listeners and files.
DEFAULT_MAX_DESCRIPTORS = 8192


def raise_descriptor_limit(max_descriptors: int = 0) -> None:
    """Raise the soft limit on descriptors; it is never lowered.

    Systems often start processes with a soft limit of 1,024, with which a router takes
    512 callers. If the system refuses a change, the limit stays as it is.

    Parameters
    ----------
    max_descriptors : int
        Limit to aim at; 0 for the default. The hard limit bounds it.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = max_descriptors or DEFAULT_MAX_DESCRIPTORS
    if hard != resource.RLIM_INFINITY:
        wanted = min(wanted, hard)
    if soft == resource.RLIM_INFINITY or wanted <= soft:
        return
    with suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
