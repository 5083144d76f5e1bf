"""Records of leases: what is stored of one duty's holder, and what a holder has."""

import attrs
import cattrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName
from masticfork.store.client import JsonObject, StoredObject

LEASE_PREFIX = "leases/"


@attrs.frozen
class LeaseRecord:
    """The value of a lease object."""

    host: HostName
    # The process on the host; a host's next process is another holder.
    instance: str
    # Counts the holder's writes, so that each value is recognisable.
    sequence: int
    # When the lease ends by the holder's clock; 0 once it was released.
    until: Deadline


@attrs.frozen
class Lease:
    """One term of a duty at its holder."""

    duty: str
    # The object's version at the start of the term; greater than of any earlier one.
    fencing: int
    # The object's version now.
    version: int
    until: Deadline


@attrs.frozen
class Held:
    """This host holds the duty."""

    lease: Lease


@attrs.frozen
class HeldElsewhere:
    """Another process holds the duty, or nobody where `host` is none."""

    host: HostName | None
    until: Deadline


LeaseOutcome = Held | HeldElsewhere


def lease_key(duty: str) -> str:
    """Return the key of a duty's lease object."""
    return f"{LEASE_PREFIX}{duty}"


def lease_value(record: LeaseRecord) -> JsonObject:
    """Return the record as the value of its object."""
    value: JsonObject = cattrs.unstructure(record)
    return value


def parse_lease(stored: StoredObject) -> Result[LeaseRecord, str]:
    """Read a lease object, or tell what is wrong with it."""
    try:
        return Ok(cattrs.structure(stored.value, LeaseRecord))
    except (TypeError, ValueError, cattrs.BaseValidationError) as error:
        return Err(f"{stored.key}: malformed lease: {error}")
