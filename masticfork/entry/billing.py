"""Build the bill of a request from its token usage."""

from concurrent.futures import Future
from typing import Protocol

from masticfork.core.calls import ChatCall
from masticfork.core.configuration import Configuration
from masticfork.core.ids import HostName, VersionId
from masticfork.core.refusals import Refusal
from masticfork.entry.attempts import AttemptUsage
from masticfork.entry.routing import VersionChoice
from masticfork.ledger.bill_records import Bill, BillStep

TOKENS_PER_PRICE_UNIT = 1000


class BillSink(Protocol):
    """Stores bills so that they survive the loss of this host."""

    def refusal(self) -> Refusal | None:
        """Return a refusal while no more bills can be stored, else None."""

    def submit(self, bill: Bill) -> "Future[None]":
        """Store a bill; the future completes once the bill is durable."""


def token_cost(
    configuration: Configuration | None, version: VersionId, completion_tokens: int
) -> float:
    """Return the price of the completion tokens, in the manifest's currency."""
    declared = configuration.versions.get(version) if configuration else None
    price = declared.cost_per_1k_tokens if declared else 0.0
    return price * completion_tokens / TOKENS_PER_PRICE_UNIT


def make_bill(
    call: ChatCall,
    choice: VersionChoice,
    usages: tuple[AttemptUsage, ...],
    configuration: Configuration | None,
    outcome: str,
    host: HostName,
    now: float,
) -> Bill:
    """Return the bill of a request; only its last attempt has a cost.

    Earlier attempts were interrupted, and the team is not charged for them.
    """
    steps = []
    for number, attempt_usage in enumerate(usages, start=1):
        tokens = attempt_usage.usage.completion_tokens if number == len(usages) else 0
        steps.append(
            BillStep(
                version=choice.version,
                server=attempt_usage.server,
                attempt_id=attempt_usage.attempt,
                prompt_tokens=attempt_usage.usage.prompt_tokens,
                completion_tokens=attempt_usage.usage.completion_tokens,
                cached_tokens=attempt_usage.usage.cached_tokens,
                cost=token_cost(configuration, choice.version, tokens),
            )
        )
    return Bill(
        request_id=call.head.request_id,
        team=call.head.team.name,
        session=choice.session.id,
        steps=tuple(steps),
        work_class=call.work_class,
        outcome=outcome,
        at=now,
        host=host,
    )
