"""Free ports for programs under test."""

import itertools
import random
import socket
from pathlib import Path

from standins.common import LOOPBACK

MIN_PORT = 10_000
# Holds the lowest and the highest ephemeral port.
EPHEMERAL_PORT_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def free_ports(count: int) -> list[int]:
    """Return unused ports below the ephemeral range.

    The kernel assigns ephemeral ports to outgoing connections, which could take a port
    before the program under test listens on it.
    """
    lowest = int(EPHEMERAL_PORT_RANGE_FILE.read_text().split()[0])
    candidates = random.SystemRandom().sample(range(MIN_PORT, lowest), lowest // 4)
    free = (port for port in candidates if _can_bind(port))
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
