"""What entry hosts tell each other of their work."""

import attrs


@attrs.frozen
class LoadShare:
    """One host's calls at one server."""

    running: int
    # Running calls, weighed by the work of their models.
    busy: float
    # Prompt tokens, weighed by the model, that the server has not read yet.
    pending_work: float


@attrs.frozen
class RolloutEvidence:
    """One host's answers of both versions during a roll-out."""

    service: str
    created: int
    new_good: float
    new_bad: float
    old_good: float
    old_bad: float
    old_running: int
    new_slow: float = 0.0
    old_slow: float = 0.0


@attrs.frozen
class Digest:
    """One host's work at one moment."""

    host: str
    # Start of the host's process in Unix milliseconds.
    incarnation: int
    sequence: int
    # Version of the configuration in force, 0 for none.
    configuration: int
    # The store's revision up to which the host knows the servers.
    servers: int
    # By hash of the server's identifier.
    loads: dict[int, LoadShare]
    rollouts: tuple[RolloutEvidence, ...]
    # Versions by session, both in short form: those that ran since the last digests.
    sessions: dict[int, int] = attrs.field(factory=dict)
    # Whether it holds only the loads that changed; all else stands as told before.
    partial: bool = False

    def followed_by(self, later: "Digest") -> "Digest":
        """Return what holds after a later digest."""
        if not later.partial:
            return later
        loads = self.loads | later.loads
        return attrs.evolve(
            later,
            loads={server: load for server, load in loads.items() if load.running},
            rollouts=self.rollouts,
            partial=False,
        )
