"""Accept manifests by one conditional write at the platform.

Before a configuration is replaced it is archived under its number and its
submission's id. So a submission was accepted if and only if it is the current
configuration or is archived, and a repeated one finds its own outcome.
"""

from collections.abc import Callable

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
from masticfork.admin.manifest_diff import Change, manifest_diff
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.platform.client import (
    ErrorKind,
    JsonObject,
    ObjectStore,
    PlatformError,
    StoredObject,
)
from masticfork.platform.settle import (
    Beaten,
    Settled,
    create_settled,
    delete_settled,
    update_settled,
)
from masticfork.settings.manifest import manifest_object, parse_manifest
from masticfork.settings.settings import Role

# Time in seconds within which a submission must be settled.
SUBMIT_SECONDS = 10.0

# Replaced configurations that are kept for history and for repeated submissions.
KEPT_CONFIGURATIONS = 1000

# Replaced configurations that one submission removes at most.
REMOVED_AT_ONCE = 2


@attrs.frozen
class Submission:
    """A manifest that somebody submits."""

    id: str
    manifest_text: str = attrs.field(repr=False)
    submitted_by: str
    role: Role
    # Number that the current configuration must have; none for any.
    expected: int | None = None
    # Teams that may change; none means everything may.
    teams: tuple[str, ...] = ()


@attrs.frozen
class Accepted:
    """The submission is accepted; a dry run has the number as it stands."""

    number: int
    changes: tuple[Change, ...]
    findings: Findings
    # Whether an earlier call with the same id was accepted already.
    repeated: bool = False


@attrs.frozen
class Refused:
    """The manifest has errors."""

    findings: Findings


@attrs.frozen
class OutOfScope:
    """The manifest changes what the submitter may not change."""

    paths: tuple[str, ...]


@attrs.frozen
class Raced:
    """Another configuration came first; `changes` leads to it from the expected."""

    current: Provenance | None
    changes: tuple[Change, ...]


@attrs.frozen
class IdReused:
    """The submission's id was used with another manifest."""

    number: int


@attrs.frozen
class PlatformFailed:
    """The platform gave no answer; UNKNOWN means that it may be accepted yet."""

    error: PlatformError


SubmitError = Refused | OutOfScope | Raced | IdReused | PlatformFailed
Outcome = Result[Accepted, SubmitError]
Found = Result[StoredConfiguration | None, PlatformFailed]


