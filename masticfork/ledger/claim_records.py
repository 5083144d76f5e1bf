"""Claim records: the stored state of one run of a non-idempotent request."""

import base64
import enum

import attrs
import cattrs
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import AttemptId, HostName, TeamName, digest
from masticfork.ledger.clocks import MAX_CLOCK_DIFFERENCE_SECONDS
from masticfork.store.client import JsonObject, StoredObject

CLAIM_PREFIX = "claims/"

# Largest body stored for replay; in base64 it stays under the value size limit.
MAX_STORED_BODY_BYTES = 700_000

# Names of the response headers that are stored and replayed, in lower case.
REPLAYED_HEADERS = frozenset(
    {"content-encoding", "content-language", "content-type", "etag", "location"}
)

# Delay after a call's deadline before a lookup's "not run" is final: clocks may differ,
# and a request sent just before the deadline may still be in transit.
LOOKUP_MARGIN_SECONDS = 10.0


class ClaimState(enum.Enum):
    """The known state of the run that a claim covers."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class StoredAnswer:
    """A service's answer as it is replayed; `body` is none if it was too large."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None = attrs.field(repr=False)
    body_bytes: int

    @classmethod
    def of(
        cls, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> "StoredAnswer":
        """Keep only the headers that are replayed; drop a body that is too large."""
        kept = tuple(h for h in headers if h[0].lower() in REPLAYED_HEADERS)
        stored = body if len(body) <= MAX_STORED_BODY_BYTES else None
        return cls(status, kept, stored, len(body))


@attrs.frozen
class ClaimRecord:
    """The JSON value of a claim object."""

    attempt_id: AttemptId
    host: HostName
    body_digest: str
    state: ClaimState
    # The holder must not start sending the request at or after this deadline.
    dispatch_by: Deadline
    # The call's deadline; after it, a claim without an outcome is abandoned.
    finish_by: Deadline
    # When the claim may be deleted.
    expires_at: Deadline
    answer: StoredAnswer | None = None


@attrs.frozen
class Claim:
    """A claim object; its fencing token is its version, 0 while not written."""

    key: str
    fencing: int
    record: ClaimRecord

    def may_dispatch(self, now: float) -> bool:
        """Return whether the holder may still start sending the request."""
        return not self.record.dispatch_by.expired(now)

    def abandoned(self, now: float) -> bool:
        """Return whether the call's deadline has passed on every host's clock."""
        margin = MAX_CLOCK_DIFFERENCE_SECONDS
        return Deadline.after(self.record.finish_by.at, margin).expired(now)

    def lookup_is_final(self, now: float) -> bool:
        """Return whether a request sent by the holder can no longer start to run."""
        margin = LOOKUP_MARGIN_SECONDS
        return Deadline.after(self.record.finish_by.at, margin).expired(now)

    def with_state(
        self, state: ClaimState, answer: StoredAnswer | None = None
    ) -> "Claim":
        """Return a copy of the claim with another state and answer."""
        return attrs.evolve(
            self, record=attrs.evolve(self.record, state=state, answer=answer)
        )


def claim_key(team: TeamName, key: str) -> str:
    """Return the key of the claim object for a team's idempotency key."""
    return f"{CLAIM_PREFIX}{team}/{digest(team, key)}"


def _make_converter() -> cattrs.Converter:
    converter = make_converter()
    converter.register_unstructure_hook(bytes, lambda b: base64.b64encode(b).decode())
    converter.register_structure_hook(
        bytes, lambda text, _: base64.b64decode(text, validate=True)
    )
    return converter


_CONVERTER = _make_converter()


def claim_value(record: ClaimRecord) -> JsonObject:
    """Encode the record as the JSON value of its object."""
    value: JsonObject = _CONVERTER.unstructure(record)
    return value


def parse_claim(stored: StoredObject) -> Result[Claim, str]:
    """Parse a claim object; the error says what is malformed."""
    try:
        record = _CONVERTER.structure(stored.value, ClaimRecord)
    except (ValueError, cattrs.BaseValidationError) as error:
        return Err(f"{stored.key}: malformed claim: {error}")
    return Ok(Claim(stored.key, stored.version, record))
