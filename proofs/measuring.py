"""What a process takes of its machine, as the kernel tells it."""

import re
import time
from pathlib import Path

# A process that has nothing to read uses no more ticks than this in such a time.
REST_SECONDS, RESTING_TICKS = 0.2, 2
MAX_WAIT_SECONDS = 30.0


def peak_memory_mb(pid: int) -> float:
    """Return the peak of a process's resident memory in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert match is not None
    return int(match.group(1)) / 1024


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def wait_until_rested(pid: int) -> None:
    """Wait until a process has read what was sent to it, that is, until it rests."""
    deadline = time.monotonic() + MAX_WAIT_SECONDS
    resting = 0
    while resting < 3 and time.monotonic() < deadline:
        before = _processor_ticks(pid)
        time.sleep(REST_SECONDS)
        ticks = _processor_ticks(pid) - before
        resting = resting + 1 if ticks <= RESTING_TICKS else 0


def _processor_ticks(pid: int) -> int:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])
