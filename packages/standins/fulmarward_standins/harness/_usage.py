"""Resource usage of a process, read from `/proc`."""

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, kw_only=True)
class Usage:
    """CPU time and memory of one process."""

    #: User and system CPU time, in seconds.
    cpu_s: float
    #: Resident memory in bytes.
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the resource usage of the process `pid`."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    ticks = int(stat[11]) + int(stat[12])
    return Usage(cpu_s=ticks / _TICKS_PER_S, resident_bytes=pages * _PAGE_BYTES)
