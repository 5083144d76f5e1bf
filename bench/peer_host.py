"""One small host for `bench.peers`: a peer node, a tick, and a line of commands.

Commands on standard input, one a line, each answered by one JSON line:
`counts`, `offer NUMBER`, `await NUMBER`, `hosts`.
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
AWAIT_SECONDS = 20.0
KEY = PeerKey("bench", b"a key for the benchmark only")
MANIFEST = Path(__file__).parents[1] / "examples" / "platnosoft.jsonc"


def check(
    number: int, submission_id: str, text: str
) -> Result[Configuration, Findings]:
    """Check a manifest as a daemon does."""
    parsed = parse_manifest(text, submission_id)
    return parsed.map(lambda found: Configuration(number, submission_id, found[0]))


class Host:
    """The node with what the commands ask of it."""

    def __init__(self, name: str, zone: str, address: str, seed: str) -> None:
        self._tables = Tables(
            SelfRow(HostName(name), ZoneName(zone), region=RegionName("r1"))
        )
        link = LinkSettings(HostName(name), ZoneName(zone), address, (KEY,), 1, (seed,))
        settings = NodeSettings(link, address, confirm_seconds=900.0)
        self._node = PeerNode(settings, self._tables, check, None, time.time)
        self._text = MANIFEST.read_text()

    def start(self) -> None:
        """Start the node and its tick."""
        self._node.start().unwrap()
        threading.Thread(target=self._tick, daemon=True).start()

    def stop(self) -> None:
        """Leave the peers."""
        self._node.stop()

    def answer(self, command: str, number: int) -> dict[str, Any]:
        """Carry out one command."""
        if command == "counts":
            return self._counts()
        if command == "hosts":
            return {"alive": self._alive(), "links": len(self._node.link.linked)}
        started = time.monotonic()
        if command == "offer":
            self._node.relay.offer(number, f"bench-{number}", self._text)
        end = started + AWAIT_SECONDS
        while self._node.relay.number < number and time.monotonic() < end:
            time.sleep(POLL_SECONDS)
        reached = self._node.relay.number >= number
        return {"started": started, "at": time.monotonic() if reached else None}

    def _tick(self) -> None:
        while True:
            time.sleep(TICK_SECONDS)
            self._node.run(self._tables, time.time())

    def _alive(self) -> int:
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
    host = Host(name, zone, address, seed)
    host.start()
    for line in sys.stdin:
        command, _, number = line.strip().partition(" ")
        answer = host.answer(command, int(number or 0))
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
    host.stop()


if __name__ == "__main__":
    main()
