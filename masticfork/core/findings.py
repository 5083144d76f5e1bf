"""Diagnostics of loaders, checks and systems, each with its location."""

import enum

import attrs


class Severity(enum.Enum):
    """Severity of a finding."""

    ERROR = "error"
    WARNING = "warning"
    INFO = "info"


@attrs.frozen
class SourceLocation:
    """Location of a finding: a file or a table, and a path inside it.

    Line and column count from 1.
    """

    source: str
    path: str = ""
    line: int | None = None
    column: int | None = None

    def __str__(self) -> str:
        position = [] if self.line is None else [str(self.line), str(self.column or 1)]
        location = ":".join([self.source, *position])
        return f"{location} {self.path}".rstrip()


@attrs.frozen
class Finding:
    """A diagnostic with a message for people and a stable code for programs."""

    code: str
    place: SourceLocation
    message: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        return f"{self.place}: {self.severity.value}: {self.message} [{self.code}]"


Findings = tuple[Finding, ...]


def has_errors(findings: Findings) -> bool:
    """Return whether any finding is an error."""
    return any(finding.severity is Severity.ERROR for finding in findings)
