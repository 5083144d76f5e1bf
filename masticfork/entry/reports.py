"""Reports on finished answers, for metrics, rollouts and ratings."""

from typing import Protocol

import attrs

from masticfork.core.calls import ChatCall
from masticfork.entry.routing import VersionChoice

ANSWERED = "answered"
INTERRUPTED = "cut"
CALLER_GONE = "caller_gone"


@attrs.frozen
class AnswerReport:
    """A finished answer, complete or not; times are seconds since the Unix epoch."""

    call: ChatCall
    choice: VersionChoice
    outcome: str
    cost: float
    tokens: int
    first_token_at: float | None
    ended_at: float
    # The frames sent to the caller; kept only for answers to be rated.
    frames: tuple[bytes, ...] = attrs.field(default=(), repr=False)

    @property
    def first_token_seconds(self) -> float | None:
        """Return the seconds from receipt of the request to its first token."""
        if self.first_token_at is None:
            return None
        return self.first_token_at - self.call.head.received_at


class AnswerObserver(Protocol):
    """Receives reports on finished answers."""

    def needs_text(self, call: ChatCall, choice: VersionChoice) -> bool:
        """Return whether the frames of the answer are to be kept."""

    def record_answer(self, report: AnswerReport) -> None:
        """Process the report on a finished answer; must not block."""
