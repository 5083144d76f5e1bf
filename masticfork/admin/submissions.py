"""Put submitted manifests in force by one conditional write to the platform.

A configuration is archived under its number and its submission id before it is
replaced. A submission was therefore accepted if and only if it is current or
archived, and a repeated submission finds the outcome of the first one.
"""

from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from masticfork.admin.configuration_store import (
    ConfigurationStore,
    PlatformFailure,
    ReadResult,
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
from masticfork.store.confirmed_writes import (
    LostToConcurrentWrite,
    WriteOutcome,
    create_confirmed,
    update_confirmed,
)

# Deadline of a submission, repeated writes included.
SUBMIT_TIMEOUT_SECONDS = 10.0


@attrs.frozen
class Submission:
    """A submitted manifest, its submitter and the preconditions."""

    id: str
    manifest_text: str = attrs.field(repr=False)
    submitted_by: str
    role: Role
    # Number that the current configuration must have; None allows any.
    expected: int | None = None
    # Teams that the submitter may change; empty means the whole manifest.
    teams: tuple[str, ...] = ()


@attrs.frozen
class Accepted:
    """The submission is accepted; a dry run has the number of the current one."""

    number: int
    changes: tuple[Change, ...]
    findings: Findings
    # Whether an earlier call with the same submission id was accepted.
    repeated: bool = False


@attrs.frozen
class InvalidManifest:
    """The manifest has errors."""

    findings: Findings


@attrs.frozen
class OutOfScope:
    """The manifest changes paths that the submitter may not change."""

    paths: tuple[str, ...]


@attrs.frozen
class ConfigurationConflict:
    """The current configuration is not the expected one.

    `changes` leads from the expected configuration to the current one.
    """

    current: Provenance | None
    changes: tuple[Change, ...]


@attrs.frozen
class SubmissionIdReused:
    """The submission id was already used for a different manifest."""

    number: int


SubmitError = (
    InvalidManifest
    | OutOfScope
    | ConfigurationConflict
    | SubmissionIdReused
    | PlatformFailure
)
Outcome = Result[Accepted, SubmitError]


class Submissions:
    """Validates and stores submitted manifests; keeps no state in memory."""

    def __init__(self, store: ObjectStore, now: Callable[[], float]) -> None:
        self.configurations = ConfigurationStore(store)
        self._store = store
        self._now = now

    def submit(self, submission: Submission, dry_run: bool = False) -> Outcome:
        """Validate a manifest and put it in force, unless it is a dry run."""
        parsed = parse_manifest(submission.manifest_text, "manifest")
        if isinstance(parsed, Err):
            return Err(InvalidManifest(parsed.err_value))
        manifest, findings = parsed.ok_value
        validated = _ValidatedSubmission(
            submission, manifest_object(manifest), findings
        )
        deadline = Deadline.after(self._now(), SUBMIT_TIMEOUT_SECONDS)
        current = self.configurations.current(deadline)
        if isinstance(current, Err):
            return current
        earlier = self._earlier_outcome(validated, current.ok_value, deadline)
        if earlier is not None:
            return earlier
        return self._apply(validated, current.ok_value, dry_run, deadline)

    def _earlier_outcome(
        self,
        validated: "_ValidatedSubmission",
        current: StoredConfiguration | None,
        deadline: Deadline,
    ) -> Outcome | None:
        """Return the outcome of an earlier call with the same id, if any."""
        wanted = validated.submission.id
        found: ReadResult = Ok(current)
        if current is not None and current.provenance.submission_id != wanted:
            found = self.configurations.find_replaced(wanted, deadline)
        if isinstance(found, Err):
            return found
        earlier = found.ok_value
        if earlier is None:
            return None
        number = earlier.provenance.number
        if earlier.manifest != validated.manifest:
            return Err(SubmissionIdReused(number))
        return Ok(Accepted(number, (), validated.findings, repeated=True))

    def _apply(
        self,
        validated: "_ValidatedSubmission",
        current: StoredConfiguration | None,
        dry_run: bool,
        deadline: Deadline,
    ) -> Outcome:
        number = current.provenance.number if current else 0
        expected = validated.submission.expected
        if expected is not None and expected != number:
            return self._conflict(expected, current, deadline)
        changes = manifest_diff(current.manifest if current else {}, validated.manifest)
        outside_paths = _paths_outside(changes, validated.submission.teams)
        if outside_paths:
            return Err(OutOfScope(outside_paths))
        if dry_run:
            return Ok(Accepted(number, changes, validated.findings))
        written = self._write(validated, current, deadline)
        if isinstance(written, Err):
            return written
        if isinstance(written.ok_value, LostToConcurrentWrite):
            return self._lost_race(
                validated, number, written.ok_value.current, deadline
            )
        accepted = written.ok_value.stored.version
        if current is not None:
            self.configurations.trim(current.provenance.sequence, deadline)
        return Ok(Accepted(accepted, changes, validated.findings))

    def _write(
        self,
        validated: "_ValidatedSubmission",
        current: StoredConfiguration | None,
        deadline: Deadline,
    ) -> Result[WriteOutcome, PlatformFailure]:
        value = encode(validated.successor_of(current, self._now()))
        if current is None:
            written = create_confirmed(self._store, CURRENT_KEY, value, deadline)
            return written.map_err(PlatformFailure)
        archived = self.configurations.archive(current, deadline)
        if isinstance(archived, Err):
            # The new configuration was not written, so the outcome is known.
            error = attrs.evolve(archived.err_value, kind=ErrorKind.UNAVAILABLE)
            return Err(PlatformFailure(error))
        number = current.provenance.number
        written = update_confirmed(self._store, CURRENT_KEY, value, number, deadline)
        return written.map_err(PlatformFailure)

    def _lost_race(
        self,
        validated: "_ValidatedSubmission",
        expected: int,
        current_object: StoredObject | None,
        deadline: Deadline,
    ) -> Outcome:
        """Return whether the current object replaced this submission or preceded it."""
        current: StoredConfiguration | None = None
        if current_object is not None:
            current = decode(current_object.value, current_object.version).unwrap_or(
                None
            )
        outcome = self._earlier_outcome(validated, current, deadline)
        if outcome is None:
            outcome = self._conflict(expected, current, deadline)
        # If a response was lost, the submission may have been in force briefly.
        return outcome.map_err(_with_unknown_outcome)

    def _conflict(
        self, expected: int, current: StoredConfiguration | None, deadline: Deadline
    ) -> Outcome:
        base = self.configurations.at(expected, deadline)
        if isinstance(base, Err):
            return base
        changes: tuple[Change, ...] = ()
        if base.ok_value is not None and current is not None:
            changes = manifest_diff(base.ok_value.manifest, current.manifest)
        return Err(
            ConfigurationConflict(current.provenance if current else None, changes)
        )


@attrs.frozen
class _ValidatedSubmission:
    """A submission with its validated manifest."""

    submission: Submission
    manifest: JsonObject
    findings: Findings

    def successor_of(
        self, current: StoredConfiguration | None, now: float
    ) -> StoredConfiguration:
        """Return the configuration to write in place of the current one."""
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


def _with_unknown_outcome(error: SubmitError) -> SubmitError:
    """Return the error, with the outcome unknown if the platform failed."""
    if isinstance(error, PlatformFailure):
        return PlatformFailure(attrs.evolve(error.error, kind=ErrorKind.UNKNOWN))
    return error


def _paths_outside(
    changes: tuple[Change, ...], teams: tuple[str, ...]
) -> tuple[str, ...]:
    """Return the changed paths outside the teams; no teams allow every path."""
    if not teams:
        return ()
    prefixes = tuple(f"teams[{team}]" for team in teams)
    return tuple(
        change.path for change in changes if not change.path.startswith(prefixes)
    )
