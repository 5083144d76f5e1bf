"""Faults identified by key path, before `Document` adds line and column."""

from collections.abc import Hashable, Iterable, Iterator

import attrs

from masticfork.core.findings import Severity


@attrs.frozen
class Fault:
    """A problem with the value at a key path, such as `entry.port`."""

    code: str
    path: str
    message: str
    severity: Severity = Severity.ERROR


def warning(code: str, path: str, message: str) -> Fault:
    """Return a fault that does not cause the document to be rejected."""
    return Fault(code, path, message, Severity.WARNING)


def repeated(values: Iterable[Hashable]) -> Iterator[int]:
    """Yield the index of each value that also occurs earlier."""
    seen: set[Hashable] = set()
    for index, value in enumerate(values):
        if value in seen:
            yield index
        seen.add(value)
