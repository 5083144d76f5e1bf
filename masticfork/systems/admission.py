"""Admit requests at one host: team limits first, then overload of the pool."""

import threading
from collections import deque

from result import Err, Ok, Result

from masticfork.core.ids import TeamName
from masticfork.core.limits import Amounts
from masticfork.core.refusals import Reason, Refusal
from masticfork.systems.admission_records import (
    Admission,
    AdmissionRequest,
    Ticket,
    Verdict,
)
from masticfork.systems.pool_queue import PoolQueue
from masticfork.systems.team_limits import ShareSource, TeamLimits

# Requests in service of a pool before its capacity is known.
FIRST_SLOTS = 8
# Requests that wait at this host; each holds one of the listener's threads.
MAX_WAITING = 300


class FairAdmission:
    """Admits by team limits, class, deadline and fairness; safe for threads."""

    def __init__(self, shares: ShareSource, max_waiting: int = MAX_WAITING) -> None:
        """Let at most `max_waiting` requests wait, over all pools."""
        self._lock = threading.Lock()
        self._limits = TeamLimits(shares)
        self._pools: dict[str, PoolQueue] = {}
        self._max_waiting = max_waiting
        self._started_at: dict[Ticket, float] = {}

    def admit(self, request: AdmissionRequest, now: float) -> Result[Ticket, Refusal]:
        """Return a ticket whose verdict the caller awaits, or a refusal."""
        with self._lock:
            pool = self._pool(request.pool)
            if request.deadline.expired(now):
                return Err(_expired())
            entered = self._limits.enter(
                request.team, request.max_tokens, request.uses_tokens, now
            )
            if isinstance(entered, Err):
                return entered
            start_by = pool.start_by(request)
            ticket = Ticket(request, now, entered.ok_value, start_by=start_by)
            refusal = self._place(pool, ticket, now)
            if refusal is not None:
                self._leave(ticket, now)
                return Err(refusal)
            self._serve(pool, now)
            return Ok(ticket)

    def give_up(self, ticket: Ticket, now: float) -> Verdict:
        """End the wait of a ticket; Ok where it got into service meanwhile."""
        with self._lock:
            pool = self._pool(ticket.request.pool)
            if pool.remove(ticket):
                self._refuse(pool, ticket, now)
        return ticket.verdict.result()

    def finish(self, ticket: Ticket, tokens: float | None, now: float) -> None:
        """Free what a ticket in service holds and charge the tokens it took."""
        with self._lock:
            started = self._started_at.pop(ticket, None)
            if started is None:
                return
            request = ticket.request
            pool = self._pool(request.pool)
            pool.in_service -= 1
            # The time of a failure says nothing of how long an answer takes.
            if tokens is not None:
                pool.times.observe(request.work_class, max(0.0, now - started))
            self._limits.leave(request.team, ticket.charged_tokens, tokens, now)
            self._serve(pool, now)

    def run_pools(self, slots: dict[str, int], now: float) -> None:
        """Use these numbers of requests in service for the pools."""
        with self._lock:
            for name, number in slots.items():
                pool = self._pool(name)
                pool.slots = number
                self._serve(pool, now)

    def demand(self, team: TeamName, now: float) -> Amounts:
        """Return what the team's callers asked of this host lately."""
        with self._lock:
            return self._limits.demand(team, now)

    def in_use(self, team: TeamName) -> Amounts:
        """Return what cannot be given back at once."""
        with self._lock:
            return self._limits.in_use(team)

    def _pool(self, name: str) -> PoolQueue:
        return self._pools.setdefault(name, PoolQueue(FIRST_SLOTS))

    def _place(self, pool: PoolQueue, ticket: Ticket, now: float) -> Refusal | None:
        start = pool.expected_start(ticket, now)
        start_by = ticket.start_by.at
        # A free slot is worth a try: the estimate may be that of longer requests.
        idle = pool.in_service < pool.slots and not pool.waiting
        if start > start_by and not idle:
            return pool.refusal(now + start - start_by, now)
        waiting = sum(other.waiting for other in self._pools.values())
        if waiting >= self._max_waiting and not idle:
            # A slow pool must not take the threads that callers of others need.
            longest = max(self._pools.values(), key=lambda other: other.waiting)
            victim = longest.displaced_by(ticket)
            if victim is None:
                return pool.refusal(start, now)
            self._refuse(longest, victim, now)
        pool.push(ticket)
        return None

    def _serve(self, pool: PoolQueue, now: float) -> None:
        while (ticket := pool.start_next()) is not None:
            self._started_at[ticket] = now
            ticket.verdict.set_result(Ok(None))
        for ticket in pool.hopeless(now):
            self._refuse(pool, ticket, now)

    def _refuse(self, pool: PoolQueue, ticket: Ticket, now: float) -> None:
        self._leave(ticket, now)
        refusal = pool.refusal(pool.expected_start(ticket, now), now)
        ticket.verdict.set_result(Err(refusal))

    def _leave(self, ticket: Ticket, now: float) -> None:
        charged = ticket.charged_tokens
        self._limits.leave(ticket.request.team, charged, None, now)


class FifoAdmission:
    """Serves in order of arrival and refuses nothing; the baseline."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._slots: dict[str, int] = {}
        self._in_service: dict[str, int] = {}
        self._waiting: dict[str, deque[Ticket]] = {}

    def admit(self, request: AdmissionRequest, now: float) -> Result[Ticket, Refusal]:
        """Return a ticket whose verdict the caller awaits."""
        ticket = Ticket(request, now, 0.0, start_by=request.deadline)
        with self._lock:
            self._waiting.setdefault(request.pool, deque()).append(ticket)
            self._serve(request.pool)
        return Ok(ticket)

    def give_up(self, ticket: Ticket, now: float) -> Verdict:
        """End the wait of a ticket; Ok where it got into service meanwhile."""
        with self._lock:
            if not ticket.verdict.done():
                self._waiting[ticket.request.pool].remove(ticket)
                ticket.verdict.set_result(Err(_expired()))
        return ticket.verdict.result()

    def finish(self, ticket: Ticket, tokens: float | None, now: float) -> None:
        """Free the slot of a ticket in service."""
        with self._lock:
            self._in_service[ticket.request.pool] -= 1
            self._serve(ticket.request.pool)

    def run_pools(self, slots: dict[str, int], now: float) -> None:
        """Use these numbers of requests in service for the pools."""
        with self._lock:
            self._slots |= slots
            for name in slots:
                self._serve(name)

    def _serve(self, pool: str) -> None:
        waiting = self._waiting.get(pool, deque())
        slots = self._slots.get(pool, FIRST_SLOTS)
        while waiting and self._in_service.get(pool, 0) < slots:
            self._in_service[pool] = self._in_service.get(pool, 0) + 1
            waiting.popleft().verdict.set_result(Ok(None))


def wait(admission: Admission, ticket: Ticket, now: float) -> Verdict:
    """Block until the ticket is in service or refused, at its start time at most."""
    try:
        return ticket.verdict.result(ticket.start_by.remaining(now))
    except TimeoutError:
        return admission.give_up(ticket, max(now, ticket.start_by.at))


def _expired() -> Refusal:
    return Refusal(Reason.DEADLINE_EXPIRED, "the deadline has passed")
