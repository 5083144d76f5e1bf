"""Stand-in for the users' store of objects: kinds, revisions, status, watches."""

import json
import threading
import time
from typing import Any
from urllib.parse import unquote

import attrs

from standins.common import Faults, failure
from standins.records import Call, ConnectionDroppedError, Reply

OBJECTS = "/masticfork/objects/"
PAGE_ITEMS = 500
MAX_WAIT_SECONDS = 30.0
WAIT_STEP_SECONDS = 0.1


@attrs.define
class _Stored:
    name: str
    created: int
    revision: int
    spec: Any
    status: Any = None

    def wire(self) -> dict[str, Any]:
        """Return the object as the store writes it."""
        metadata = {
            "name": self.name,
            "revision": self.revision,
            "create_rev": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"metadata": metadata, "spec": self.spec, "status": self.status}


class ObjectStore:
    """Objects by kind and name under one growing revision."""

    def __init__(self) -> None:
        # `down` answers 503; `silent` answers nothing for a while; `lose_answers` does
        # that many writes without an answer.
        self.faults = Faults(down=False, silent_seconds=0, lose_answers=0)
        self._changed = threading.Condition()
        self._kinds: dict[str, dict[str, _Stored]] = {}
        self._events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._revision = 1
        self._forgotten = 0
        self._calls = 0

    def counts(self) -> dict[str, Any]:
        """Return the number of calls."""
        return {"calls": self._calls}

    def closes_unread(self, *, reused: bool) -> bool:
        """Read every request."""
        return False

    def close(self) -> None:
        """Wake the waiting watches."""
        self.faults.set({"down": True})
        with self._changed:
            self._changed.notify_all()

    # What the operator and the servers do.

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object's spec."""
        with self._changed:
            stored = self._kinds.setdefault(kind, {}).get(name)
            if stored is None:
                stored = _Stored(name, self._revision + 1, 0, spec)
                self._kinds[kind][name] = stored
            stored.spec = spec
            self._note(kind, stored, deleted=False)

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        with self._changed:
            stored = self._kinds.get(kind, {}).pop(name, None)
            if stored is not None:
                self._note(kind, stored, deleted=True)

    def status(self, kind: str, name: str) -> Any:
        """Return an object's status."""
        with self._changed:
            stored = self._kinds.get(kind, {}).get(name)
            return None if stored is None else stored.status

    def forget_history(self) -> None:
        """Answer 410 to watches of anything before now."""
        with self._changed:
            self._forgotten = self._revision
            self._events.clear()
            self._changed.notify_all()

    # What the hosts call.

    def handle(self, call: Call) -> Reply:
        """Answer one call."""
        self._calls += 1
        time.sleep(self.faults.get("silent_seconds") or 0)
        if self.faults.get("down"):
            return failure(503, "down")
        if not call.path.startswith(OBJECTS):
            return failure(404, "not_found")
        kind, _, rest = call.path.removeprefix(OBJECTS).partition("/")
        name, _, part = rest.partition("/")
        if call.method == "GET" and "watch" in call.query:
            return self._watch(kind, call)
        with self._changed:
            if call.method == "GET":
                return self._get(kind, unquote(name)) if name else self._list(kind)
            reply = self._write(call, kind, unquote(name), part)
        if reply.status == 200 and self.faults.take("lose_answers"):
            raise ConnectionDroppedError
        return reply

    def _list(self, kind: str) -> Reply:
        items = [row.wire() for row in self._kinds.get(kind, {}).values()]
        body = {"items": items, "truncated": False, "store_revision": self._revision}
        return Reply(200, body)

    def _get(self, kind: str, name: str) -> Reply:
        stored = self._kinds.get(kind, {}).get(name)
        return (
            failure(404, "not_found") if stored is None else Reply(200, stored.wire())
        )

    def _watch(self, kind: str, call: Call) -> Reply:
        since = int(call.query["watch"])
        wait = min(MAX_WAIT_SECONDS, int(call.query.get("wait_ms", "0")) / 1000)
        until = time.monotonic() + wait
        with self._changed:
            while True:
                if self.faults.get("down"):
                    return failure(503, "down")
                if since < self._forgotten:
                    return failure(410, "gone")
                found = [e for e in self._events if e[0] > since and e[1] == kind]
                left = until - time.monotonic()
                if found or left <= 0:
                    events = [{"deleted": e[2], "object": e[3]} for e in found]
                    body = {"events": events, "store_revision": self._revision}
                    return Reply(200, body)
                self._changed.wait(min(left, WAIT_STEP_SECONDS))

    def _write(self, call: Call, kind: str, name: str, part: str) -> Reply:
        body = call.json()
        metadata = body.get("metadata", {})
        if call.method == "POST":
            name = metadata["name"]
            if name in self._kinds.get(kind, {}):
                return Reply(409, self._kinds[kind][name].wire())
            stored = _Stored(name, self._revision + 1, 0, body.get("spec"))
            self._kinds.setdefault(kind, {})[name] = stored
            self._note(kind, stored, deleted=False)
            return Reply(200, stored.wire())
        found = self._kinds.get(kind, {}).get(name)
        if found is None:
            return failure(404, "not_found")
        if metadata.get("revision", found.revision) != found.revision:
            return Reply(409, found.wire())
        if part == "status":
            found.status = body.get("status")
        else:
            found.spec = body.get("spec")
        self._note(kind, found, deleted=False)
        return Reply(200, found.wire())

    def _note(self, kind: str, stored: _Stored, *, deleted: bool) -> None:
        self._revision += 1
        stored.revision = self._revision
        wire = json.loads(json.dumps(stored.wire()))
        self._events.append((self._revision, kind, deleted, wire))
        self._changed.notify_all()
