"""Lease records: the stored holder of a duty, and the lease that a holder has.

A duty is a control task that one host at a time performs.
"""

import attrs
import cattrs
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName
from masticfork.store.client import JsonObject, StoredObject

LEASE_PREFIX = "leases/"


@attrs.frozen
class LeaseRecord:
    """The JSON value of a lease object."""

    host: HostName
    # Identifies the process; after a restart, the host is another holder.
    instance: str
    # Counts the holder's writes, so that each stored value is unique.
    sequence: int
    # When the lease ends by the holder's clock; 0 if released.
    until: Deadline


@attrs.frozen
class Lease:
    """One term: a period in which one holder has a duty, over all renewals."""

    duty: str
    # The object's version at the start of the term; greater than in earlier terms.
    fencing: int
    # The object's version after the latest renewal.
    version: int
    until: Deadline


@attrs.frozen
class Held:
    """This process holds the duty."""

    lease: Lease


@attrs.frozen
class HeldElsewhere:
    """Another process holds the duty; `host` is none if nobody does."""

    host: HostName | None
    until: Deadline


LeaseOutcome = Held | HeldElsewhere


def lease_key(duty: str) -> str:
    """Return the key of a duty's lease object."""
    return f"{LEASE_PREFIX}{duty}"


def lease_value(record: LeaseRecord) -> JsonObject:
    """Encode the record as the JSON value of its object."""
    value: JsonObject = cattrs.unstructure(record)
    return value


def parse_lease(stored: StoredObject) -> Result[LeaseRecord, str]:
    """Parse a lease object; the error says what is malformed."""
    try:
        return Ok(cattrs.structure(stored.value, LeaseRecord))
    except (TypeError, ValueError, cattrs.BaseValidationError) as error:
        return Err(f"{stored.key}: malformed lease: {error}")
