"""Admits or refuses requests by the room of their service, where it may be scarce."""

import math
from collections.abc import Callable

from masticfork.core.digests import TeamWork
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.systems.scarce_room import (
    Admission,
    RoomRefusal,
    RoomRequest,
    decide,
    is_scarce,
)
from masticfork.systems.server_choice import Work
from masticfork.systems.team_shares import TeamShares

# Stands for the team of requests to public routes.
NO_TEAM = ""
# Work of a request to a service without models.
PLAIN_REQUEST_WORK = 1.0


class RoomGate:
    """Decides on each new request; `enabled` by the settings of the deployment."""

    def __init__(
        self,
        loop: Loop,
        metrics: RelayMetrics,
        log: Callable[..., None],
        enabled: bool,
    ) -> None:
        self._loop = loop
        self._metrics = metrics
        self._log = log
        self._enabled = enabled
        self._shares = TeamShares()

    def admit(
        self,
        attempt_id: str,
        work: Work,
        team: str | None,
        priority: int,
        target: float,
        time_left: float,
        min_wait: Callable[[], float],
    ) -> Admission | RoomRefusal:
        """Return the decision on a request that is about to be sent.

        `min_wait` returns the expected seconds to its answer, infinity if no server
        accepts it; that is for the choice of the server to tell.
        """
        if not self._enabled:
            return Admission(priority)
        now, ordered = self._loop.now, work.model is not None
        amount = work.prompt_tokens if ordered else PLAIN_REQUEST_WORK
        name = team or NO_TEAM
        self._shares.record(work.service, name, amount, now)
        expected = min_wait()
        if math.isinf(expected):
            return Admission(priority)
        # The work of all teams at all hosts is added up only where it matters.
        over_share = is_scarce(expected, target) and self._shares.is_over_share(
            work.service, name, now
        )
        request = RoomRequest(
            priority=priority,
            over_share=over_share,
            ordered=ordered,
            target=target,
            time_left=time_left,
            expected=expected,
        )
        decision = decide(request)
        self._report(attempt_id, work.service, name, request, decision)
        return decision

    @property
    def team_work(self) -> tuple[TeamWork, ...]:
        """Return this host's work by team for the others."""
        return self._shares.report(self._loop.now) if self._enabled else ()

    def apply(self, host: str, work: tuple[TeamWork, ...]) -> None:
        """Apply another host's work by team."""
        if self._enabled and work:
            self._shares.apply(host, work, self._loop.now)

    def _report(
        self,
        attempt_id: str,
        service: str,
        team: str,
        request: RoomRequest,
        decision: Admission | RoomRefusal,
    ) -> None:
        if isinstance(decision, RoomRefusal):
            label = "refused"
        else:
            label = "yielded" if decision.why else "admitted"
        self._metrics.room_decisions.labels(service, label).inc()
        if not decision.why:
            return
        self._log(
            "room decision",
            request=attempt_id,
            service=service,
            team=team,
            decision=label,
            why=decision.why,
            priority=request.priority,
            expected=round(request.expected, 3),
            target=request.target,
            left=round(request.time_left, 3),
        )
