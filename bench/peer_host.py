"""A minimal host process for `bench.peers`: a peer node that ticks.

Reads commands from standard input, one per line, and answers each with a line of
JSON: `counts`, `offer NUMBER`, `await NUMBER`, `hosts`.
"""

import json
import resource
import sys
import threading
import time
from pathlib import Path
from typing import Any

import click
from result import Result

from masticfork.core.configuration import Configuration
from masticfork.core.findings import Findings
from masticfork.core.hosts import HostState, RegionName
from masticfork.core.ids import HostName, ZoneName
from masticfork.core.tables import SelfRow, Tables
from masticfork.peers.authentication import PeerKey
from masticfork.peers.node import NodeSettings, PeerNode
from masticfork.peers.records import LinkSettings
from masticfork.settings.manifest import parse_manifest

TICK_SECONDS = 0.25
POLL_SECONDS = 0.001
AWAIT_TIMEOUT_SECONDS = 20.0
KEY = PeerKey("bench", b"a key for the benchmark only")
MANIFEST = Path(__file__).parents[1] / "examples" / "platnosoft.jsonc"


def parse_configuration(
    number: int, submission_id: str, text: str
) -> Result[Configuration, Findings]:
    """Parse and check a manifest as a daemon does."""
    parsed = parse_manifest(text, submission_id)
    return parsed.map(lambda valid: Configuration(number, submission_id, valid[0]))


class PeerHost:
    """A peer node and the commands that it executes."""

    def __init__(self, name: str, zone: str, address: str, seed: str) -> None:
        self._tables = Tables(
            SelfRow(HostName(name), ZoneName(zone), region=RegionName("r1"))
        )
        link = LinkSettings(HostName(name), ZoneName(zone), address, (KEY,), 1, (seed,))
        settings = NodeSettings(link, address, confirm_seconds=900.0)
        self._node = PeerNode(
            settings, self._tables, parse_configuration, None, time.time
        )
        self._manifest_text = MANIFEST.read_text()

    def start(self) -> None:
        """Start the node and the thread that ticks it."""
        self._node.start().unwrap()
        threading.Thread(target=self._tick, daemon=True).start()

    def stop(self) -> None:
        """Stop the node."""
        self._node.stop()

    def execute(self, command: str, number: int) -> dict[str, Any]:
        """Execute a command and return its result.

        `await` returns None as `at` if the configuration does not arrive in time.
        """
        if command == "counts":
            return self._counts()
        if command == "hosts":
            return {"alive": self._alive_count(), "links": len(self._node.link.linked)}
        started = time.monotonic()
        if command == "offer":
            self._node.relay.apply_from_platform(
                number, f"bench-{number}", self._manifest_text
            )
        deadline = started + AWAIT_TIMEOUT_SECONDS
        while self._node.relay.number < number and time.monotonic() < deadline:
            time.sleep(POLL_SECONDS)
        received = self._node.relay.number >= number
        return {"started": started, "at": time.monotonic() if received else None}

    def _tick(self) -> None:
        while True:
            time.sleep(TICK_SECONDS)
            self._node.run(self._tables, time.time())

    def _alive_count(self) -> int:
        rows = self._tables.hosts.copy().values()
        return sum(row.state is HostState.ALIVE for row in rows)

    def _counts(self) -> dict[str, Any]:
        counts = self._node.link.counts
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "at": time.monotonic(),
            "cpu_seconds": usage.ru_utime + usage.ru_stime,
            "resident_mb": usage.ru_maxrss / 1024,
            "sent_messages": sum(counts.sent_messages.values()),
            "sent_bytes": sum(counts.sent_bytes.values()),
            "received_bytes": sum(counts.received_bytes.values()),
            "links": len(self._node.link.linked),
        }


@click.command()
@click.argument("name")
@click.argument("zone")
@click.argument("address")
@click.argument("seed")
def main(name: str, zone: str, address: str, seed: str) -> None:
    """Serve commands until standard input ends."""
    host = PeerHost(name, zone, address, seed)
    host.start()
    for line in sys.stdin:
        command, _, number = line.strip().partition(" ")
        response = host.execute(command, int(number or 0))
        sys.stdout.write(json.dumps(response) + "\n")
        sys.stdout.flush()
    host.stop()


if __name__ == "__main__":
    main()
