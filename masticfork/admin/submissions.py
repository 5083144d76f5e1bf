"""Accept manifests by one conditional write at the platform.

Before a configuration is replaced it is archived under its number and its
submission's id. So a submission was accepted if and only if it is the current
configuration or is archived, and a repeated one finds its own outcome.
"""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.admin.configuration_store import (
    ConfigurationStore,
    Found,
    PlatformFailed,
)
from masticfork.admin.configurations import (
    CURRENT_KEY,
    Provenance,
    StoredConfiguration,
    decode,
    encode,
)
from masticfork.admin.manifest_diff import Change, manifest_diff
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.settings.manifest import manifest_object, parse_manifest
from masticfork.settings.settings import Role
from masticfork.store.client import (
    ErrorKind,
    JsonObject,
    ObjectStore,
    StoredObject,
)
from masticfork.store.settle import (
    Beaten,
    Settled,
    create_settled,
    update_settled,
)

# Time in seconds within which a submission must be settled.
SUBMIT_SECONDS = 10.0


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


SubmitError = Refused | OutOfScope | Raced | IdReused | PlatformFailed
Outcome = Result[Accepted, SubmitError]


class Submissions:
    """The configuration at the platform and its history; holds no state."""

    def __init__(self, store: ObjectStore, now: Callable[[], float]) -> None:
        self.configurations = ConfigurationStore(store)
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
        current = self.configurations.current(deadline)
        if isinstance(current, Err):
            return current
        earlier = self._earlier(attempt, current.ok_value, deadline)
        if earlier is not None:
            return earlier
        return self._apply(attempt, current.ok_value, dry_run, deadline)

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
            found = self.configurations.submitted(wanted, deadline)
        if isinstance(found, Err):
            return found
        earlier = found.ok_value
        if earlier is None:
            return None
        number = earlier.provenance.number
        if earlier.manifest != attempt.manifest:
            return Err(IdReused(number))
        return Ok(Accepted(number, (), attempt.findings, repeated=True))

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
            self.configurations.trim(current.provenance.sequence, deadline)
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
        archived = self.configurations.archive(current, deadline)
        if isinstance(archived, Err):
            # Nothing of the new configuration was written.
            error = attrs.evolve(archived.err_value, kind=ErrorKind.UNAVAILABLE)
            return Err(PlatformFailed(error))
        number = current.provenance.number
        written = update_settled(self._store, CURRENT_KEY, value, number, deadline)
        return written.map_err(PlatformFailed)

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
        outcome = self._earlier(attempt, current, deadline)
        if outcome is None:
            outcome = self._raced(expected, current, deadline)
        # A lost answer may hide that the submission was in force for a moment.
        return outcome.map_err(_unknown)

    def _raced(
        self, expected: int, current: StoredConfiguration | None, deadline: Deadline
    ) -> Outcome:
        base = self.configurations.at(expected, deadline)
        if isinstance(base, Err):
            return base
        changes: tuple[Change, ...] = ()
        if base.ok_value is not None and current is not None:
            changes = manifest_diff(base.ok_value.manifest, current.manifest)
        return Err(Raced(current.provenance if current else None, changes))


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


def _unknown(error: SubmitError) -> SubmitError:
    """Return a failure of the platform as one with unknown outcome."""
    if isinstance(error, PlatformFailed):
        return PlatformFailed(attrs.evolve(error.error, kind=ErrorKind.UNKNOWN))
    return error


def _outside(changes: tuple[Change, ...], teams: tuple[str, ...]) -> tuple[str, ...]:
    """Return the changed paths that are not within the teams; none means all."""
    if not teams:
        return ()
    prefixes = tuple(f"teams[{team}]" for team in teams)
    return tuple(
        change.path for change in changes if not change.path.startswith(prefixes)
    )
