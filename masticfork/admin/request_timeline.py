"""Reconstruct from entry hosts' logs what happened to one request, and why."""

import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs

from masticfork.core.findings import Finding, SourceLocation

# Messages about servers or the configuration rather than about one request.
_SERVER_MESSAGES = (
    "server added",
    "server changed",
    "server missing",
    "server removed",
)
_CONFIGURATION_MESSAGES = ("configuration in force", "store lost", "store regained")
# Fields common to all lines, left out of the details of a line.
_COMMON_FIELDS = (
    "at",
    "level",
    "logger",
    "availability_zone",
    "message",
    "request",
    "host",
)

Line = Mapping[str, Any]


@attrs.frozen
class RequestTimeline:
    """Log lines of one request, related lines, and why the request ended."""

    lines: tuple[Line, ...]
    # Lines about its servers, or about the configuration of a host that refused it.
    context: tuple[Line, ...]
    cause: str
    # Lines that could not be parsed.
    findings: tuple[Finding, ...]


def read_lines(source: str, text: Iterable[str]) -> Iterator[Line | Finding]:
    """Yield each line of a log as JSON, or a finding if it cannot be parsed.

    Lines without a `{` are skipped.
    """
    for number, raw_line in enumerate(text, start=1):
        # Log collectors may prefix a line with the host's name.
        start = raw_line.find("{")
        if start < 0:
            continue
        try:
            yield json.loads(raw_line[start:])
        except ValueError as error:
            yield Finding(
                "log.unreadable", SourceLocation(source, line=number), str(error)
            )


def build_timeline(request_id: str, rows: Iterable[Line | Finding]) -> RequestTimeline:
    """Return the timeline of a request from the log lines of all hosts."""
    all_rows = list(rows)
    findings = tuple(row for row in all_rows if isinstance(row, Finding))
    lines = sorted(
        (row for row in all_rows if not isinstance(row, Finding)),
        key=lambda line: str(line.get("at", "")),
    )
    request_lines = tuple(line for line in lines if line.get("request") == request_id)
    return RequestTimeline(
        request_lines, _context(request_lines, lines), _cause(request_lines), findings
    )


def timeline_text(timeline: RequestTimeline) -> str:
    """Format the log lines in order of time, and the cause of the request's end."""
    ordered_lines = sorted(
        (*timeline.lines, *timeline.context), key=lambda line: str(line.get("at", ""))
    )
    return "\n".join(
        [*(_line_text(line) for line in ordered_lines), f"cause: {timeline.cause}"]
    )


def _context(
    request_lines: tuple[Line, ...], lines: Iterable[Line]
) -> tuple[Line, ...]:
    """Return the lines about servers and configurations that concern the request."""
    servers = {row["server"] for row in request_lines if "server" in row}
    hosts = {row.get("host") for row in request_lines}
    refused = {
        row.get("host") for row in request_lines if row.get("message") == "refused"
    }

    def is_related(line: Line) -> bool:
        message, host = line.get("message"), line.get("host")
        if message in _SERVER_MESSAGES:
            return line.get("server") in servers and host in hosts
        return message in _CONFIGURATION_MESSAGES and host in refused

    return tuple(line for line in lines if is_related(line))


def _cause(request_lines: tuple[Line, ...]) -> str:
    """Return why the request ended, judging by its last line."""
    if not request_lines:
        return "no host logged this request; it reached none, or its lines were dropped"
    last = request_lines[-1]
    if last.get("message") == "refused":
        version = last.get("version")
        known = "no configuration" if version is None else f"configuration {version}"
        return f"refused with {last.get('status')} by {last.get('host')}, {known}"
    if last.get("message") != "end":
        return f"no end: {last.get('host')} stopped, or the request is still running"
    failures = [row for row in request_lines if row.get("message") == "call failed"]
    failed_calls = "; ".join(
        f"{row['server']} {row['outcome']}: {row['why']}" for row in failures
    )
    ended = f"ended with {last.get('status')} after {last.get('seconds')} s"
    why = f"{ended}, {last.get('why')}"
    return f"{why}; calls that failed: {failed_calls}" if failed_calls else why


def _line_text(line: Line) -> str:
    fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in _COMMON_FIELDS)
    return (
        f"{line.get('at')} {line.get('host')} {line.get('message')} {fields}".rstrip()
    )
