"""Orders to an engine: load, unload and role, with fencing tokens."""

import http.client
import json
import threading
import urllib.parse
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from standins.common import error_reply
from standins.records import Reply

MAX_CONCURRENT_LOADS = 2
FETCH_TIMEOUT_SECONDS = 120.0
DEFAULT_RETRY_SECONDS = 1.0
KINDS = ("load", "unload", "role")


class Orders:
    """The loaded versions and the role of an engine, as changed by orders.

    If `checks_fencing` is set, an order is rejected when its fencing token is lower
    than the highest one accepted.
    """

    def __init__(
        self,
        versions: tuple[str, ...],
        role: str,
        *,
        checks_fencing: bool,
        load_seconds: float,
        weight_store: str | None,
        on_unload: Callable[[str], None],
    ) -> None:
        self._versions = versions
        self._role = role
        self._checks_fencing = checks_fencing
        self._load_seconds = load_seconds
        self._weight_store = weight_store
        self._on_unload = on_unload
        self._lock = threading.Lock()
        self._highest_fencing = 0
        self._received: list[dict[str, Any]] = []
        # Versions being loaded; an unload order removes its version.
        self._loading: set[str] = set()
        self._closed = threading.Event()
        self._pool = ThreadPoolExecutor(max_workers=MAX_CONCURRENT_LOADS)

    def versions(self) -> tuple[str, ...]:
        """Return the loaded versions."""
        return self._versions

    def role(self) -> str:
        """Return the current role."""
        return self._role

    def received(self) -> list[dict[str, Any]]:
        """Return all orders received, each with an `accepted` flag."""
        with self._lock:
            return list(self._received)

    def execute(self, order: dict[str, Any]) -> Reply:
        """Execute an order; a load continues after the response."""
        kind, fencing = order["kind"], int(order["fencing"])
        if kind not in KINDS:
            return error_reply(400, "unknown_kind")
        target = str(order["role" if kind == "role" else "version"])
        with self._lock:
            stale = self._checks_fencing and fencing < self._highest_fencing
            self._received.append({**order, "accepted": not stale})
            if stale:
                return error_reply(409, "stale_fencing")
            self._highest_fencing = max(self._highest_fencing, fencing)
            if kind == "role":
                self._role = target
            elif kind == "unload":
                self._loading.discard(target)
                self._versions = tuple(v for v in self._versions if v != target)
                self._on_unload(target)
            elif target not in self._versions and target not in self._loading:
                self._loading.add(target)
                self._pool.submit(self._load_version, target)
            return Reply(200, {**order, "versions": list(self._versions)})

    def close(self) -> None:
        """Abort the loads in progress."""
        self._closed.set()
        self._pool.shutdown(cancel_futures=True)

    def _load_version(self, version: str) -> None:
        while self._weight_store is not None and not self._closed.is_set():
            wait = _fetch_weights(self._weight_store, version)
            if wait is None or self._closed.wait(wait):
                break
        if self._closed.wait(self._load_seconds):
            return
        with self._lock:
            if version in self._loading:
                self._loading.discard(version)
                self._versions = (*self._versions, version)


def _fetch_weights(weight_store: str, version: str) -> float | None:
    """Fetch the weights; return None, or the seconds to wait before a retry."""
    netloc = urllib.parse.urlsplit(weight_store).netloc
    connection = http.client.HTTPConnection(netloc, timeout=FETCH_TIMEOUT_SECONDS)
    try:
        connection.request("POST", "/fetch", json.dumps({"version": version}))
        response = connection.getresponse()
        response.read()
        if response.status == 200:
            return None
        return float(response.headers.get("Retry-After", DEFAULT_RETRY_SECONDS))
    except (OSError, http.client.HTTPException):
        return DEFAULT_RETRY_SECONDS
    finally:
        connection.close()
