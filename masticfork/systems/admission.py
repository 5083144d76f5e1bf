"""Admission control at one host: team limits first, then pool capacity."""

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

# Concurrent requests allowed per pool before its capacity is known.
INITIAL_SLOTS = 8
# Requests queued at this host, over all pools. Each one blocks a listener thread.
MAX_WAITING_REQUESTS = 300


class FairAdmission:
    """Thread-safe admission by team limit, work class, deadline and fairness."""

    def __init__(
        self, shares: ShareSource, max_waiting: int = MAX_WAITING_REQUESTS
    ) -> None:
        """Allow at most `max_waiting` queued requests over all pools."""
        self._lock = threading.Lock()
        self._limits = TeamLimits(shares)
        self._pools: dict[str, PoolQueue] = {}
        self._max_waiting = max_waiting
        self._started_at: dict[Ticket, float] = {}

    def admit(self, request: AdmissionRequest, now: float) -> Result[Ticket, Refusal]:
        """Return a ticket whose verdict the caller must await, or a refusal.

        Request a slot of `request.pool` at time `now`. Refuse when the deadline has
        expired, the team is over its limit, or the pool is overloaded.
        """
        with self._lock:
            pool = self._pool(request.pool)
            if request.deadline.expired(now):
                return Err(_deadline_expired())
            charged = self._limits.acquire(
                request.team, request.max_tokens, request.uses_tokens, now
            )
            if isinstance(charged, Err):
                return charged
            start_by = pool.start_by(request)
            ticket = Ticket(request, now, charged.ok_value, start_by=start_by)
            refusal = self._enqueue(pool, ticket, now)
            if refusal is not None:
                self._release_limits(ticket, now)
                return Err(refusal)
            self._dispatch(pool, now)
            return Ok(ticket)

    def cancel(self, ticket: Ticket, now: float) -> Verdict:
        """Cancel a queued ticket and return its verdict.

        The verdict is Ok if the ticket entered service in the meantime.
        """
        with self._lock:
            pool = self._pool(ticket.request.pool)
            if pool.remove(ticket):
                self._refuse(pool, ticket, now)
        return ticket.verdict.result()

    def finish(self, ticket: Ticket, tokens: float | None, now: float) -> None:
        """Release the slot and limits of a ticket in service; charge its tokens.

        `tokens` is None for a request that was not answered.
        """
        with self._lock:
            started = self._started_at.pop(ticket, None)
            if started is None:
                return
            request = ticket.request
            pool = self._pool(request.pool)
            pool.in_service -= 1
            # Failed requests are excluded: their duration does not predict the service
            # time of an answered one.
            if tokens is not None:
                pool.service_times.observe(request.work_class, max(0.0, now - started))
            self._limits.release(request.team, ticket.charged_tokens, tokens, now)
            self._dispatch(pool, now)

    def set_slots(self, slots: dict[str, int], now: float) -> None:
        """Set the number of concurrent requests allowed for each pool."""
        with self._lock:
            for name, number in slots.items():
                pool = self._pool(name)
                pool.slots = number
                self._dispatch(pool, now)

    def demand(self, team: TeamName, now: float) -> Amounts:
        """Return the team's recent demand at this host."""
        with self._lock:
            return self._limits.demand(team, now)

    def in_use(self, team: TeamName) -> Amounts:
        """Return the amounts that the team holds and cannot release immediately."""
        with self._lock:
            return self._limits.in_use(team)

    def _pool(self, name: str) -> PoolQueue:
        return self._pools.setdefault(name, PoolQueue(INITIAL_SLOTS))

    def _enqueue(self, pool: PoolQueue, ticket: Ticket, now: float) -> Refusal | None:
        expected_start = pool.expected_start(ticket, now)
        start_by = ticket.start_by.at
        # Use a free slot whatever the estimate, which may stem from longer requests.
        has_free_slot = pool.in_service < pool.slots and not pool.waiting
        if expected_start > start_by and not has_free_slot:
            return pool.refusal(now + expected_start - start_by, now)
        waiting = sum(other.waiting for other in self._pools.values())
        if waiting >= self._max_waiting and not has_free_slot:
            # Evict from the longest queue, so that a slow pool does not occupy the
            # threads that requests to other pools need.
            longest = max(self._pools.values(), key=lambda other: other.waiting)
            evicted = longest.evict_for(ticket)
            if evicted is None:
                return pool.refusal(expected_start, now)
            self._refuse(longest, evicted, now)
        pool.push(ticket)
        return None

    def _dispatch(self, pool: PoolQueue, now: float) -> None:
        while (ticket := pool.start_next()) is not None:
            self._started_at[ticket] = now
            ticket.verdict.set_result(Ok(None))
        for ticket in pool.remove_late(now):
            self._refuse(pool, ticket, now)

    def _refuse(self, pool: PoolQueue, ticket: Ticket, now: float) -> None:
        self._release_limits(ticket, now)
        refusal = pool.refusal(pool.expected_start(ticket, now), now)
        ticket.verdict.set_result(Err(refusal))

    def _release_limits(self, ticket: Ticket, now: float) -> None:
        charged = ticket.charged_tokens
        self._limits.release(ticket.request.team, charged, None, now)


class FifoAdmission:
    """Baseline that serves in order of arrival and never refuses on admission."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._slots: dict[str, int] = {}
        self._in_service: dict[str, int] = {}
        self._waiting: dict[str, deque[Ticket]] = {}

    def admit(self, request: AdmissionRequest, now: float) -> Result[Ticket, Refusal]:
        """Queue the request and return its ticket."""
        ticket = Ticket(request, now, 0.0, start_by=request.deadline)
        with self._lock:
            self._waiting.setdefault(request.pool, deque()).append(ticket)
            self._dispatch(request.pool)
        return Ok(ticket)

    def cancel(self, ticket: Ticket, now: float) -> Verdict:
        """Cancel a queued ticket and return its verdict.

        The verdict is Ok if the ticket entered service in the meantime.
        """
        with self._lock:
            if not ticket.verdict.done():
                self._waiting[ticket.request.pool].remove(ticket)
                ticket.verdict.set_result(Err(_deadline_expired()))
        return ticket.verdict.result()

    def finish(self, ticket: Ticket, tokens: float | None, now: float) -> None:
        """Release the slot of a ticket in service."""
        with self._lock:
            self._in_service[ticket.request.pool] -= 1
            self._dispatch(ticket.request.pool)

    def set_slots(self, slots: dict[str, int], now: float) -> None:
        """Set the number of concurrent requests allowed for each pool."""
        with self._lock:
            self._slots |= slots
            for name in slots:
                self._dispatch(name)

    def _dispatch(self, pool: str) -> None:
        waiting = self._waiting.get(pool, deque())
        slots = self._slots.get(pool, INITIAL_SLOTS)
        while waiting and self._in_service.get(pool, 0) < slots:
            self._in_service[pool] = self._in_service.get(pool, 0) + 1
            waiting.popleft().verdict.set_result(Ok(None))


def wait(admission: Admission, ticket: Ticket, now: float) -> Verdict:
    """Block until the ticket is in service or refused, at most until `start_by`."""
    try:
        return ticket.verdict.result(ticket.start_by.remaining(now))
    except TimeoutError:
        return admission.cancel(ticket, max(now, ticket.start_by.at))


def _deadline_expired() -> Refusal:
    return Refusal(Reason.DEADLINE_EXPIRED, "the deadline has passed")
