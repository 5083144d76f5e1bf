"""Stand-in for the users' object store: kinds, revisions, status and watches."""

import copy
import itertools
import json
import threading
import time
from typing import Any
from urllib.parse import unquote

import attrs

from standins.common import Faults, error_reply
from standins.records import Call, ConnectionDroppedError, Reply

OBJECTS_PATH = "/masticfork/objects/"
# A page of a listing ends before the object that makes it larger, but its first.
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
MAX_WATCH_SECONDS = 30.0
WATCH_RECHECK_SECONDS = 0.1


@attrs.frozen
class StoreCopy:
    """A copy of the store's objects, from which it can be restored."""

    objects: dict[str, dict[str, "_StoredObject"]]
    revision: int


@attrs.define
class _StoredObject:
    name: str
    # The revision that created the object.
    created: int
    revision: int
    spec: Any
    status: Any = None

    def to_json(self) -> dict[str, Any]:
        """Return the object as the store's API returns it."""
        metadata = {
            "name": self.name,
            "revision": self.revision,
            "create_rev": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"metadata": metadata, "spec": self.spec, "status": self.status}


class ObjectStore:
    """Objects by kind and name, with one revision counter for all changes."""

    def __init__(self) -> None:
        # `down` returns 503. `silent_seconds` delays every response. `lose_answers`
        # drops the connection after that many successful writes instead of responding.
        # `hide_era` leaves out the header that tells the era.
        self.faults = Faults(
            down=False, silent_seconds=0, lose_answers=0, hide_era=False
        )
        self._changed = threading.Condition()
        self._objects: dict[str, dict[str, _StoredObject]] = {}
        self._events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._revision = 1
        self._compacted_revision = 0
        self._era = 1
        self._calls = 0
        # Bytes to be sent in the place of markers among the encoded objects.
        self._raw_values: dict[bytes, bytes] = {}
        self._raw_numbers = itertools.count()

    def counts(self) -> dict[str, Any]:
        """Return the number of requests."""
        return {"calls": self._calls}

    def should_close_before_read(self, *, reused: bool) -> bool:
        """Return False; this stand-in reads every request."""
        return False

    def close(self) -> None:
        """Wake waiting watches and make all further requests fail."""
        self.faults.set({"down": True})
        with self._changed:
            self._changed.notify_all()

    # Changes made directly by tests, on behalf of operators and servers.

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create an object, or replace its spec."""
        with self._changed:
            stored = self._objects.setdefault(kind, {}).get(name)
            if stored is None:
                stored = _StoredObject(name, self._revision + 1, 0, spec)
                self._objects[kind][name] = stored
            stored.spec = spec
            self._log_change(kind, stored, deleted=False)

    def put_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Create an object, or replace its spec, with bytes that need not be JSON."""
        marker = f"raw-{next(self._raw_numbers)}"
        self._raw_values[json.dumps(marker).encode()] = spec
        self.put(kind, name, marker)

    def remove(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        with self._changed:
            stored = self._objects.get(kind, {}).pop(name, None)
            if stored is not None:
                self._log_change(kind, stored, deleted=True)

    def holds(self, kind: str, name: str) -> bool:
        """Return whether an object exists."""
        with self._changed:
            return name in self._objects.get(kind, {})

    def status(self, kind: str, name: str) -> Any:
        """Return an object's status, or None if it does not exist."""
        with self._changed:
            stored = self._objects.get(kind, {}).get(name)
            return None if stored is None else stored.status

    def compact(self) -> None:
        """Drop the history; watches from an earlier revision return 410."""
        with self._changed:
            self._compacted_revision = self._revision
            self._events.clear()
            self._changed.notify_all()

    def take_copy(self) -> StoreCopy:
        """Return a copy of all objects."""
        with self._changed:
            return StoreCopy(copy.deepcopy(self._objects), self._revision)

    def restore(self, stored_copy: StoreCopy) -> None:
        """Lose all changes since the copy; later ones get the same revisions again."""
        with self._changed:
            self._objects = copy.deepcopy(stored_copy.objects)
            self._revision = stored_copy.revision
            self._events = [e for e in self._events if e[0] <= self._revision]
            self._era += 1
            self._changed.notify_all()

    # The HTTP API used by the hosts.

    def handle(self, call: Call) -> Reply:
        """Handle one request."""
        era = self._era
        reply = self._handle(call)
        if era != self._era:
            # Calls in progress when the store goes away get no response.
            raise ConnectionDroppedError
        if self._raw_values and call.method == "GET":
            reply = self._with_raw_values(reply)
        if self.faults.get("hide_era"):
            return reply
        return attrs.evolve(reply, headers=(("Store-Era", str(era)),))

    def _with_raw_values(self, reply: Reply) -> Reply:
        """Replace the markers in a reply by the bytes that they stand for."""
        body = json.dumps(reply.body).encode()
        for marker, value in list(self._raw_values.items()):
            body = body.replace(marker, value)
        return attrs.evolve(reply, stream=lambda write: write(body))

    def _handle(self, call: Call) -> Reply:
        self._calls += 1
        time.sleep(self.faults.get("silent_seconds") or 0)
        if self.faults.get("down"):
            return error_reply(503, "down")
        if not call.path.startswith(OBJECTS_PATH):
            return error_reply(404, "not_found")
        kind, _, rest = call.path.removeprefix(OBJECTS_PATH).partition("/")
        name, _, subresource = rest.partition("/")
        if call.method == "GET" and "watch" in call.query:
            return self._watch(kind, call)
        with self._changed:
            if call.method == "GET":
                after = call.query.get("after_revision", "")
                name = unquote(name)
                return self._get(kind, name) if name else self._list(kind, after)
            reply = self._write(call, kind, unquote(name), subresource)
        if reply.status == 200 and self.faults.consume("lose_answers"):
            raise ConnectionDroppedError
        return reply

    def _list(self, kind: str, after: str) -> Reply:
        """Return the page of the objects whose names follow one."""
        objects = self._objects.get(kind, {})
        items: list[dict[str, Any]] = []
        size, truncated = 0, False
        for name in sorted(name for name in objects if name > after):
            item = objects[name].to_json()
            size += self._size(item)
            truncated = len(items) == PAGE_ITEMS or (size > PAGE_BYTES and bool(items))
            if truncated:
                break
            items.append(item)
        body = {"items": items, "truncated": truncated}
        return Reply(200, body | {"store_revision": self._revision})

    def _size(self, item: dict[str, Any]) -> int:
        """Return the length of an object as it is sent."""
        encoded = json.dumps(item).encode()
        raw = self._raw_values.get(json.dumps(item["spec"]).encode())
        return len(encoded) + (0 if raw is None else len(raw))

    def _get(self, kind: str, name: str) -> Reply:
        stored = self._objects.get(kind, {}).get(name)
        return (
            error_reply(404, "not_found")
            if stored is None
            else Reply(200, stored.to_json())
        )

    def _watch(self, kind: str, call: Call) -> Reply:
        since = int(call.query["watch"])
        wait = min(MAX_WATCH_SECONDS, int(call.query.get("wait_ms", "0")) / 1000)
        deadline = time.monotonic() + wait
        with self._changed:
            while True:
                if self.faults.get("down"):
                    return error_reply(503, "down")
                if not self._compacted_revision <= since <= self._revision:
                    return error_reply(410, "gone")
                found = [e for e in self._events if e[0] > since and e[1] == kind]
                remaining = deadline - time.monotonic()
                if found or remaining <= 0:
                    events = [{"deleted": e[2], "object": e[3]} for e in found]
                    body = {"events": events, "store_revision": self._revision}
                    return Reply(200, body)
                self._changed.wait(min(remaining, WATCH_RECHECK_SECONDS))

    def _write(self, call: Call, kind: str, name: str, subresource: str) -> Reply:
        body = call.json()
        metadata = body.get("metadata", {})
        if call.method == "POST":
            name = metadata["name"]
            if name in self._objects.get(kind, {}):
                return Reply(409, self._objects[kind][name].to_json())
            stored = _StoredObject(name, self._revision + 1, 0, body.get("spec"))
            self._objects.setdefault(kind, {})[name] = stored
            self._log_change(kind, stored, deleted=False)
            return Reply(200, stored.to_json())
        existing = self._objects.get(kind, {}).get(name)
        if existing is None:
            return error_reply(404, "not_found")
        if metadata.get("revision", existing.revision) != existing.revision:
            return Reply(409, existing.to_json())
        if subresource == "status":
            existing.status = body.get("status")
        else:
            existing.spec = body.get("spec")
        self._log_change(kind, existing, deleted=False)
        return Reply(200, existing.to_json())

    def _log_change(self, kind: str, stored: _StoredObject, *, deleted: bool) -> None:
        """Assign the next revision and append the change to the watch history."""
        self._revision += 1
        stored.revision = self._revision
        snapshot = json.loads(json.dumps(stored.to_json()))
        self._events.append((self._revision, kind, deleted, snapshot))
        self._changed.notify_all()
