"""Answers of the administration API about configurations."""

from collections.abc import Callable
from typing import Any

import attrs
import cattrs
from result import Err, Ok, Result

from masticfork.admin.configuration_store import PlatformFailed
from masticfork.admin.configurations import Provenance, StoredConfiguration
from masticfork.admin.manifest_diff import Change, manifest_diff, redacted
from masticfork.admin.problems import Problem, ProblemCode
from masticfork.admin.requests import AdminRequest, malformed
from masticfork.admin.submissions import (
    IdReused,
    OutOfScope,
    Raced,
    Refused,
    Submission,
    Submissions,
    SubmitError,
)
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Finding
from masticfork.settings.settings import Role
from masticfork.store.client import ErrorKind

# Time in seconds within which configurations must be read.
READ_SECONDS = 5.0

_converter = cattrs.Converter()

Answer = Result[Any, Problem]


class ConfigurationCalls:
    """Submits and shows configurations."""

    def __init__(self, submissions: Submissions, now: Callable[[], float]) -> None:
        self._submissions = submissions
        self._now = now

    def submit(self, request: AdminRequest) -> Answer:
        """Accept a manifest, or only check it."""
        order, expected, text = request.order(), request.expected(), request.text()
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
                "changes": _changes(accepted.changes),
            }
        )

    def show(self, request: AdminRequest) -> Answer:
        """Return the configuration in force, or an earlier one."""
        number = request.number("number")
        if isinstance(number, Err):
            return number
        found = self._find(number.ok_value)
        if isinstance(found, Err):
            return found
        stored = found.ok_value
        manifest = _visible(stored.manifest, request)
        return Ok({**_provenance(stored.provenance), "manifest": manifest})

    def history(self, request: AdminRequest) -> Answer:
        """Return who submitted what, newest first."""
        limit, before = request.limit(), request.number("before")
        if isinstance(limit, Err):
            return limit
        if isinstance(before, Err):
            return before
        wanted = limit.ok_value
        rows = self._submissions.configurations.history(
            before.ok_value, wanted, Deadline.after(self._now(), READ_SECONDS)
        )
        if isinstance(rows, Err):
            return Err(_problem(rows.err_value))
        items = rows.ok_value
        more = len(items) == wanted and items[-1].previous > 0
        following = items[-1].number if more else None
        return Ok({"items": list(map(_provenance, items)), "next": following})

    def diff(self, request: AdminRequest) -> Answer:
        """Return what changed from one configuration to another."""
        start, end = request.number("from"), request.number("to")
        if isinstance(start, Err):
            return start
        if isinstance(end, Err):
            return end
        if start.ok_value is None:
            return malformed("from: expected a number")
        before, after = self._find(start.ok_value), self._find(end.ok_value)
        if isinstance(before, Err):
            return before
        if isinstance(after, Err):
            return after
        old, new = before.ok_value, after.ok_value
        changes = manifest_diff(
            _in_scope(old.manifest, request), _in_scope(new.manifest, request)
        )
        numbers = {"from": old.provenance.number, "to": new.provenance.number}
        return Ok({**numbers, "changes": _changes(changes)})

    def _find(self, number: int | None) -> Result[StoredConfiguration, Problem]:
        deadline = Deadline.after(self._now(), READ_SECONDS)
        if number is None:
            found = self._submissions.configurations.current(deadline)
        else:
            found = self._submissions.configurations.at(number, deadline)
        if isinstance(found, Err):
            return Err(_problem(found.err_value))
        if found.ok_value is None:
            which = "no configuration yet" if number is None else f"no number {number}"
            return Err(Problem(ProblemCode.NOT_FOUND, which))
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


def _visible(manifest: dict[str, Any], request: AdminRequest) -> Any:
    """Leave out what the administrator may not see."""
    scoped = _in_scope(manifest, request)
    # Who may submit a whole manifest has to read it whole.
    whole = request.actor.role is Role.OPERATOR and not request.actor.teams
    return scoped if whole else redacted(scoped)


def _in_scope(manifest: dict[str, Any], request: AdminRequest) -> dict[str, Any]:
    teams = [team for team in manifest["teams"] if request.actor.sees(team["name"])]
    return {**manifest, "teams": teams}


def _visible_error(error: SubmitError, request: AdminRequest) -> SubmitError:
    """Leave out changes of teams that the administrator may not see."""
    if not isinstance(error, Raced):
        return error
    seen = tuple(
        change
        for change in error.changes
        if not change.path.startswith("teams[")
        or request.actor.sees(change.path[len("teams[") :].partition("]")[0])
    )
    return attrs.evolve(error, changes=seen)


def _provenance(provenance: Provenance) -> dict[str, Any]:
    plain: dict[str, Any] = _converter.unstructure(provenance)
    return plain


def _changes(changes: tuple[Change, ...]) -> list[Any]:
    plain: list[Any] = _converter.unstructure(list(changes))
    return plain


def _problem(error: SubmitError) -> Problem:
    match error:
        case Refused(findings):
            members = {"findings": finding_objects(findings)}
            return Problem(
                ProblemCode.MANIFEST_REFUSED, "the manifest has errors", members=members
            )
        case OutOfScope(paths):
            message = "the manifest changes more than the administrator's teams"
            return Problem(
                ProblemCode.FORBIDDEN, message, members={"paths": list(paths)}
            )
        case Raced(current, changes):
            return _raced(current, changes)
        case IdReused(number):
            message = f"the submission id belongs to configuration {number}"
            return Problem(ProblemCode.SUBMISSION_ID_REUSED, message)
        case PlatformFailed(failure):
            code = {
                ErrorKind.UNKNOWN: ProblemCode.OUTCOME_UNKNOWN,
                ErrorKind.TOO_LARGE: ProblemCode.TOO_LARGE,
            }.get(failure.kind, ProblemCode.PLATFORM_DOWN)
            return Problem(code, failure.message, failure.retry_at)


def _raced(current: Provenance | None, changes: tuple[Change, ...]) -> Problem:
    members: dict[str, Any] = {"current": None, "changes": _changes(changes)}
    if current is None:
        message = "there is no configuration yet"
    else:
        members["current"] = attrs.asdict(current) | {"role": current.role.value}
        message = f"{current.submitted_by!r} put number {current.number} in force"
    return Problem(ProblemCode.CONFLICT, message, members=members)
