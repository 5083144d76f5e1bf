"""Handlers of the administration API for configurations."""

from collections.abc import Callable
from typing import Any

import attrs
import cattrs
from result import Err, Ok, Result

from masticfork.admin.configuration_store import PlatformFailure
from masticfork.admin.configurations import Provenance, StoredConfiguration
from masticfork.admin.manifest_diff import Change, manifest_diff, redact
from masticfork.admin.problems import Problem, ProblemCode
from masticfork.admin.requests import AdminRequest, malformed
from masticfork.admin.submissions import (
    ConfigurationConflict,
    InvalidManifest,
    OutOfScope,
    Submission,
    SubmissionIdReused,
    Submissions,
    SubmitError,
)
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding
from masticfork.settings.settings import Role
from masticfork.store.client import ErrorKind

# Deadline for reading configurations from the platform.
READ_TIMEOUT_SECONDS = 5.0

_converter = cattrs.Converter()

HandlerResult = Result[Any, Problem]


class ConfigurationHandlers:
    """Submits, shows and compares configurations."""

    def __init__(self, submissions: Submissions, now: Callable[[], float]) -> None:
        self._submissions = submissions
        self._now = now

    def submit(self, request: AdminRequest) -> HandlerResult:
        """Submit a manifest, or only validate it in a dry run."""
        order, expected, text = (
            request.change_request(),
            request.expected(),
            request.text(),
        )
        for part in (order, expected, text):
            if isinstance(part, Err):
                return part
        actor = request.actor
        submission = Submission(
            order.unwrap().submission_id,
            text.unwrap(),
            actor.name,
            actor.role,
            expected.unwrap(),
            actor.teams,
        )
        dry_run = request.flag("dry_run")
        outcome = self._submissions.submit(submission, dry_run)
        if isinstance(outcome, Err):
            return Err(_problem(_visible_error(outcome.err_value, request)))
        accepted = outcome.ok_value
        return Ok(
            {
                "number": accepted.number,
                "submission_id": submission.id,
                "dry_run": dry_run,
                "repeated": accepted.repeated,
                "findings": finding_objects(accepted.findings),
                "changes": _change_objects(accepted.changes),
            }
        )

    def show(self, request: AdminRequest) -> HandlerResult:
        """Return the configuration in force, or an earlier one by its number."""
        number = request.number("number")
        if isinstance(number, Err):
            return number
        found = self._find_configuration(number.ok_value)
        if isinstance(found, Err):
            return found
        stored = found.ok_value
        manifest = _visible_manifest(stored.manifest, request)
        return Ok({**_provenance_object(stored.provenance), "manifest": manifest})

    def history(self, request: AdminRequest) -> HandlerResult:
        """Return a page of the provenance of configurations, newest first."""
        limit, before = request.limit(), request.number("before")
        if isinstance(limit, Err):
            return limit
        if isinstance(before, Err):
            return before
        page_size = limit.ok_value
        rows = self._submissions.configurations.history(
            before.ok_value,
            page_size,
            Deadline.after(self._now(), READ_TIMEOUT_SECONDS),
        )
        if isinstance(rows, Err):
            return Err(_problem(rows.err_value))
        items = rows.ok_value
        more = len(items) == page_size and items[-1].previous > 0
        next_before = items[-1].number if more else None
        return Ok({"items": list(map(_provenance_object, items)), "next": next_before})

    def diff(self, request: AdminRequest) -> HandlerResult:
        """Return the changes from one configuration to another."""
        start, end = request.number("from"), request.number("to")
        if isinstance(start, Err):
            return start
        if isinstance(end, Err):
            return end
        if start.ok_value is None:
            return malformed("from: expected a number")
        before, after = (
            self._find_configuration(start.ok_value),
            self._find_configuration(end.ok_value),
        )
        if isinstance(before, Err):
            return before
        if isinstance(after, Err):
            return after
        old, new = before.ok_value, after.ok_value
        changes = manifest_diff(
            _without_hidden_teams(old.manifest, request),
            _without_hidden_teams(new.manifest, request),
        )
        numbers = {"from": old.provenance.number, "to": new.provenance.number}
        return Ok({**numbers, "changes": _change_objects(changes)})

    def _find_configuration(
        self, number: int | None
    ) -> Result[StoredConfiguration, Problem]:
        deadline = Deadline.after(self._now(), READ_TIMEOUT_SECONDS)
        if number is None:
            found = self._submissions.configurations.current(deadline)
        else:
            found = self._submissions.configurations.at(number, deadline)
        if isinstance(found, Err):
            return Err(_problem(found.err_value))
        if found.ok_value is None:
            detail = (
                "no configuration yet"
                if number is None
                else f"no configuration {number}"
            )
            return Err(Problem(ProblemCode.NOT_FOUND, detail))
        return Ok(found.ok_value)


