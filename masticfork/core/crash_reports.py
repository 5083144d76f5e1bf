"""What hosts tell each other of servers that crash on certain prompts."""

import attrs


@attrs.frozen
class PartObservation:
    """A request with a prompt part was unanswered when its server crashed.

    The part and the server's incarnation are identified by short keys.
    """

    part: int
    server: int
    # Index of the part in the prompt.
    position: int
    # Seconds since the crash.
    age: float


@attrs.frozen
class CrashReport:
    """One host's observations of parts that may crash servers."""

    observations: tuple[PartObservation, ...] = ()
    # Seconds since an answer of a part, or of a server, that clears observations.
    answered: dict[int, float] = attrs.field(factory=dict)
    # Remaining seconds by part in quarantine.
    quarantined: dict[int, float] = attrs.field(factory=dict)
