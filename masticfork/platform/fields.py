"""Reads typed fields of decoded JSON or TOML."""

from typing import Any

from masticfork.core.findings import Finding, Place


class MalformedError(ValueError):
    """A field is missing or has another type than it should."""


def text(row: Any, name: str, default: str | None = None) -> str:
    """Return a string field."""
    value = _field(row, name, default)
    if not isinstance(value, str):
        raise MalformedError(f"{name} is not a string")
    return value


def number(row: Any, name: str, default: float | None = None) -> float:
    """Return a numeric field."""
    value = _field(row, name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"{name} is not a number")
    return value


def whole(row: Any, name: str, default: int | None = None) -> int:
    """Return an integer field."""
    value = _field(row, name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedError(f"{name} is not a whole number")
    return value


def flag(row: Any, name: str, default: bool | None = None) -> bool:
    """Return a boolean field."""
    value = _field(row, name, default)
    if not isinstance(value, bool):
        raise MalformedError(f"{name} is not true or false")
    return value


def rows(row: Any, name: str) -> list[Any]:
    """Return a list field; a missing one is empty."""
    value = row.get(name) if isinstance(row, dict) else None
    if value is None:
        return []
    if not isinstance(value, list):
        raise MalformedError(f"{name} is not a list")
    return value


def finding(code: str, source: str, error: Exception) -> Finding:
    """Return the finding for an entry that cannot be read."""
    return Finding(code, Place(source), str(error))


def _field(row: Any, name: str, default: Any) -> Any:
    if not isinstance(row, dict):
        raise MalformedError("not an object")
    value = row.get(name, default)
    if value is None:
        raise MalformedError(f"{name} is missing")
    return value
