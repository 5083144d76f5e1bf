"""Distribution of small platform objects between hosts; the newest version wins.

A host that gets a newer version broadcasts it to its neighbours immediately. It also
sends its known versions to one neighbour per round, in turn, which replies with the
objects it has newer, so that a lost message delays a change by one round at most.
"""

import itertools
import json
import threading
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Severity, SourceLocation
from masticfork.core.ids import HostName
from masticfork.core.tables import Tables
from masticfork.peers.messages import Body, Evidence
from masticfork.peers.records import Sender
from masticfork.store.client import StoredObject

SHARED_PREFIX = "shared/"
OBJECTS_TOPIC = "objects"
VERSIONS_TOPIC = "object-versions"
ROUND_SECONDS = 2.0

Apply = Callable[[StoredObject], None]


class PeerTransport(Protocol):
    """Part of the peer link that the relay uses."""

    @property
    def linked(self) -> frozenset[HostName]:
        """Return the connected neighbours."""

    def broadcast(self, body: Body) -> int:
        """Queue a message to all neighbours."""

    def send(self, host: HostName, body: Body) -> bool:
        """Queue a message to one neighbour."""


class ObjectRelay:
    """Keeps the newest known version of each object; thread-safe."""

    def __init__(self, apply: Apply) -> None:
        self._apply = apply
        self._lock = threading.Lock()
        self._objects: dict[str, StoredObject] = {}
        self._transport: PeerTransport | None = None
        self._next_round = Deadline(0.0)
        self._rounds = itertools.count()
        self._malformed_reported = 0
        self._malformed_count = 0

    def set_transport(self, transport: PeerTransport) -> None:
        """Set the transport, without which no messages are sent."""
        self._transport = transport

    def get(self, key: str) -> StoredObject | None:
        """Return the newest known object with a key, or None."""
        return self._objects.get(key)

    def apply_newer(self, objects: Iterable[StoredObject]) -> None:
        """Apply the objects that are newer than the known ones, and broadcast them."""
        newer = [stored for stored in objects if self._apply_if_newer(stored)]
        if newer and self._transport is not None:
            self._transport.broadcast(_encode_objects(newer))

    def on_objects(self, sender: Sender, body: Evidence) -> None:
        """Process objects from a neighbour."""
        objects = _decode_objects(body.payload)
        if objects is None:
            self._malformed_count += 1
            return
        self.apply_newer(objects)

    def on_versions(self, sender: Sender, body: Evidence) -> None:
        """Reply to a neighbour's versions with the objects that are newer here."""
        versions = _decode_versions(body.payload)
        if versions is None:
            self._malformed_count += 1
            return
        with self._lock:
            newer = [
                stored
                for key, stored in self._objects.items()
                if stored.version > versions.get(key, 0)
            ]
        if newer and self._transport is not None:
            self._transport.send(sender.host, _encode_objects(newer))

    def run(self, tables: Tables, now: float) -> Findings:
        """Send the known versions to the next neighbour; report malformed messages."""
        if self._transport is not None and self._next_round.expired(now):
            self._next_round = Deadline.after(now, ROUND_SECONDS)
            neighbours = sorted(self._transport.linked)
            if neighbours:
                index = next(self._rounds) % len(neighbours)
                self._transport.send(neighbours[index], self._encode_versions())
        return self._malformed_findings()

    def _apply_if_newer(self, stored: StoredObject) -> bool:
        with self._lock:
            known = self._objects.get(stored.key)
            if known is not None and stored.version <= known.version:
                return False
            self._objects[stored.key] = stored
            # Applied under the lock, so that an older version is never applied later.
            self._apply(stored)
            return True

    def _encode_versions(self) -> Evidence:
        with self._lock:
            versions = {key: stored.version for key, stored in self._objects.items()}
        return Evidence(VERSIONS_TOPIC, json.dumps(versions).encode())

    def _malformed_findings(self) -> Findings:
        if self._malformed_count == self._malformed_reported:
            return ()
        self._malformed_reported = self._malformed_count
        message = f"{self._malformed_count} malformed object messages since start"
        place = SourceLocation("peers", OBJECTS_TOPIC)
        return (Finding("object_message_malformed", place, message, Severity.WARNING),)


def _encode_objects(objects: Iterable[StoredObject]) -> Evidence:
    rows = [attrs.asdict(stored) for stored in objects]
    return Evidence(OBJECTS_TOPIC, json.dumps(rows).encode())


def _decode_objects(payload: bytes) -> list[StoredObject] | None:
    try:
        rows = json.loads(payload)
        objects = [
            StoredObject(row["key"], row["version"], row["value"]) for row in rows
        ]
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    return objects if all(_is_valid(stored) for stored in objects) else None


def _is_valid(stored: StoredObject) -> bool:
    shared = isinstance(stored.key, str) and stored.key.startswith(SHARED_PREFIX)
    return shared and type(stored.version) is int and isinstance(stored.value, dict)


def _decode_versions(payload: bytes) -> dict[str, int] | None:
    try:
        versions = json.loads(payload)
    except (ValueError, RecursionError):
        return None
    if not isinstance(versions, dict):
        return None
    return versions if all(type(v) is int for v in versions.values()) else None
