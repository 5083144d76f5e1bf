"""Records of claims: what is stored of one run of a non-idempotent request."""

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

# Greatest body that is stored for replay; base64 keeps it under the value limit.
MAX_STORED_BODY_BYTES = 700_000

# Headers of an answer that a replay repeats, in lower case.
REPLAYED_HEADERS = frozenset(
    {"content-encoding", "content-language", "content-type", "etag", "location"}
)

# Time after a call's deadline when a lookup's "not run" is final: clocks may differ,
# and what the holder sent just before its deadline may still be on its way.
LOOKUP_MARGIN_SECONDS = 10.0


class ClaimState(enum.Enum):
    """How far the run under a claim is known to have got."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class StoredAnswer:
    """A service's answer as a retry gets it; an oversized body is left out."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None = attrs.field(repr=False)
    body_bytes: int

    @classmethod
    def of(
        cls, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> "StoredAnswer":
        """Keep the headers that a replay repeats, and the body if it fits."""
        kept = tuple(h for h in headers if h[0].lower() in REPLAYED_HEADERS)
        stored = body if len(body) <= MAX_STORED_BODY_BYTES else None
        return cls(status, kept, stored, len(body))


@attrs.frozen
class ClaimRecord:
    """The value of a claim object."""

    attempt_id: AttemptId
    host: HostName
    body_digest: str
    state: ClaimState
    # The holder sends no first byte at or past this deadline.
    dispatch_by: Deadline
    # The call's own deadline: past it, a claim without an outcome is abandoned.
    finish_by: Deadline
    # When the claim may be forgotten.
    expires_at: Deadline
    answer: StoredAnswer | None = None


@attrs.frozen
class Claim:
    """A claim object; its fencing number is its version, 0 while not written."""

    key: str
    fencing: int
    record: ClaimRecord

    def may_dispatch(self, now: float) -> bool:
        """Tell whether the holder may send the first byte now."""
        return not self.record.dispatch_by.expired(now)

    def abandoned(self, now: float) -> bool:
        """Tell whether the holder, by any clock, is past the call's deadline."""
        margin = MAX_CLOCK_DIFFERENCE_SECONDS
        return Deadline.after(self.record.finish_by.at, margin).expired(now)

    def lookup_is_final(self, now: float) -> bool:
        """Tell whether nothing that the holder sent can still start to run."""
        margin = LOOKUP_MARGIN_SECONDS
        return Deadline.after(self.record.finish_by.at, margin).expired(now)

    def evolve(self, state: ClaimState, answer: StoredAnswer | None = None) -> "Claim":
        """Return the claim with another state."""
        return attrs.evolve(
            self, record=attrs.evolve(self.record, state=state, answer=answer)
        )


def claim_key(team: TeamName, key: str) -> str:
    """Return the object key of a team's idempotency key."""
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
    """Return the record as the value of its object."""
    value: JsonObject = _CONVERTER.unstructure(record)
    return value


def parse_claim(stored: StoredObject) -> Result[Claim, str]:
    """Read a claim object, or tell what is wrong with it."""
    try:
        record = _CONVERTER.structure(stored.value, ClaimRecord)
    except (ValueError, cattrs.BaseValidationError) as error:
        return Err(f"{stored.key}: malformed claim: {error}")
    return Ok(Claim(stored.key, stored.version, record))
