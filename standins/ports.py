"""Free ports for programs under test."""

import itertools
import random
import socket
from pathlib import Path

from standins.common import LOOPBACK

LEAST_PORT = 10_000
# Holds the least and the greatest port of outgoing connections.
PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def free_ports(count: int) -> list[int]:
    """Return ports that no program takes for its outgoing connections."""
    lowest = int(PORT_RANGE.read_text().split()[0])
    candidates = random.SystemRandom().sample(range(LEAST_PORT, lowest), lowest // 4)
    free = (port for port in candidates if _binds(port))
    return list(itertools.islice(free, count))


def free_port() -> int:
    """Return one such port."""
    return free_ports(1)[0]


def _binds(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True
