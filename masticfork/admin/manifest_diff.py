"""What changed between two manifests, by name instead of by position."""

import enum
from collections.abc import Iterator
from typing import Any

import attrs

# Hashes of keys are compared and never shown.
SECRET_FIELDS = frozenset({"key_hashes"})


class ChangeKind(enum.Enum):
    """How a value changed."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class Change:
    """One changed value; `teams[order-desk].limits` is an example of a path."""

    kind: ChangeKind
    path: str
    before: Any = None
    after: Any = None


def manifest_diff(before: dict[str, Any], after: dict[str, Any]) -> tuple[Change, ...]:
    """Return the changes between two manifests as JSON objects."""
    return tuple(_objects(before, after, ""))


def redacted(value: Any) -> Any:
    """Return the value with hashes of keys replaced by their number."""
    if isinstance(value, dict):
        return {
            key: _count(inner) if key in SECRET_FIELDS else redacted(inner)
            for key, inner in value.items()
        }
    if isinstance(value, list):
        return [redacted(inner) for inner in value]
    return value


def _count(values: list[Any]) -> str:
    return f"{len(values)} hidden"


def _objects(
    before: dict[str, Any], after: dict[str, Any], path: str
) -> Iterator[Change]:
    for key in sorted(before.keys() | after.keys()):
        inner = f"{path}.{key}" if path else key
        if key in SECRET_FIELDS:
            yield from _secrets(before.get(key), after.get(key), inner)
        else:
            yield from _values(before, after, key, inner)


def _secrets(before: Any, after: Any, path: str) -> Iterator[Change]:
    if before != after:
        shown = (_count(before or []), _count(after or []))
        yield Change(ChangeKind.CHANGED, path, *shown)


def _values(
    before: dict[str, Any], after: dict[str, Any], key: str, path: str
) -> Iterator[Change]:
    if key not in before:
        yield Change(ChangeKind.ADDED, path, None, redacted(after[key]))
        return
    if key not in after:
        yield Change(ChangeKind.REMOVED, path, redacted(before[key]), None)
        return
    old, new = before[key], after[key]
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _objects(old, new, path)
    elif _is_named(old) and _is_named(new):
        yield from _named(_by_name(old), _by_name(new), path)
    else:
        yield Change(ChangeKind.CHANGED, path, redacted(old), redacted(new))


def _named(
    before: dict[str, Any], after: dict[str, Any], path: str
) -> Iterator[Change]:
    for name in sorted(before.keys() | after.keys()):
        yield from _values(before, after, name, f"{path}[{name}]")


def _is_named(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, dict) and _name(item) is not None for item in value
    )


def _name(item: dict[str, Any]) -> Any:
    if "path" in item and "method" in item:
        return f"{item['method']} {item['path']}"
    return item.get("name", item.get("id"))


def _by_name(items: list[dict[str, Any]]) -> dict[str, Any]:
    return {str(_name(item)): item for item in items}
