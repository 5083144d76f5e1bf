"""Stores the configuration and its history in the platform's object store."""

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
from masticfork.store.confirmed_writes import create_confirmed, delete_confirmed

# Replaced configurations kept for the history and to recognize repeated submissions.
MAX_ARCHIVED_CONFIGURATIONS = 1000

# Replaced configurations that one submission removes, at most.
MAX_REMOVALS_PER_SUBMISSION = 2


@attrs.frozen
class PlatformFailure:
    """The platform failed; kind UNKNOWN means that a write may still take effect."""

    error: PlatformError


ReadResult = Result[StoredConfiguration | None, PlatformFailure]


class ConfigurationStore:
    """The configuration in force and the replaced ones; keeps no state in memory."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    def current(self, deadline: Deadline) -> ReadResult:
        """Return the configuration in force, or None."""
        return self._read(CURRENT_KEY, None, deadline)

    def at(self, number: int, deadline: Deadline) -> ReadResult:
        """Return the configuration with the number, or None."""
        current = self.current(deadline)
        if isinstance(current, Err) or current.ok_value is None:
            return current
        if current.ok_value.provenance.number == number:
            return current
        return self._read(history_key(number), number, deadline)

    def history(
        self, before: int | None, limit: int, deadline: Deadline
    ) -> Result[tuple[Provenance, ...], PlatformFailure]:
        """Return the provenance of configurations older than `before`, newest first."""
        found = self._newest_before(before, deadline)
        rows: list[Provenance] = []
        while isinstance(found, Ok) and found.ok_value and len(rows) < limit:
            row = found.ok_value.provenance
            rows.append(row)
            found = self._previous(row, deadline)
        return found if isinstance(found, Err) else Ok(tuple(rows))

    def find_replaced(self, submission_id: str, deadline: Deadline) -> ReadResult:
        """Return the replaced configuration that the submission created, or None."""
        read = self._store.get(submission_key(submission_id), deadline)
        if isinstance(read, Err):
            if read.err_value.kind is ErrorKind.NOT_FOUND:
                return Ok(None)
            return Err(PlatformFailure(read.err_value))
        number = int(read.ok_value.value["number"])
        return self._read(history_key(number), number, deadline)

    def archive(
        self, current: StoredConfiguration, deadline: Deadline
    ) -> Result[None, PlatformError]:
        """Archive the current configuration before it is replaced."""
        provenance = current.provenance
        entries: list[tuple[str, JsonObject]] = [
            (history_key(provenance.number), encode(current)),
            (submission_key(provenance.submission_id), {"number": provenance.number}),
        ]
        for key, value in entries:
            # If another host created the entry first, its content is the same.
            created = create_confirmed(self._store, key, value, deadline)
            if isinstance(created, Err):
                return created
        return Ok(None)

    def trim(self, sequence: int, deadline: Deadline) -> None:
        """Remove archived configurations too far behind `sequence`; ignore failures."""
        listed = self._store.list(
            HISTORY_PREFIX, deadline, limit=MAX_REMOVALS_PER_SUBMISSION
        )
        if isinstance(listed, Err):
            return
        for item in listed.ok_value.items:
            kept = sequence - int(item.value.get("sequence", 0))
            if kept >= MAX_ARCHIVED_CONFIGURATIONS:
                self._remove(item, deadline)

    def _newest_before(self, before: int | None, deadline: Deadline) -> ReadResult:
        if before is None:
            return self.current(deadline)
        found = self.at(before, deadline)
        if isinstance(found, Err) or found.ok_value is None:
            return found
        return self._previous(found.ok_value.provenance, deadline)

    def _previous(self, row: Provenance, deadline: Deadline) -> ReadResult:
        if row.previous == 0:
            return Ok(None)
        return self._read(history_key(row.previous), row.previous, deadline)

    def _read(self, key: str, number: int | None, deadline: Deadline) -> ReadResult:
        read = self._store.get(key, deadline)
        if isinstance(read, Err):
            if read.err_value.kind is ErrorKind.NOT_FOUND:
                return Ok(None)
            return Err(PlatformFailure(read.err_value))
        stored = read.ok_value
        decoded = decode(stored.value, stored.version if number is None else number)
        if isinstance(decoded, Err):
            message = decoded.err_value[0].message
            return Err(PlatformFailure(PlatformError(ErrorKind.UNAVAILABLE, message)))
        return Ok(decoded.ok_value)

    def _remove(self, item: StoredObject, deadline: Deadline) -> None:
        key = submission_key(str(item.value.get("submission_id", "")))
        index = self._store.get(key, deadline)
        if isinstance(index, Ok):
            delete_confirmed(self._store, key, index.ok_value.version, deadline)
        delete_confirmed(self._store, item.key, item.version, deadline)
