"""Turn what a request used into its bill."""

from collections.abc import Callable
from concurrent.futures import Future
from typing import Protocol

import attrs

from masticfork.core.calls import ChatCall
from masticfork.core.configuration import Configuration
from masticfork.core.ids import VersionId
from masticfork.entry.answer import AttemptUse
from masticfork.entry.routing import Placement

TOKENS_PER_PRICE_UNIT = 1000


@attrs.frozen
class ChatBill:
    """What one answered request used and costs."""

    call: ChatCall
    placement: Placement
    used: tuple[AttemptUse, ...]
    outcome: str
    cost: float


class BillSink(Protocol):
    """Keeps bills so that they survive this host."""

    def submit(self, bill: ChatBill) -> "Future[None]":
        """Return a future that is done when the bill would survive."""


def cost_of(
    configuration: Configuration, version: VersionId, completion_tokens: int
) -> float:
    """Return the price of the tokens, in the manifest's currency."""
    known = configuration.versions.get(version)
    price = known.cost_per_1k_tokens if known else 0.0
    return price * completion_tokens / TOKENS_PER_PRICE_UNIT


class VolatileBills:
    """Keep bills in memory only, for a trial on one host."""

    def __init__(self, record: Callable[[ChatBill], None]) -> None:
        self._record = record

    def submit(self, bill: ChatBill) -> "Future[None]":
        """Return a finished future."""
        self._record(bill)
        future: Future[None] = Future()
        future.set_result(None)
        return future
