"""Drains of backend servers and entry hosts, each stored as one object."""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.admin.backend import ChangeRequest
from masticfork.admin.problems import Problem, ProblemCode
from masticfork.admin.views import DrainView
from masticfork.core.deadlines import Deadline
from masticfork.store.client import (
    ErrorKind,
    JsonObject,
    ObjectStore,
    PlatformError,
    StoredObject,
)
from masticfork.store.confirmed_writes import (
    LostToConcurrentWrite,
    create_confirmed,
    update_confirmed,
)

DRAIN_PREFIX = "shared/drains/"

# Deadline of starting or ending a drain, retries included.
CHANGE_TIMEOUT_SECONDS = 5.0

# Submission ids kept in each object, so that a late repeat has no effect.
MAX_SEEN_IDS = 32

# Attempts before a change that keeps losing to concurrent writes is given up.
MAX_ATTEMPTS = 4


def parse_drain(stored: StoredObject) -> DrainView | None:
    """Parse a drain, active or ended; return None if the object is malformed."""
    value = stored.value
    try:
        return DrainView(
            kind=str(value["kind"]),
            name=str(value["name"]),
            active=bool(value["active"]),
            by=str(value["by"]),
            at=float(value["at"]),
            submission_id=str(value["submission_id"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


class Drains:
    """Starts, ends and lists drains; keeps no state in memory."""

    def __init__(self, store: ObjectStore, now: Callable[[], float]) -> None:
        self._store = store
        self._now = now

    def start(
        self, kind: str, name: str, change: ChangeRequest
    ) -> Result[DrainView, Problem]:
        """Mark a `server`, a `host` or the servers of a `zone` as drained."""
        return self._change(_Change(kind, name, True, change))

    def end(
        self, kind: str, name: str, change: ChangeRequest
    ) -> Result[DrainView, Problem]:
        """End the drain of a `server`, `host` or `zone`."""
        return self._change(_Change(kind, name, False, change))

    def active(self, deadline: Deadline) -> Result[tuple[DrainView, ...], Problem]:
        """Return all active drains."""
        active_drains: list[DrainView] = []
        after, more = "", True
        while more:
            page = self._store.list(DRAIN_PREFIX, deadline, after=after)
            if isinstance(page, Err):
                return Err(_problem(page.err_value))
            items, more = page.ok_value.items, page.ok_value.more
            views = filter(None, map(parse_drain, items))
            active_drains += [view for view in views if view.active]
            after = items[-1].key if items else after
        return Ok(tuple(active_drains))

    def _change(self, change: "_Change") -> Result[DrainView, Problem]:
        deadline = Deadline.after(self._now(), CHANGE_TIMEOUT_SECONDS)
        for _ in range(MAX_ATTEMPTS):
            changed = self._try_change(change, deadline)
            if isinstance(changed, Err):
                return changed
            if changed.ok_value is not None:
                return Ok(changed.ok_value)
        message = f"concurrent changes to the drain of {change.name!r}"
        return Err(Problem(ProblemCode.CONFLICT, message))

    def _try_change(
        self, change: "_Change", deadline: Deadline
    ) -> Result[DrainView | None, Problem]:
        """Write the change, or return None if a concurrent write came first."""
        read = self._store.get(change.key, deadline)
        if isinstance(read, Err):
            if read.err_value.kind is not ErrorKind.NOT_FOUND:
                return Err(_problem(read.err_value))
            value = change.value({}, self._now())
            written = create_confirmed(self._store, change.key, value, deadline)
        else:
            stored = read.ok_value
            if change.request.submission_id in stored.value.get("seen", ()):
                return Ok(parse_drain(stored))
            value = change.value(stored.value, self._now())
            version = stored.version
            written = update_confirmed(
                self._store, change.key, value, version, deadline
            )
        if isinstance(written, Err):
            return Err(_problem(written.err_value))
        if isinstance(written.ok_value, LostToConcurrentWrite):
            return Ok(None)
        return Ok(parse_drain(written.ok_value.stored))


@attrs.frozen
class _Change:
    kind: str
    name: str
    active: bool
    request: ChangeRequest

    @property
    def key(self) -> str:
        """Return the key of the drain's object."""
        return f"{DRAIN_PREFIX}{self.kind}/{self.name}"

    def value(self, before: JsonObject, now: float) -> JsonObject:
        """Return the new content of the object, given its present content."""
        seen = [*before.get("seen", ()), self.request.submission_id]
        return {
            "kind": self.kind,
            "name": self.name,
            "active": self.active,
            "by": self.request.actor.name,
            "role": self.request.actor.role.value,
            "at": now,
            "submission_id": self.request.submission_id,
            "seen": seen[-MAX_SEEN_IDS:],
        }


def _problem(error: PlatformError) -> Problem:
    unknown = error.kind is ErrorKind.UNKNOWN
    code = ProblemCode.OUTCOME_UNKNOWN if unknown else ProblemCode.PLATFORM_DOWN
    return Problem(code, error.message, error.retry_at)
