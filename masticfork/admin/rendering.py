"""Format responses of the administration API as text."""

import time
from collections.abc import Iterable, Sequence
from typing import Any

JsonObject = dict[str, Any]


def table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Format rows as an aligned table, or as `(none)` if there are no rows."""
    cells = [[_cell(value) for value in row] for row in rows]
    if not cells:
        return "(none)"
    lines = [list(headers), *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def record_table(items: Iterable[JsonObject], fields: Sequence[str]) -> str:
    """Format the named fields of JSON objects as a table."""
    headers = [field.upper().replace("_", " ") for field in fields]
    return table(headers, [[item.get(field) for field in fields] for item in items])


def format_timestamp(seconds: float | None) -> str:
    """Format seconds since the Unix epoch as a time in UTC, or None as `-`."""
    if seconds is None:
        return "-"
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(seconds))


def finding_line(source: str, finding: JsonObject) -> str:
    """Format a finding with its location, in the style of compiler messages."""
    where = source
    if finding.get("line") is not None:
        where = f"{source}:{finding['line']}:{finding.get('column') or 1}"
    place = f"{where} {finding['path']}".rstrip()
    return f"{place}: {finding['severity']}: {finding['message']} [{finding['code']}]"


def change_line(change: JsonObject) -> str:
    """Format one change of a manifest."""
    match change["kind"]:
        case "added":
            return f"+ {change['path']} = {change['after']}"
        case "removed":
            return f"- {change['path']} (was {change['before']})"
        case _:
            return f"~ {change['path']}: {change['before']} -> {change['after']}"


def _cell(value: Any) -> str:
    if value is None or value == "":
        return "-"
    return f"{value:g}" if isinstance(value, float) else str(value)
