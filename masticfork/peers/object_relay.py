"""Spread small platform objects between hosts: the newest version of each wins.

A host that learns something newer tells its neighbours at once. Each neighbour is
also told, in turn, which versions this host has; it answers with what is newer, so
that a lost message delays a change by one round at most.
"""

import itertools
import json
import threading
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding, Findings, Place, Severity
from masticfork.core.ids import HostName
from masticfork.core.tables import Tables
from masticfork.peers.messages import Body, Evidence
from masticfork.peers.records import Sender
from masticfork.store.client import StoredObject

SHARED_PREFIX = "shared/"
NEWS_TOPIC = "objects"
VERSIONS_TOPIC = "object-versions"
ROUND_SECONDS = 2.0

Apply = Callable[[StoredObject], None]


class Courier(Protocol):
    """The part of the peer link that carries the objects."""

    @property
    def linked(self) -> frozenset[HostName]:
        """Return the neighbours."""

    def broadcast(self, body: Body) -> int:
        """Queue a message to all neighbours."""

    def send(self, host: HostName, body: Body) -> bool:
        """Queue a message to one neighbour."""


class ObjectRelay:
    """The newest objects that this host knows, safe for threads."""

    def __init__(self, apply: Apply) -> None:
        self._apply = apply
        self._lock = threading.Lock()
        self._objects: dict[str, StoredObject] = {}
        self._courier: Courier | None = None
        self._next_round = Deadline(0.0)
        self._rounds = itertools.count()
        self._malformed_told = 0
        self._malformed_seen = 0

    def use(self, courier: Courier) -> None:
        """Carry messages by this courier from now on."""
        self._courier = courier

    def get(self, key: str) -> StoredObject | None:
        """Return the newest known object of a key."""
        return self._objects.get(key)

    def offer(self, objects: Iterable[StoredObject]) -> None:
        """Take in objects; those that are newer are applied and passed on."""
        news = [stored for stored in objects if self._take(stored)]
        if news and self._courier is not None:
            self._courier.broadcast(_news(news))

    def on_news(self, sender: Sender, body: Evidence) -> None:
        """Take in objects that a neighbour passes on."""
        objects = _parse_news(body.payload)
        if objects is None:
            self._malformed_seen += 1
            return
        self.offer(objects)

    def on_versions(self, sender: Sender, body: Evidence) -> None:
        """Answer a neighbour's versions with what is newer here."""
        versions = _parse_versions(body.payload)
        if versions is None:
            self._malformed_seen += 1
            return
        with self._lock:
            newer = [
                stored
                for key, stored in self._objects.items()
                if stored.version > versions.get(key, 0)
            ]
        if newer and self._courier is not None:
            self._courier.send(sender.host, _news(newer))

    def run(self, tables: Tables, now: float) -> Findings:
        """Tell one neighbour, in turn, which versions are known here."""
        if self._courier is not None and self._next_round.expired(now):
            self._next_round = Deadline.after(now, ROUND_SECONDS)
            neighbours = sorted(self._courier.linked)
            if neighbours:
                turn = next(self._rounds) % len(neighbours)
                self._courier.send(neighbours[turn], self._versions())
        return self._report()

    def _take(self, stored: StoredObject) -> bool:
        with self._lock:
            known = self._objects.get(stored.key)
            if known is not None and stored.version <= known.version:
                return False
            self._objects[stored.key] = stored
            # Applied under the lock, so that an older one is never applied later.
            self._apply(stored)
            return True

    def _versions(self) -> Evidence:
        with self._lock:
            versions = {key: stored.version for key, stored in self._objects.items()}
        return Evidence(VERSIONS_TOPIC, json.dumps(versions).encode())

    def _report(self) -> Findings:
        if self._malformed_seen == self._malformed_told:
            return ()
        self._malformed_told = self._malformed_seen
        message = f"{self._malformed_seen} malformed object messages so far"
        place = Place("peers", NEWS_TOPIC)
        return (Finding("object_message_malformed", place, message, Severity.WARNING),)


def _news(objects: Iterable[StoredObject]) -> Evidence:
    rows = [attrs.asdict(stored) for stored in objects]
    return Evidence(NEWS_TOPIC, json.dumps(rows).encode())


def _parse_news(payload: bytes) -> list[StoredObject] | None:
    try:
        rows = json.loads(payload)
        objects = [
            StoredObject(row["key"], row["version"], row["value"]) for row in rows
        ]
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    return objects if all(_well_formed(stored) for stored in objects) else None


def _well_formed(stored: StoredObject) -> bool:
    shared = isinstance(stored.key, str) and stored.key.startswith(SHARED_PREFIX)
    return shared and type(stored.version) is int and isinstance(stored.value, dict)


def _parse_versions(payload: bytes) -> dict[str, int] | None:
    try:
        versions = json.loads(payload)
    except (ValueError, RecursionError):
        return None
    if not isinstance(versions, dict):
        return None
    return versions if all(type(v) is int for v in versions.values()) else None
