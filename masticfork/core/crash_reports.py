"""What hosts tell each other of prompt parts and requests that crash servers."""

import attrs

# Position of a whole request among the parts of its prompt: behind all of them, since
# fewer requests hold it.
REQUEST_POSITION = 0xFF


@attrs.frozen
class CrashObservation:
    """A request that holds the suspect was unanswered when its server crashed.

    The suspect, a prompt part or a whole request, and the server's incarnation are
    identified by short keys.
    """

    suspect: int
    server: int
    # Index of the part in the prompt, or `REQUEST_POSITION`.
    position: int
    # Seconds since the crash.
    age: float


@attrs.frozen
class CrashReport:
    """One host's observations of what may crash servers."""

    observations: tuple[CrashObservation, ...] = ()
    # Seconds since an answer of a suspect, or of a server, that clears observations.
    answered: dict[int, float] = attrs.field(factory=dict)
    # Remaining seconds by suspect in quarantine.
    quarantined: dict[int, float] = attrs.field(factory=dict)
    # Suspected requests that run at a server, each by itself.
    running: frozenset[int] = frozenset()
