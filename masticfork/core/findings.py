"""What loaders, checks and systems report, each with its place."""

import enum

import attrs


class Severity(enum.Enum):
    """How much a finding weighs."""

    ERROR = "error"
    WARNING = "warning"
    INFO = "info"


@attrs.frozen
class Place:
    """Where a finding was made: a file or a table, with a path inside it."""

    source: str
    path: str = ""
    line: int | None = None
    column: int | None = None

    def __str__(self) -> str:
        position = [] if self.line is None else [str(self.line), str(self.column or 1)]
        where = ":".join([self.source, *position])
        return f"{where} {self.path}".rstrip()


@attrs.frozen
class Finding:
    """One report with a stable code, for people and for programs."""

    code: str
    place: Place
    message: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        return f"{self.place}: {self.severity.value}: {self.message} [{self.code}]"


Findings = tuple[Finding, ...]


def has_errors(findings: Findings) -> bool:
    """Tell whether any finding is an error."""
    return any(finding.severity is Severity.ERROR for finding in findings)
