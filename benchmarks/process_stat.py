"""Processor time and memory of a process, from /proc."""

from __future__ import annotations

import os
from pathlib import Path

from attrs import frozen

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@frozen
class ProcessStat:
    """What a process has used.

    Attributes
    ----------
    cpu_s : float
        Processor time since its start, in seconds.
    rss_mb, peak_rss_mb : float
        Resident memory now and at its highest, in MB.
    """

    cpu_s: float
    rss_mb: float
    peak_rss_mb: float


def read_process_stat(pid: int) -> ProcessStat:
    """Read what a process has used; raises `OSError` if it is gone."""
    folder = Path("/proc") / str(pid)
    # The second field is the program's name, which may hold spaces.
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
