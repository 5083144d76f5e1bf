"""Bill records, their JSON encoding, and how duplicate bills are resolved."""

import json
import time
from collections.abc import Iterable

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from masticfork.core.ids import (
    AttemptId,
    HostName,
    RequestId,
    ServerName,
    SessionId,
    TeamName,
    VersionId,
    random_id,
)
from masticfork.core.manifest import WorkClass
from masticfork.store.client import JsonObject, StoredObject

BILL_PREFIX = "bills/"

# The outcome of a request whose caller received the complete answer.
ANSWERED = "answered"


@attrs.frozen
class BillStep:
    """The usage of one attempt at a cascade step; `cost` in the manifest's currency."""

    version: VersionId
    server: ServerName
    attempt_id: AttemptId
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    cost: float


@attrs.frozen
class BillIdentity:
    """The unique key of a bill: a request of a team."""

    team: TeamName
    request_id: RequestId


@attrs.frozen
class Bill:
    """The usage of one request over all its attempts."""

    request_id: RequestId
    team: TeamName
    session: SessionId
    steps: tuple[BillStep, ...]
    work_class: WorkClass
    outcome: str
    # Seconds since the Unix epoch.
    at: float
    host: HostName

    @property
    def identity(self) -> BillIdentity:
        """Return the bill's unique key."""
        return BillIdentity(self.team, self.request_id)

    @property
    def cost(self) -> float:
        """Return the total cost of the steps, in the manifest's currency."""
        return sum(step.cost for step in self.steps)


@attrs.frozen
class BillBatch:
    """Bills that are stored as one object."""

    key: str
    bills: tuple[Bill, ...]


def new_batch_key(host: HostName, now: float) -> str:
    """Return a unique key for a batch opened at `now`, under its UTC hour."""
    return f"{hour_prefix(now)}{host}/{random_id('batch')}"


def hour_prefix(at: float) -> str:
    """Return the key prefix of the batches opened in the UTC hour of `at`."""
    return f"{BILL_PREFIX}{time.strftime('%Y-%m-%dT%H', time.gmtime(at))}/"


def select_charged_bills(bills: Iterable[Bill]) -> dict[BillIdentity, Bill]:
    """Return the one bill to charge for each request.

    If a request has several bills, the earliest with the outcome "answered" is
    charged, or else the earliest; attempts in the other bills are not charged. The
    result does not depend on the order of the input.
    """
    merged: dict[BillIdentity, Bill] = {}
    for bill in bills:
        current = merged.get(bill.identity, bill)
        merged[bill.identity] = min(bill, current, key=_precedence)
    return merged


def _precedence(bill: Bill) -> tuple[bool, float, str]:
    return bill.outcome != ANSWERED, bill.at, repr(bill)


def _make_converter() -> cattrs.Converter:
    converter = make_converter()
    class_field = override(rename="class")
    converter.register_unstructure_hook(
        Bill, make_dict_unstructure_fn(Bill, converter, work_class=class_field)
    )
    converter.register_structure_hook(
        Bill, make_dict_structure_fn(Bill, converter, work_class=class_field)
    )
    return converter


_CONVERTER = _make_converter()


def batch_value(batch: BillBatch) -> JsonObject:
    """Encode a batch as the JSON value of its stored object."""
    return {"bills": [_CONVERTER.unstructure(bill) for bill in batch.bills]}


def parse_batch(stored: StoredObject) -> Result[BillBatch, str]:
    """Parse a stored batch; the error says what is malformed."""
    parsed = _structure_bills(stored.value)
    return parsed.map(lambda bills: BillBatch(stored.key, bills))


def encode_bills(bills: tuple[Bill, ...]) -> bytes:
    """Encode bills as JSON for a message between hosts."""
    return json.dumps(batch_value(BillBatch("", bills))).encode()


def decode_bills(data: bytes) -> Result[tuple[Bill, ...], str]:
    """Parse bills from `encode_bills`; the error says what is malformed."""
    try:
        return _structure_bills(json.loads(data))
    except ValueError as error:
        return Err(f"malformed bills: {error}")


def bill_size_bytes(bill: Bill) -> int:
    """Return the length of a bill's JSON encoding."""
    return len(json.dumps(_CONVERTER.unstructure(bill)))


def _structure_bills(value: object) -> Result[tuple[Bill, ...], str]:
    bills = value.get("bills") if isinstance(value, dict) else None
    try:
        return Ok(_CONVERTER.structure(bills, tuple[Bill, ...]))
    except (TypeError, ValueError, cattrs.BaseValidationError) as error:
        return Err(f"malformed bills: {error}")
