"""Stand-in for the platform's list of live and leaving hosts."""

import collections
import threading
import time
from typing import Any

import click

from standins.common import DEFAULT_THREADS, Faults, error_reply, run
from standins.records import Call, ConnectionDroppedError, Reply

HOSTS = "/hosts/"
FIELDS = ("name", "address", "zone", "kind", "state")
KINDS = ("entry", "engine", "service")
STATES = ("live", "leaving")
DEFAULT_LAG_SECONDS = 1.0


class HostList:
    """Hosts by name; reads return the list as it was `lag_seconds` ago."""

    def __init__(self, lag_seconds: float = DEFAULT_LAG_SECONDS) -> None:
        # `down` drops all connections.
        self.faults = Faults(down=False)
        self._lag_seconds = lag_seconds
        self._lock = threading.Lock()
        # The list after each change, with the change's time. The first is the newest
        # one that was already visible at the last read.
        self._snapshots: collections.deque[tuple[float, dict[str, Any]]]
        self._snapshots = collections.deque([(0.0, {})])
        self._reads = 0

    def counts(self) -> dict[str, Any]:
        """Return the number of reads of the list."""
        return {"reads": self._reads}

    def should_close_before_read(self, *, reused: bool) -> bool:
        """Return whether the `down` fault is set; it drops every connection."""
        return bool(self.faults.get("down"))

    def close(self) -> None:
        """Do nothing; this stand-in has no background threads."""

    def handle(self, call: Call) -> Reply:
        """Handle one request."""
        if self.faults.get("down"):
            raise ConnectionDroppedError
        if (call.method, call.path) == ("GET", "/hosts"):
            return self._list_hosts(time.monotonic())
        name = call.path.removeprefix(HOSTS)
        if not call.path.startswith(HOSTS) or not name:
            return error_reply(404, "not_found")
        if call.method == "PUT":
            host = call.json()
            return self._update(name, {field: host[field] for field in FIELDS})
        if call.method == "DELETE":
            return self._update(name, None)
        return error_reply(405, "method_not_allowed")

    def _list_hosts(self, now: float) -> Reply:
        with self._lock:
            self._reads += 1
            visible_until = now - self._lag_seconds
            while len(self._snapshots) > 1 and self._snapshots[1][0] <= visible_until:
                self._snapshots.popleft()
            hosts = self._snapshots[0][1]
        return Reply(200, {"hosts": [hosts[name] for name in sorted(hosts)]})

    def _update(self, name: str, host: dict[str, Any] | None) -> Reply:
        with self._lock:
            hosts = dict(self._snapshots[-1][1])
            if host is None:
                if hosts.pop(name, None) is None:
                    return error_reply(404, "not_found")
            else:
                valid = host["kind"] in KINDS and host["state"] in STATES
                if not valid or host["name"] != name:
                    return error_reply(400, "malformed", "kind, state or name")
                hosts[name] = host
            self._snapshots.append((time.monotonic(), hosts))
        return Reply(200, host or {"name": name})


@click.command()
@click.option("--port", type=int, default=0)
@click.option("--lag-seconds", type=float, default=DEFAULT_LAG_SECONDS)
@click.option("--threads", type=int, default=DEFAULT_THREADS)
def main(port: int, lag_seconds: float, threads: int) -> None:
    """Run the host list."""
    run(HostList(lag_seconds), port, threads)


if __name__ == "__main__":
    main()
