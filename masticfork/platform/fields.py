"""Typed access to the fields of decoded JSON or TOML."""

from typing import Any

from masticfork.core.findings import Finding, SourceLocation


class MalformedError(ValueError):
    """A field is missing or has the wrong type."""


def get_str(record: Any, name: str, default: str | None = None) -> str:
    """Return a string field, or raise MalformedError."""
    value = _get_field(record, name, default)
    if not isinstance(value, str):
        raise MalformedError(f"{name} is not a string")
    return value


def get_number(record: Any, name: str, default: float | None = None) -> float:
    """Return an integer or float field, or raise MalformedError."""
    value = _get_field(record, name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"{name} is not a number")
    return value


def get_int(record: Any, name: str, default: int | None = None) -> int:
    """Return an integer field, or raise MalformedError."""
    value = _get_field(record, name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedError(f"{name} is not an integer")
    return value


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
    return Finding(code, SourceLocation(source), str(error))


def _get_field(record: Any, name: str, default: Any) -> Any:
    if not isinstance(record, dict):
        raise MalformedError("value is not an object")
    value = record.get(name, default)
    if value is None:
        raise MalformedError(f"{name} is missing")
    return value
