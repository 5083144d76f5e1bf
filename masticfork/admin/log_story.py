"""Tells from the logs of entry hosts what happened to one request, and why."""

import json
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs

from masticfork.core.findings import Finding, Place

# Messages that tell of the servers or the configuration, not of one request.
_OF_SERVERS = ("server added", "server changed", "server missing", "server removed")
_OF_CONFIGURATION = ("configuration in force", "store lost", "store regained")
# Fields that stand on every line and say nothing of the request itself.
_FRAME = ("at", "level", "logger", "availability_zone", "message", "request", "host")

Line = Mapping[str, Any]


@attrs.frozen
class LogStory:
    """The lines of one request, what else bears on it, and the cause of its end."""

    lines: tuple[Line, ...]
    # Lines of its servers, or of the configuration that refused it.
    context: tuple[Line, ...]
    cause: str
    # Lines that could not be read.
    findings: tuple[Finding, ...]


def read_lines(source: str, text: Iterable[str]) -> Iterator[Line | Finding]:
    """Yield each line of a log, or a finding where it is no object of JSON."""
    for number, written in enumerate(text, start=1):
        # A collector may put the host's name in front of a line.
        start = written.find("{")
        if start < 0:
            continue
        try:
            yield json.loads(written[start:])
        except ValueError as error:
            yield Finding("log.unreadable", Place(source, line=number), str(error))


def tell_story(request_id: str, rows: Iterable[Line | Finding]) -> LogStory:
    """Return the story of a request from the lines of all hosts."""
    everything = list(rows)
    findings = tuple(row for row in everything if isinstance(row, Finding))
    lines = sorted(
        (row for row in everything if not isinstance(row, Finding)),
        key=lambda line: str(line.get("at", "")),
    )
    own = tuple(line for line in lines if line.get("request") == request_id)
    return LogStory(own, _context(own, lines), _cause(own), findings)


def story_text(story: LogStory) -> str:
    """Return the story for people, one line each."""
    shown = sorted(
        (*story.lines, *story.context), key=lambda line: str(line.get("at", ""))
    )
    return "\n".join([*(_line_text(line) for line in shown), f"cause: {story.cause}"])


def _context(own: tuple[Line, ...], lines: Iterable[Line]) -> tuple[Line, ...]:
    """Return the lines of no request that explain what happened to this one."""
    servers = {row["server"] for row in own if "server" in row}
    hosts = {row.get("host") for row in own}
    refused = {row.get("host") for row in own if row.get("message") == "refused"}

    def bears_on(line: Line) -> bool:
        message, host = line.get("message"), line.get("host")
        if message in _OF_SERVERS:
            return line.get("server") in servers and host in hosts
        return message in _OF_CONFIGURATION and host in refused

    return tuple(line for line in lines if bears_on(line))


def _cause(own: tuple[Line, ...]) -> str:
    """Return why the request ended as it did, by its last line."""
    if not own:
        return "no host logged this request; it came to none, or its lines were dropped"
    last = own[-1]
    if last.get("message") == "refused":
        version = last.get("version")
        known = "no configuration" if version is None else f"configuration {version}"
        return f"refused with {last.get('status')} by {last.get('host')}, {known}"
    if last.get("message") != "end":
        return f"no end: {last.get('host')} stopped, or the request still runs"
    failures = [row for row in own if row.get("message") == "call failed"]
    tries = "; ".join(
        f"{row['server']} {row['outcome']}: {row['why']}" for row in failures
    )
    ended = f"ended with {last.get('status')} after {last.get('seconds')} s"
    why = f"{ended}, {last.get('why')}"
    return f"{why}; calls that failed: {tries}" if tries else why


def _line_text(line: Line) -> str:
    fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in _FRAME)
    return (
        f"{line.get('at')} {line.get('host')} {line.get('message')} {fields}".rstrip()
    )
