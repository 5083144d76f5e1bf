"""What is kept of the objects of the store, in which others may write anything."""

from typing import Any

import attrs

from masticfork.platform import names
from masticfork.platform.json_values import is_larger

# Stands in the place of a spec or a status that is not decoded.
UNREADABLE = "(unreadable)"
# Stands in the place of a field that is too large: no field that is read is a boolean,
# so it is malformed, and remains so when it is sent to peers.
OMITTED = False


@attrs.frozen
class _Part:
    """What is kept of a spec or a status.

    One that takes more than `max_bytes` decoded is reduced to the fields that are read.
    A smaller one is kept whole, since hosts of later builds may read more of it.
    """

    max_bytes: int
    fields: tuple[str, ...] = ()

    def reduce(self, value: Any) -> Any:
        """Return the part of a decoded value that is kept."""
        if not is_larger(value, self.max_bytes):
            return value
        if not isinstance(value, dict):
            return UNREADABLE
        return {
            field: OMITTED if is_larger(kept, self.max_bytes) else kept
            for field in self.fields
            if (kept := value.get(field)) is not None
        }


# Entries of servers take some 2 KB, with their models some 10 KB.
_SERVER = _Part(
    16 << 10,
    (
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold_remaining_ms",
        "born",
    ),
)
_ORDER = _Part(16 << 10, ("service", "target", "duration_s"))
# It holds the requests of up to 1,000 hosts.
_PROGRESS = _Part(
    1 << 20,
    (
        "state",
        "target",
        "step",
        "ordered_at",
        "elapsed",
        "store_seconds",
        "usual_times",
        "requests",
        "order",
        "rejected",
    ),
)
_HOST = _Part(16 << 10, ("address",))

# By kind, what is kept of spec and status, None for nothing.
_PARTS: dict[str, tuple[_Part | None, _Part | None]] = {
    names.KIND_SERVERS: (_SERVER, None),
    names.KIND_ROLLOUTS: (_ORDER, _PROGRESS),
    names.KIND_HOSTS: (_HOST, None),
    names.KIND_EVACUATIONS: (None, None),
}


def reduce_object(kind: str, name: Any, spec: Any, status: Any) -> tuple[Any, Any]:
    """Return what is kept of the spec and the status of an object."""
    if kind == names.KIND_CONFIG:
        # The store accepts only a valid configuration; it is as large as need be.
        return (spec if name == names.CONFIG_NAME else None), None
    if kind not in _PARTS:
        return spec, status
    kept_spec, kept_status = _PARTS[kind]
    return (
        None if kept_spec is None else kept_spec.reduce(spec),
        None if kept_status is None else kept_status.reduce(status),
    )
