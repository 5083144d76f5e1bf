"""Tests of port allocation: no two programs under test get the same port."""

import random
import subprocess
import sys

from standins.ports import free_port

OTHER_PROCESS = """
import random, sys
from standins import ports
candidates = [int(argument) for argument in sys.argv[1:]]
random.SystemRandom.sample = lambda *_: candidates
print(ports.free_port())
"""


class TestPortAllocation:
    def test_ports_given_one_by_one_differ(self, monkeypatch):
        low, high = unclaimed_ports()
        monkeypatch.setattr(random.SystemRandom, "sample", lambda *_: [low, high])
        assert [free_port(), free_port()] == [low, high]

    def test_other_process_gets_another_port(self, monkeypatch):
        low, high = unclaimed_ports()
        monkeypatch.setattr(random.SystemRandom, "sample", lambda *_: [low, high])
        assert free_port() == low
        command = [sys.executable, "-c", OTHER_PROCESS, str(low), str(high)]
        output = subprocess.run(command, capture_output=True, text=True, check=True)
        assert int(output.stdout) == high


def unclaimed_ports():
    """Return two ports of another process that has ended, and with it its claims."""
    program = "from standins.ports import free_ports; print(*free_ports(2))"
    command = [sys.executable, "-c", program]
    output = subprocess.run(command, capture_output=True, text=True, check=True)
    return [int(port) for port in output.stdout.split()]
