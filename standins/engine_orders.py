"""Orders that an engine obeys: load, unload and role, with fencing numbers."""

import http.client
import json
import threading
import urllib.parse
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from standins.common import failure
from standins.records import Reply

LOADS_AT_ONCE = 2
FETCH_SECONDS = 120.0
RETRY_SECONDS = 1.0
KINDS = ("load", "unload", "role")


class Orders:
    """The versions loaded and the role, as orders change them."""

    def __init__(
        self,
        versions: tuple[str, ...],
        role: str,
        *,
        checks_fencing: bool,
        load_seconds: float,
        weight_store: str | None,
        unloaded: Callable[[str], None],
    ) -> None:
        self._versions = versions
        self._role = role
        self._checks_fencing = checks_fencing
        self._load_seconds = load_seconds
        self._weight_store = weight_store
        self._unloaded = unloaded
        self._lock = threading.Lock()
        self._greatest_fencing = 0
        self._received: list[dict[str, Any]] = []
        # Loads under way; an unload takes its version out of them.
        self._loading: set[str] = set()
        self._closed = threading.Event()
        self._pool = ThreadPoolExecutor(max_workers=LOADS_AT_ONCE)

    def versions(self) -> tuple[str, ...]:
        """Return the versions that are loaded."""
        return self._versions

    def role(self) -> str:
        """Return the role."""
        return self._role

    def received(self) -> list[dict[str, Any]]:
        """Return all orders received, each with whether it was accepted."""
        with self._lock:
            return list(self._received)

    def obey(self, order: dict[str, Any]) -> Reply:
        """Answer an order; a load goes on after the answer."""
        kind, fencing = order["kind"], int(order["fencing"])
        if kind not in KINDS:
            return failure(400, "unknown_kind")
        wanted = str(order["role" if kind == "role" else "version"])
        with self._lock:
            stale = self._checks_fencing and fencing < self._greatest_fencing
            self._received.append({**order, "accepted": not stale})
            if stale:
                return failure(409, "stale_fencing")
            self._greatest_fencing = max(self._greatest_fencing, fencing)
            if kind == "role":
                self._role = wanted
            elif kind == "unload":
                self._loading.discard(wanted)
                self._versions = tuple(v for v in self._versions if v != wanted)
                self._unloaded(wanted)
            elif wanted not in self._versions and wanted not in self._loading:
                self._loading.add(wanted)
                self._pool.submit(self._load, wanted)
            return Reply(200, {**order, "versions": list(self._versions)})

    def close(self) -> None:
        """End the loads under way."""
        self._closed.set()
        self._pool.shutdown(cancel_futures=True)

    def _load(self, version: str) -> None:
        while self._weight_store is not None and not self._closed.is_set():
            wait = _fetch(self._weight_store, version)
            if wait is None or self._closed.wait(wait):
                break
        if self._closed.wait(self._load_seconds):
            return
        with self._lock:
            if version in self._loading:
                self._loading.discard(version)
                self._versions = (*self._versions, version)


def _fetch(weight_store: str, version: str) -> float | None:
    """Fetch the weights; return how many seconds to wait before the next try."""
    address = urllib.parse.urlsplit(weight_store).netloc
    connection = http.client.HTTPConnection(address, timeout=FETCH_SECONDS)
    try:
        connection.request("POST", "/fetch", json.dumps({"version": version}))
        answer = connection.getresponse()
        answer.read()
        if answer.status == 200:
            return None
        return float(answer.headers.get("Retry-After", RETRY_SECONDS))
    except (OSError, http.client.HTTPException):
        return RETRY_SECONDS
    finally:
        connection.close()
