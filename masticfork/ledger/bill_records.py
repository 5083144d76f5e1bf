"""Records of bills and the rule that makes two bills of one request into one."""

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

# The outcome of a request whose caller got the end of its answer.
ANSWERED = "answered"


@attrs.frozen
class BillStep:
    """What one attempt of a cascade step used; `cost` in the manifest's currency."""

    version: VersionId
    server: ServerName
    attempt_id: AttemptId
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    cost: float


@attrs.frozen
class BillIdentity:
    """What a bill is for; there is one bill for each."""

    team: TeamName
    request_id: RequestId


@attrs.frozen
class Bill:
    """What one request used, over all its attempts."""

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
        """Return what the bill is for."""
        return BillIdentity(self.team, self.request_id)

    @property
    def cost(self) -> float:
        """Return the sum over the steps, in the manifest's currency."""
        return sum(step.cost for step in self.steps)


@attrs.frozen
class BillBatch:
    """Bills that are written as one object."""

    key: str
    bills: tuple[Bill, ...]


def new_batch_key(host: HostName, now: float) -> str:
    """Choose the key of a new batch, under the hour in UTC."""
    return f"{hour_prefix(now)}{host}/{random_id('batch')}"


def hour_prefix(at: float) -> str:
    """Return the prefix of all batches that were opened in an hour."""
    return f"{BILL_PREFIX}{time.strftime('%Y-%m-%dT%H', time.gmtime(at))}/"


def merge_bills(bills: Iterable[Bill]) -> dict[BillIdentity, Bill]:
    """Return the one bill that counts for each request.

    Of several bills of a request, the one whose caller got the end of its answer
    counts, else the earliest; the attempts of the others are not charged. The
    result does not depend on the order.
    """
    merged: dict[BillIdentity, Bill] = {}
    for bill in bills:
        other = merged.get(bill.identity, bill)
        merged[bill.identity] = min(bill, other, key=_precedence)
    return merged


def _precedence(bill: Bill) -> tuple[bool, float, str]:
    return bill.outcome != ANSWERED, bill.at, repr(bill)


def _converter() -> cattrs.Converter:
    converter = make_converter()
    class_field = override(rename="class")
    converter.register_unstructure_hook(
        Bill, make_dict_unstructure_fn(Bill, converter, work_class=class_field)
    )
    converter.register_structure_hook(
        Bill, make_dict_structure_fn(Bill, converter, work_class=class_field)
    )
    return converter


_CONVERTER = _converter()


def batch_value(batch: BillBatch) -> JsonObject:
    """Return a batch as the value of its object."""
    return {"bills": [_CONVERTER.unstructure(bill) for bill in batch.bills]}


def parse_batch(stored: StoredObject) -> Result[BillBatch, str]:
    """Read a batch object, or tell what is wrong with it."""
    bills = _structured(stored.value)
    return bills.map(lambda found: BillBatch(stored.key, found))


def encode_bills(bills: tuple[Bill, ...]) -> bytes:
    """Return bills as bytes, for a message between hosts."""
    return json.dumps(batch_value(BillBatch("", bills))).encode()


def decode_bills(data: bytes) -> Result[tuple[Bill, ...], str]:
    """Read bills from a message, or tell what is wrong with it."""
    try:
        return _structured(json.loads(data))
    except ValueError as error:
        return Err(f"malformed bills: {error}")


def bill_bytes(bill: Bill) -> int:
    """Return the size of a bill as JSON text."""
    return len(json.dumps(_CONVERTER.unstructure(bill)))


def _structured(value: object) -> Result[tuple[Bill, ...], str]:
    bills = value.get("bills") if isinstance(value, dict) else None
    try:
        return Ok(_CONVERTER.structure(bills, tuple[Bill, ...]))
    except (TypeError, ValueError, cattrs.BaseValidationError) as error:
        return Err(f"malformed bills: {error}")
