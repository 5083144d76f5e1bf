"""Records for dividing a team's limits between hosts."""

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, TeamName


@attrs.frozen
class Amounts:
    """Amounts of the three resources that limits apply to."""

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    in_flight: float = 0.0

    def __add__(self, other: "Amounts") -> "Amounts":
        return Amounts(
            self.requests_per_second + other.requests_per_second,
            self.tokens_per_second + other.tokens_per_second,
            self.in_flight + other.in_flight,
        )

    def elementwise_max(self, other: "Amounts") -> "Amounts":
        """Return the element-wise maximum."""
        return Amounts(
            max(self.requests_per_second, other.requests_per_second),
            max(self.tokens_per_second, other.tokens_per_second),
            max(self.in_flight, other.in_flight),
        )


@attrs.frozen
class LimitShare:
    """The part of a team's limits that one host may use until the deadline."""

    team: TeamName
    host: HostName
    amounts: Amounts
    expires: Deadline
    # Increases with every share that one owner grants to one host.
    number: int
    # Fencing token of the owner's lease.
    fencing: int


@attrs.frozen
class ShareRequest:
    """A host's request for a share, with its demand and the share that it holds."""

    team: TeamName
    host: HostName
    # Recent demand of the team's callers at this host.
    demand: Amounts
    # Amounts in use, which cannot be released immediately.
    in_use: Amounts
    holds: LimitShare | None = None