class Submissions:
    """The configuration at the platform and its history; holds no state."""

    def __init__(self, store: ObjectStore, now: Callable[[], float]) -> None:
        self._store = store
        self._now = now

    def submit(self, submission: Submission, dry_run: bool = False) -> Outcome:
        """Check a manifest and put it in force."""
        parsed = parse_manifest(submission.manifest_text, "manifest")
        if isinstance(parsed, Err):
            return Err(Refused(parsed.err_value))
        manifest, findings = parsed.ok_value
        attempt = _Attempt(submission, manifest_object(manifest), findings)
        deadline = Deadline.after(self._now(), SUBMIT_SECONDS)
        current = self.current(deadline)
        if isinstance(current, Err):
            return current
        earlier = self._earlier(attempt, current.ok_value, deadline)
        if earlier is not None:
            return earlier
        return self._apply(attempt, current.ok_value, dry_run, deadline)

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

    def _earlier(
        self,
        attempt: "_Attempt",
        current: StoredConfiguration | None,
        deadline: Deadline,
    ) -> Outcome | None:
        """Return the outcome of an earlier call with the same id, if any."""
        wanted = attempt.submission.id
        found: Found = Ok(current)
        if current is not None and current.provenance.submission_id != wanted:
            found = self._archived(wanted, deadline)
        if isinstance(found, Err):
            return found
        earlier = found.ok_value
        if earlier is None:
            return None
        number = earlier.provenance.number
        if earlier.manifest != attempt.manifest:
            return Err(IdReused(number))
        return Ok(Accepted(number, (), attempt.findings, repeated=True))

    def _archived(self, submission_id: str, deadline: Deadline) -> Found:
        read = self._store.get(submission_key(submission_id), deadline)
        if isinstance(read, Err):
            if read.err_value.kind is ErrorKind.NOT_FOUND:
                return Ok(None)
            return Err(PlatformFailed(read.err_value))
        number = int(read.ok_value.value["number"])
        return self._read(history_key(number), number, deadline)

    def _apply(
        self,
        attempt: "_Attempt",
        current: StoredConfiguration | None,
        dry_run: bool,
        deadline: Deadline,
    ) -> Outcome:
        number = current.provenance.number if current else 0
        expected = attempt.submission.expected
        if expected is not None and expected != number:
            return self._raced(expected, current, deadline)
        changes = manifest_diff(current.manifest if current else {}, attempt.manifest)
        outside = _outside(changes, attempt.submission.teams)
        if outside:
            return Err(OutOfScope(outside))
        if dry_run:
            return Ok(Accepted(number, changes, attempt.findings))
        written = self._write(attempt, current, deadline)
        if isinstance(written, Err):
            return written
        if isinstance(written.ok_value, Beaten):
            return self._beaten(attempt, number, written.ok_value.current, deadline)
        accepted = written.ok_value.stored.version
        if current is not None:
            self._trim(current.provenance.sequence, deadline)
        return Ok(Accepted(accepted, changes, attempt.findings))

    def _write(
        self,
        attempt: "_Attempt",
        current: StoredConfiguration | None,
        deadline: Deadline,
    ) -> Result[Settled, PlatformFailed]:
        value = encode(attempt.successor_of(current, self._now()))
        if current is None:
            written = create_settled(self._store, CURRENT_KEY, value, deadline)
            return written.map_err(PlatformFailed)
        archived = self._archive(current, deadline)
        if isinstance(archived, Err):
            # Nothing of the new configuration was written.
            error = attrs.evolve(archived.err_value, kind=ErrorKind.UNAVAILABLE)
            return Err(PlatformFailed(error))
        number = current.provenance.number
        written = update_settled(self._store, CURRENT_KEY, value, number, deadline)
        return written.map_err(PlatformFailed)

    def _archive(
        self, current: StoredConfiguration, deadline: Deadline
    ) -> Result[None, PlatformError]:
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

    def _beaten(
        self,
        attempt: "_Attempt",
        expected: int,
        winner: StoredObject | None,
        deadline: Deadline,
    ) -> Outcome:
        """Find out whether the winner replaced this submission or forestalled it."""
        current: StoredConfiguration | None = None
        if winner is not None:
            current = decode(winner.value, winner.version).unwrap_or(None)
        earlier = self._earlier(attempt, current, deadline)
        if earlier is not None:
            return earlier
        return self._raced(expected, current, deadline)

    def _raced(
        self, expected: int, current: StoredConfiguration | None, deadline: Deadline
    ) -> Outcome:
        base = self._read(history_key(expected), expected, deadline)
        if isinstance(base, Err):
            return base
        changes: tuple[Change, ...] = ()
        if base.ok_value is not None and current is not None:
            changes = manifest_diff(base.ok_value.manifest, current.manifest)
        return Err(Raced(current.provenance if current else None, changes))

    def _trim(self, sequence: int, deadline: Deadline) -> None:
        """Remove the oldest archived configurations; a failure leaves them."""
        listed = self._store.list(HISTORY_PREFIX, deadline, limit=REMOVED_AT_ONCE)
        if isinstance(listed, Err):
            return
        for item in listed.ok_value.items:
            kept = sequence - int(item.value.get("sequence", 0))
            if kept >= KEPT_CONFIGURATIONS:
                self._remove(item, deadline)

    def _remove(self, item: StoredObject, deadline: Deadline) -> None:
        key = submission_key(str(item.value.get("submission_id", "")))
        index = self._store.get(key, deadline)
        if isinstance(index, Ok):
            delete_settled(self._store, key, index.ok_value.version, deadline)
        delete_settled(self._store, item.key, item.version, deadline)


@attrs.frozen
class _Attempt:
    """A submission whose manifest is checked."""

    submission: Submission
    manifest: JsonObject
    findings: Findings

    def successor_of(
        self, current: StoredConfiguration | None, now: float
    ) -> StoredConfiguration:
        """Return what to write in place of the current configuration."""
        replaced = current.provenance if current else None
        provenance = Provenance(
            number=0,
            submission_id=self.submission.id,
            submitted_by=self.submission.submitted_by,
            role=self.submission.role,
            submitted_at=now,
            previous=replaced.number if replaced else 0,
            sequence=replaced.sequence + 1 if replaced else 1,
        )
        return StoredConfiguration(provenance, self.manifest)


def _outside(changes: tuple[Change, ...], teams: tuple[str, ...]) -> tuple[str, ...]:
    """Return the changed paths that are not within the teams; none means all."""
    if not teams:
        return ()
    prefixes = tuple(f"teams[{team}]" for team in teams)
    return tuple(
        change.path for change in changes if not change.path.startswith(prefixes)
    )
