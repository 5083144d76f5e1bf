"""Stand-in for the platform's list of live and leaving hosts."""

import collections
import threading
import time
from typing import Any

import click

from standins.common import DEFAULT_THREADS, Faults, failure, run
from standins.records import Call, ConnectionDroppedError, Reply

HOSTS = "/hosts/"
FIELDS = ("name", "address", "zone", "kind", "state")
KINDS = ("entry", "engine", "service")
STATES = ("live", "leaving")
DEFAULT_LAG_SECONDS = 1.0


class HostList:
    """Hosts by name, told as they were some time ago."""

    def __init__(self, lag_seconds: float = DEFAULT_LAG_SECONDS) -> None:
        self.faults = Faults(down=False)
        self._lag_seconds = lag_seconds
        self._lock = threading.Lock()
        # Each change with its time, the oldest one that may be told first.
        self._states: collections.deque[tuple[float, dict[str, Any]]]
        self._states = collections.deque([(0.0, {})])
        self._reads = 0

    def counts(self) -> dict[str, Any]:
        """Return the number of reads."""
        return {"reads": self._reads}

    def closes_unread(self, *, reused: bool) -> bool:
        """Close every connection while down."""
        return bool(self.faults.get("down"))

    def close(self) -> None:
        """Do nothing: nothing runs in the background."""

    def handle(self, call: Call) -> Reply:
        """Answer one call."""
        if self.faults.get("down"):
            raise ConnectionDroppedError
        if (call.method, call.path) == ("GET", "/hosts"):
            return self._told(time.monotonic())
        name = call.path.removeprefix(HOSTS)
        if not call.path.startswith(HOSTS) or not name:
            return failure(404, "not_found")
        if call.method == "PUT":
            host = call.json()
            return self._change(name, {field: host[field] for field in FIELDS})
        if call.method == "DELETE":
            return self._change(name, None)
        return failure(405, "method_not_allowed")

    def _told(self, now: float) -> Reply:
        with self._lock:
            self._reads += 1
            told_until = now - self._lag_seconds
            while len(self._states) > 1 and self._states[1][0] <= told_until:
                self._states.popleft()
            hosts = self._states[0][1]
        return Reply(200, {"hosts": [hosts[name] for name in sorted(hosts)]})

    def _change(self, name: str, host: dict[str, Any] | None) -> Reply:
        with self._lock:
            hosts = dict(self._states[-1][1])
            if host is None:
                if hosts.pop(name, None) is None:
                    return failure(404, "not_found")
            else:
                known = host["kind"] in KINDS and host["state"] in STATES
                if not known or host["name"] != name:
                    return failure(400, "malformed", "kind, state or name")
                hosts[name] = host
            self._states.append((time.monotonic(), hosts))
        return Reply(200, host or {"name": name})


@click.command()
@click.option("--port", type=int, default=0)
@click.option("--lag-seconds", type=float, default=DEFAULT_LAG_SECONDS)
@click.option("--threads", type=int, default=DEFAULT_THREADS)
def main(port: int, lag_seconds: float, threads: int) -> None:
    """Run the list of hosts."""
    run(HostList(lag_seconds), port, threads)


if __name__ == "__main__":
    main()
