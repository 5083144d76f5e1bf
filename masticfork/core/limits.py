"""Records of team limits that are shared over hosts."""

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, TeamName


@attrs.frozen
class Amounts:
    """Amounts of the three limited resources."""

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    in_flight: float = 0.0

    def __add__(self, other: "Amounts") -> "Amounts":
        return Amounts(
            self.requests_per_second + other.requests_per_second,
            self.tokens_per_second + other.tokens_per_second,
            self.in_flight + other.in_flight,
        )

    def most(self, other: "Amounts") -> "Amounts":
        """Return the greater amount of each resource."""
        return Amounts(
            max(self.requests_per_second, other.requests_per_second),
            max(self.tokens_per_second, other.tokens_per_second),
            max(self.in_flight, other.in_flight),
        )


@attrs.frozen
class Share:
    """What one host may use of a team's limits until the deadline."""

    team: TeamName
    host: HostName
    amounts: Amounts
    expires: Deadline
    # Grows with every share that one owner hands to one host.
    number: int
    # Fencing number of the owner's lease.
    fencing: int


@attrs.frozen
class ShareRequest:
    """A host's demand, which also tells the share that it holds."""

    team: TeamName
    host: HostName
    # What the team's callers asked of this host lately.
    demand: Amounts
    # What is in use now and cannot be given back at once.
    in_use: Amounts
    holds: Share | None = None
