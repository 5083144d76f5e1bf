"""Read the configuration at the platform and its history, and keep them."""

import attrs
from result import Err, Ok, Result

from masticfork.admin.configurations import (
    CURRENT_KEY,
    HISTORY_PREFIX,
    Provenance,
    StoredConfiguration,
    decode,
    encode,
    history_key,
    submission_key,
)
from masticfork.core.deadlines import Deadline
from masticfork.store.client import (
    ErrorKind,
    JsonObject,
    ObjectStore,
    PlatformError,
    StoredObject,
)
from masticfork.store.settle import create_settled, delete_settled

# Replaced configurations that are kept for history and for repeated submissions.
KEPT_CONFIGURATIONS = 1000

# Replaced configurations that one submission removes at most.
REMOVED_AT_ONCE = 2


@attrs.frozen
class PlatformFailed:
    """The platform gave no answer; UNKNOWN means that it may be accepted yet."""

    error: PlatformError


Found = Result[StoredConfiguration | None, PlatformFailed]


class ConfigurationStore:
    """The configuration in force and those that it replaced; holds no state."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def current(self, deadline: Deadline) -> Found:
        """Return the configuration in force, or none."""
        return self._read(CURRENT_KEY, None, deadline)

    def at(self, number: int, deadline: Deadline) -> Found:
        """Return the configuration that had the number, or none."""
        current = self.current(deadline)
        if isinstance(current, Err) or current.ok_value is None:
            return current
        if current.ok_value.provenance.number == number:
            return current
        return self._read(history_key(number), number, deadline)

    def history(
        self, before: int | None, limit: int, deadline: Deadline
    ) -> Result[tuple[Provenance, ...], PlatformFailed]:
        """Return who submitted what, newest first, older than number `before`."""
        found = self._start(before, deadline)
        rows: list[Provenance] = []
        while isinstance(found, Ok) and found.ok_value and len(rows) < limit:
            row = found.ok_value.provenance
            rows.append(row)
            found = self._previous(row, deadline)
        return found if isinstance(found, Err) else Ok(tuple(rows))

    def submitted(self, submission_id: str, deadline: Deadline) -> Found:
        """Return the replaced configuration that the submission made, or none."""
        read = self._store.get(submission_key(submission_id), deadline)
        if isinstance(read, Err):
            if read.err_value.kind is ErrorKind.NOT_FOUND:
                return Ok(None)
            return Err(PlatformFailed(read.err_value))
        number = int(read.ok_value.value["number"])
        return self._read(history_key(number), number, deadline)

    def archive(
        self, current: StoredConfiguration, deadline: Deadline
    ) -> Result[None, PlatformError]:
        """Keep the current configuration before it is replaced."""
        provenance = current.provenance
        entries: list[tuple[str, JsonObject]] = [
            (history_key(provenance.number), encode(current)),
            (submission_key(provenance.submission_id), {"number": provenance.number}),
        ]
        for key, value in entries:
            # Whoever came first wrote the same.
            created = create_settled(self._store, key, value, deadline)
            if isinstance(created, Err):
                return created
        return Ok(None)

    def trim(self, sequence: int, deadline: Deadline) -> None:
        """Remove the oldest archived configurations; a failure leaves them."""
        listed = self._store.list(HISTORY_PREFIX, deadline, limit=REMOVED_AT_ONCE)
        if isinstance(listed, Err):
            return
        for item in listed.ok_value.items:
            kept = sequence - int(item.value.get("sequence", 0))
            if kept >= KEPT_CONFIGURATIONS:
                self._remove(item, deadline)

    def _start(self, before: int | None, deadline: Deadline) -> Found:
        if before is None:
            return self.current(deadline)
        found = self.at(before, deadline)
        if isinstance(found, Err) or found.ok_value is None:
            return found
        return self._previous(found.ok_value.provenance, deadline)

    def _previous(self, row: Provenance, deadline: Deadline) -> Found:
        if row.previous == 0:
            return Ok(None)
        return self._read(history_key(row.previous), row.previous, deadline)

    def _read(self, key: str, number: int | None, deadline: Deadline) -> Found:
        read = self._store.get(key, deadline)
        if isinstance(read, Err):
            if read.err_value.kind is ErrorKind.NOT_FOUND:
                return Ok(None)
            return Err(PlatformFailed(read.err_value))
        stored = read.ok_value
        decoded = decode(stored.value, stored.version if number is None else number)
        if isinstance(decoded, Err):
            message = decoded.err_value[0].message
            return Err(PlatformFailed(PlatformError(ErrorKind.UNAVAILABLE, message)))
        return Ok(decoded.ok_value)

    def _remove(self, item: StoredObject, deadline: Deadline) -> None:
        key = submission_key(str(item.value.get("submission_id", "")))
        index = self._store.get(key, deadline)
        if isinstance(index, Ok):
            delete_settled(self._store, key, index.ok_value.version, deadline)
        delete_settled(self._store, item.key, item.version, deadline)
