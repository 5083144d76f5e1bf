"""Stored form of configurations, with their provenance."""

from typing import Any

import attrs
from result import Err, Ok, Result

from masticfork.core.configuration import Configuration
from masticfork.core.findings import Finding, Findings, SourceLocation
from masticfork.settings.manifest import parse_manifest_object
from masticfork.settings.settings import Role
from masticfork.store.client import JsonObject, StoredObject

CURRENT_KEY = "configuration/current"
HISTORY_PREFIX = "configuration/history/"
SUBMISSION_PREFIX = "configuration/submissions/"

# Numbers in keys are zero-padded so that keys sort in numeric order.
NUMBER_DIGITS = 20


@attrs.frozen
class Provenance:
    """Who submitted a configuration and when."""

    # Version of the stored object; 0 while it is not stored yet.
    number: int
    submission_id: str
    submitted_by: str
    role: Role
    # Seconds since the Unix epoch.
    submitted_at: float
    # Number of the configuration that this one replaced; 0 for none.
    previous: int
    # Count of configurations accepted so far, this one included.
    sequence: int


@attrs.frozen
class StoredConfiguration:
    """A configuration with its provenance and its manifest as JSON."""

    provenance: Provenance
    manifest: dict[str, Any] = attrs.field(repr=False)


def history_key(number: int) -> str:
    """Return the key under which a replaced configuration is kept."""
    return f"{HISTORY_PREFIX}{number:0{NUMBER_DIGITS}d}"


def submission_key(submission_id: str) -> str:
    """Return the key of the entry that maps a submission id to its number."""
    return f"{SUBMISSION_PREFIX}{submission_id}"


def encode(stored: StoredConfiguration) -> JsonObject:
    """Return the object to store; the number is its version and left out."""
    provenance = stored.provenance
    return {
        "submission_id": provenance.submission_id,
        "submitted_by": provenance.submitted_by,
        "role": provenance.role.value,
        "submitted_at": provenance.submitted_at,
        "previous": provenance.previous,
        "sequence": provenance.sequence,
        "manifest": stored.manifest,
    }


def decode(value: JsonObject, number: int) -> Result[StoredConfiguration, Findings]:
    """Parse the content of a stored object as a configuration."""
    try:
        provenance = Provenance(
            number=number,
            submission_id=str(value["submission_id"]),
            submitted_by=str(value["submitted_by"]),
            role=Role(value["role"]),
            submitted_at=float(value["submitted_at"]),
            previous=int(value["previous"]),
            sequence=int(value["sequence"]),
        )
        return Ok(StoredConfiguration(provenance, dict(value["manifest"])))
    except (KeyError, TypeError, ValueError) as error:
        message = f"the stored configuration is malformed: {error!r}"
        return Err(
            (Finding("malformed", SourceLocation(f"configuration {number}"), message),)
        )


def configuration_of(stored: StoredObject) -> Result[Configuration, Findings]:
    """Parse and validate the object at `configuration/current` for use by a host."""
    decoded = decode(stored.value, stored.version)
    if isinstance(decoded, Err):
        return decoded
    source = f"configuration {stored.version}"
    parsed = parse_manifest_object(decoded.ok_value.manifest, source)
    if isinstance(parsed, Err):
        return parsed
    manifest, _ = parsed.ok_value
    submission_id = decoded.ok_value.provenance.submission_id
    return Ok(Configuration(stored.version, submission_id, manifest))
