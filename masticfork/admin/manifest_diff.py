"""Differences between two manifests, with list items matched by name."""

import enum
from collections.abc import Iterator
from typing import Any

import attrs

# Key hashes are compared but never shown.
SECRET_FIELDS = frozenset({"key_hashes"})


class ChangeKind(enum.Enum):
    """How a value changed."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class Change:
    """One changed value, at a path such as `teams[order-desk].limits`."""

    kind: ChangeKind
    path: str
    before: Any = None
    after: Any = None


def manifest_diff(before: dict[str, Any], after: dict[str, Any]) -> tuple[Change, ...]:
    """Return the changes between two manifests as JSON objects."""
    return tuple(_diff_objects(before, after, ""))


def redact(value: Any) -> Any:
    """Return the value with each list of key hashes replaced by its length."""
    if isinstance(value, dict):
        return {
            key: _hidden_count(inner) if key in SECRET_FIELDS else redact(inner)
            for key, inner in value.items()
        }
    if isinstance(value, list):
        return [redact(inner) for inner in value]
    return value


def _hidden_count(values: list[Any]) -> str:
    return f"{len(values)} hidden"


def _diff_objects(
    before: dict[str, Any], after: dict[str, Any], path: str
) -> Iterator[Change]:
    for key in sorted(before.keys() | after.keys()):
        inner = f"{path}.{key}" if path else key
        if key in SECRET_FIELDS:
            yield from _diff_secrets(before.get(key), after.get(key), inner)
        else:
            yield from _diff_member(before, after, key, inner)


def _diff_secrets(before: Any, after: Any, path: str) -> Iterator[Change]:
    if before != after:
        counts = (_hidden_count(before or []), _hidden_count(after or []))
        yield Change(ChangeKind.CHANGED, path, *counts)


def _diff_member(
    before: dict[str, Any], after: dict[str, Any], key: str, path: str
) -> Iterator[Change]:
    if key not in before:
        yield Change(ChangeKind.ADDED, path, None, redact(after[key]))
        return
    if key not in after:
        yield Change(ChangeKind.REMOVED, path, redact(before[key]), None)
        return
    old, new = before[key], after[key]
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _diff_objects(old, new, path)
    elif _has_named_items(old) and _has_named_items(new):
        yield from _diff_named_items(_by_name(old), _by_name(new), path)
    else:
        yield Change(ChangeKind.CHANGED, path, redact(old), redact(new))


def _diff_named_items(
    before: dict[str, Any], after: dict[str, Any], path: str
) -> Iterator[Change]:
    for name in sorted(before.keys() | after.keys()):
        yield from _diff_member(before, after, name, f"{path}[{name}]")


def _has_named_items(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, dict) and _item_name(item) is not None for item in value
    )


def _item_name(item: dict[str, Any]) -> Any:
    if "path" in item and "method" in item:
        return f"{item['method']} {item['path']}"
    return item.get("name", item.get("id"))


def _by_name(items: list[dict[str, Any]]) -> dict[str, Any]:
    return {str(_item_name(item)): item for item in items}
