"""Turn what a request used into its bill."""

from concurrent.futures import Future
from typing import Protocol

from masticfork.core.calls import ChatCall
from masticfork.core.configuration import Configuration
from masticfork.core.ids import HostName, VersionId
from masticfork.core.refusals import Refusal
from masticfork.entry.attempts import AttemptUse
from masticfork.entry.routing import Placement
from masticfork.ledger.bill_records import Bill, BillStep

TOKENS_PER_PRICE_UNIT = 1000


class BillSink(Protocol):
    """Keeps bills so that they survive this host."""

    def refusal(self) -> Refusal | None:
        """Return the refusal of new work while no more bills can be kept."""

    def submit(self, bill: Bill) -> "Future[None]":
        """Return a future that is done when the bill would survive."""


def cost_of(
    configuration: Configuration | None, version: VersionId, completion_tokens: int
) -> float:
    """Return the price of the tokens, in the manifest's currency."""
    known = configuration.versions.get(version) if configuration else None
    price = known.cost_per_1k_tokens if known else 0.0
    return price * completion_tokens / TOKENS_PER_PRICE_UNIT


def bill_of(
    call: ChatCall,
    placement: Placement,
    used: tuple[AttemptUse, ...],
    configuration: Configuration | None,
    outcome: str,
    host: HostName,
    now: float,
) -> Bill:
    """Return the bill of a request; only its last attempt has a price.

    The attempts before it were cut, and the caller is not charged for them.
    """
    steps = []
    for number, use in enumerate(used, start=1):
        tokens = use.usage.completion_tokens if number == len(used) else 0
        steps.append(
            BillStep(
                version=placement.version,
                server=use.server,
                attempt_id=use.attempt,
                prompt_tokens=use.usage.prompt_tokens,
                completion_tokens=use.usage.completion_tokens,
                cached_tokens=use.usage.cached_tokens,
                cost=cost_of(configuration, placement.version, tokens),
            )
        )
    return Bill(
        request_id=call.head.request_id,
        team=call.head.team.name,
        session=placement.session.id,
        steps=tuple(steps),
        work_class=call.work_class,
        outcome=outcome,
        at=now,
        host=host,
    )
