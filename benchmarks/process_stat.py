"""Processor time and memory of a process, from /proc."""

from __future__ import annotations

import os
from pathlib import Path

from attrs import frozen

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@frozen
class ProcessStat:
    """Processor time and memory that a process has used.

    Attributes
    ----------
    cpu_s : float
        Processor time since the start of the process, in seconds.
    rss_mb, peak_rss_mb : float
        Current and highest resident memory, in MB.
    """

    cpu_s: float
    rss_mb: float
    peak_rss_mb: float


def read_process_stat(pid: int) -> ProcessStat:
    """Read the processor time and memory of a process.

    Raises
    ------
    OSError
        If the process has ended.
    """
    folder = Path("/proc") / str(pid)
    # The second field, the program's name, may contain spaces.
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    status = {}
    for line in (folder / "status").read_text().splitlines():
        name, _, value = line.partition(":")
        status[name] = value.split()
    return ProcessStat(
        cpu_s=(int(fields[11]) + int(fields[12])) / _TICKS_PER_S,
        rss_mb=int(status["VmRSS"][0]) / 1024,
        peak_rss_mb=int(status["VmHWM"][0]) / 1024,
    )
