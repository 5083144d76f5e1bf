"""Typed access to the fields of decoded JSON or TOML."""

import reprlib
from typing import Any, TypeVar

from masticfork.core.findings import Finding, SourceLocation

N = TypeVar("N", int, float)


# Longest text; names in it are sent in headers, digests and log lines.
MAX_TEXT_CHARACTERS = 1000
# Largest magnitude of a number: all integers up to it are exact as floats as well.
MAX_NUMBER = 1 << 53
MAX_MESSAGE_CHARACTERS = 200


class MalformedError(ValueError):
    """A field is missing or has the wrong type."""


def get_str(record: Any, name: str, default: str | None = None) -> str:
    """Return a string field, or raise MalformedError."""
    value = _get_field(record, name, default)
    if not isinstance(value, str):
        raise MalformedError(f"{name} is not a string")
    if not is_text(value):
        raise MalformedError(f"{name} is not printable text: {value!a}")
    return value


def is_text(value: Any) -> bool:
    """Return whether a value is a printable string of a bounded length.

    Others cannot be encoded, or would break the headers in which they are sent.
    """
    return (
        isinstance(value, str)
        and len(value) <= MAX_TEXT_CHARACTERS
        and value.isprintable()
    )


def get_number(record: Any, name: str, default: float | None = None) -> float:
    """Return an integer or float field, or raise MalformedError."""
    value = _get_field(record, name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"{name} is not a number")
    return _in_range(name, value)


def get_int(record: Any, name: str, default: int | None = None) -> int:
    """Return an integer field, or raise MalformedError."""
    value = _get_field(record, name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedError(f"{name} is not an integer")
    return _in_range(name, value)


def get_bool(record: Any, name: str, default: bool | None = None) -> bool:
    """Return a boolean field, or raise MalformedError."""
    value = _get_field(record, name, default)
    if not isinstance(value, bool):
        raise MalformedError(f"{name} is not a boolean")
    return value


def get_list(record: Any, name: str) -> list[Any]:
    """Return a list field, empty where it is missing, or raise MalformedError."""
    value = record.get(name) if isinstance(record, dict) else None
    if value is None:
        return []
    if not isinstance(value, list):
        raise MalformedError(f"{name} is not a list")
    return value


def malformed_finding(code: str, source: str, error: Exception) -> Finding:
    """Return the finding that reports a malformed object or file."""
    message = str(error)[:MAX_MESSAGE_CHARACTERS]
    return Finding(code, SourceLocation(source), message)


def _in_range(name: str, value: N) -> N:
    # The comparison is false for NaN, too.
    if not abs(value) <= MAX_NUMBER:
        raise MalformedError(f"{name} is out of range")
    return value


def _get_field(record: Any, name: str, default: Any) -> Any:
    if not isinstance(record, dict):
        raise MalformedError(f"{reprlib.repr(record)} is not an object")
    value = record.get(name, default)
    if value is None:
        raise MalformedError(f"{name} is missing")
    return value
