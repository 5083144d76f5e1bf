"""Free ports for programs under test."""

import fcntl
import itertools
import random
import socket
import tempfile
import threading
from pathlib import Path

from standins.common import LOOPBACK

MIN_PORT = 10_000
# Holds the lowest and the highest ephemeral port.
EPHEMERAL_PORT_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
# Shared by all test processes of this machine: the byte at a port's offset is locked by
# the process that the port was given to, until that process ends.
CLAIM_FILE = Path(tempfile.gettempdir()) / "masticfork-claimed-ports"


class _PortClaims:
    """Ports given to this process; no other test process on this machine gets them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._claimed: set[int] = set()
        self._file = CLAIM_FILE.open("ab")

    def claim(self, port: int) -> bool:
        """Claim a port; return whether it was unclaimed."""
        with self._lock:
            if port in self._claimed:
                return False
            try:
                fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
            except OSError:
                return False
            self._claimed.add(port)
            return True


_claims = _PortClaims()


def free_ports(count: int) -> list[int]:
    """Return unused ports below the ephemeral range, none of them a second time.

    The kernel assigns ephemeral ports to outgoing connections, which could take a port
    before the program under test listens on it.
    """
    lowest = int(EPHEMERAL_PORT_RANGE_FILE.read_text().split()[0])
    candidates = random.SystemRandom().sample(range(MIN_PORT, lowest), lowest // 4)
    free = (port for port in candidates if _claims.claim(port) and _can_bind(port))
    return list(itertools.islice(free, count))


def free_port() -> int:
    """Return one port as `free_ports` does."""
    return free_ports(1)[0]


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True
