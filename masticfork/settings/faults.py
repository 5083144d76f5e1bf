"""Faults by key path, before they get their place in a document."""

from collections.abc import Hashable, Iterable, Iterator

import attrs

from masticfork.core.findings import Severity


@attrs.frozen
class Fault:
    """What is wrong at a key path."""

    code: str
    path: str
    message: str
    severity: Severity = Severity.ERROR


def warning(code: str, path: str, message: str) -> Fault:
    """Make a fault that does not refuse the document."""
    return Fault(code, path, message, Severity.WARNING)


def repeated(values: Iterable[Hashable]) -> Iterator[int]:
    """Yield the index of each value that stands earlier too."""
    seen: set[Hashable] = set()
    for index, value in enumerate(values):
        if value in seen:
            yield index
        seen.add(value)
