"""What became of an answer, for metrics, roll-outs and ratings."""

from typing import Protocol

import attrs

from masticfork.core.calls import ChatCall
from masticfork.entry.routing import Placement

ANSWERED = "answered"
CUT = "cut"
CALLER_GONE = "caller_gone"


@attrs.frozen
class AnswerReport:
    """One answer that ended, whole or not; times since the Unix epoch."""

    call: ChatCall
    placement: Placement
    outcome: str
    cost: float
    tokens: int
    first_token_at: float | None
    ended_at: float
    # The frames that were handed out, where they are wanted for a rating.
    frames: tuple[bytes, ...] = attrs.field(default=(), repr=False)

    @property
    def first_token_seconds(self) -> float | None:
        """Return the time from the request to the first token."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.call.head.received_at


class AnswerObserver(Protocol):
    """Learns from answers that ended."""

    def wants_text(self, call: ChatCall, placement: Placement) -> bool:
        """Tell whether the frames of the answer are to be kept."""

    def ended(self, report: AnswerReport) -> None:
        """Take in an answer; must not wait."""