def finding_objects(findings: tuple[Finding, ...]) -> list[dict[str, Any]]:
    """Return findings as JSON objects."""
    return [
        {
            "code": finding.code,
            "severity": finding.severity.value,
            "message": finding.message,
            "path": finding.place.path,
            "line": finding.place.line,
            "column": finding.place.column,
        }
        for finding in findings
    ]


def _visible_manifest(manifest: dict[str, Any], request: AdminRequest) -> Any:
    """Return the manifest without what the administrator may not view."""
    team_manifest = _without_hidden_teams(manifest, request)
    # An operator of all teams edits and resubmits the manifest, key hashes included.
    shows_secrets = request.actor.role is Role.OPERATOR and not request.actor.teams
    return team_manifest if shows_secrets else redact(team_manifest)


def _without_hidden_teams(
    manifest: dict[str, Any], request: AdminRequest
) -> dict[str, Any]:
    teams = [team for team in manifest["teams"] if request.actor.may_view(team["name"])]
    return {**manifest, "teams": teams}


def _visible_error(error: SubmitError, request: AdminRequest) -> SubmitError:
    """Return the error without changes to teams that the administrator may not view."""
    if not isinstance(error, ConfigurationConflict):
        return error
    seen = tuple(
        change
        for change in error.changes
        if not change.path.startswith("teams[")
        or request.actor.may_view(change.path[len("teams[") :].partition("]")[0])
    )
    return attrs.evolve(error, changes=seen)


def _provenance_object(provenance: Provenance) -> dict[str, Any]:
    document: dict[str, Any] = _converter.unstructure(provenance)
    return document


def _change_objects(changes: tuple[Change, ...]) -> list[Any]:
    document: list[Any] = _converter.unstructure(list(changes))
    return document


def _problem(error: SubmitError) -> Problem:
    match error:
        case InvalidManifest(findings):
            members = {"findings": finding_objects(findings)}
            return Problem(
                ProblemCode.MANIFEST_REFUSED, "the manifest has errors", members=members
            )
        case OutOfScope(paths):
            message = "the manifest changes settings outside the administrator's teams"
            return Problem(
                ProblemCode.FORBIDDEN, message, members={"paths": list(paths)}
            )
        case ConfigurationConflict(current, changes):
            return _conflict_problem(current, changes)
        case SubmissionIdReused(number):
            message = f"the submission id was already used for configuration {number}"
            return Problem(ProblemCode.SUBMISSION_ID_REUSED, message)
        case PlatformFailure(failure):
            code = {
                ErrorKind.UNKNOWN: ProblemCode.OUTCOME_UNKNOWN,
                ErrorKind.TOO_LARGE: ProblemCode.TOO_LARGE,
            }.get(failure.kind, ProblemCode.PLATFORM_DOWN)
            return Problem(code, failure.message, failure.retry_at)


def _conflict_problem(
    current: Provenance | None, changes: tuple[Change, ...]
) -> Problem:
    members: dict[str, Any] = {"current": None, "changes": _change_objects(changes)}
    if current is None:
        message = "there is no configuration yet"
    else:
        members["current"] = attrs.asdict(current) | {"role": current.role.value}
        message = f"{current.submitted_by!r} put number {current.number} in force"
    return Problem(ProblemCode.CONFLICT, message, members=members)
