"""Fair queue of the requests to one pool at this host."""

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import TeamName
from masticfork.core.manifest import WorkClass
from masticfork.core.refusals import Reason, Refusal
from masticfork.systems.admission_records import AdmissionRequest, Ticket
from masticfork.systems.service_times import ServiceTimes

# Maximum lag of a team behind its fair share, in mean service times of every slot.
# Beyond it the team is served before more urgent classes of other teams.
MAX_LAG_SERVICE_TIMES = 2.0
# Fraction of the pool's capacity at which refused callers are scheduled to retry. The
# rest is left to new requests.
RETRY_CAPACITY_FRACTION = 0.5
# Upper bound of the retry time given to refused callers.
MAX_RETRY_AFTER_SECONDS = 60.0

CLASS_PRIORITY = {work_class: number for number, work_class in enumerate(WorkClass)}


def priority_key(ticket: Ticket) -> tuple[int, float]:
    """Return the sort key of one team's requests: work class, then deadline."""
    request = ticket.request
    return (CLASS_PRIORITY[request.work_class], request.deadline.at)


@attrs.define
class PoolQueue:
    """Start-time fair queueing between teams, by class and deadline within one.

    Source: P. Goyal, H. Vin and H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996,
    with the expected service time as a request's length. Among teams within the
    maximum lag of their fair share, the most urgent class is served first. Not
    thread-safe.
    """

    slots: int = 1
    in_service: int = 0
    service_times: ServiceTimes = attrs.field(factory=ServiceTimes)
    _waiting: dict[TeamName, list[Ticket]] = attrs.field(factory=dict)
    # Start tags of start-time fair queueing: the service that each team has received,
    # in seconds of virtual time.
    _start_tags: dict[TeamName, float] = attrs.field(factory=dict)
    _virtual_time: float = 0.0
    _last_retry_at: float = 0.0

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(map(len, self._waiting.values()))

    def start_by(self, request: AdmissionRequest) -> Deadline:
        """Return the latest start at which the request should meet its deadline."""
        return Deadline(
            request.deadline.at - self.service_times.upper_bound(request.work_class)
        )

    def expected_start(self, ticket: Ticket, now: float) -> float:
        """Return the estimated start time, assuming no more urgent request arrives."""
        if self.in_service < self.slots and not self.waiting:
            return now
        own_priority = priority_key(ticket)
        own = self._waiting.get(ticket.request.team, [])
        before = [other for other in own if priority_key(other) <= own_priority]
        work = sum(self._expected_seconds(other) for other in before)
        # Each other team gets at most the same amount of service meanwhile, limited to
        # its requests of the same or a more urgent class.
        max_other_work = work + self._expected_seconds(ticket)
        for team, tickets in self._waiting.items():
            if team != ticket.request.team:
                ahead = [t for t in tickets if priority_key(t)[0] <= own_priority[0]]
                other_work = sum(self._expected_seconds(other) for other in ahead)
                work += min(other_work, max_other_work)
        residual = self.service_times.mean(ticket.request.work_class)
        return now + (residual + work) / max(1, self.slots)

    def push(self, ticket: Ticket) -> None:
        """Queue a request."""
        team = ticket.request.team
        tickets = self._waiting.setdefault(team, [])
        if not tickets:
            # A team accumulates no credit while it has nothing queued.
            self._start_tags[team] = max(
                self._start_tags.get(team, 0.0), self._virtual_time
            )
        tickets.append(ticket)
        tickets.sort(key=priority_key)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a queued request; return False if it is not queued."""
        tickets = self._waiting.get(ticket.request.team, [])
        if ticket not in tickets:
            return False
        tickets.remove(ticket)
        self._remove_idle(ticket.request.team)
        return True

    def start_next(self) -> Ticket | None:
        """Move the next request into service; None if no slot is free or none waits."""
        if self.in_service >= self.slots or not self._waiting:
            return None
        team = self._next_team()
        ticket = self._waiting[team].pop(0)
        self._virtual_time = max(self._virtual_time, self._start_tags[team])
        self._start_tags[team] += self._expected_seconds(ticket)
        self._remove_idle(team)
        self.in_service += 1
        return ticket

    def remove_late(self, now: float) -> list[Ticket]:
        """Remove and return the requests that can no longer meet their deadlines."""
        late = [
            ticket
            for tickets in self._waiting.values()
            for ticket in tickets
            if ticket.start_by.expired(now)
        ]
        for ticket in late:
            self.remove(ticket)
        return late

    def evict_for(self, ticket: Ticket) -> Ticket | None:
        """Remove and return the request that a full queue evicts for a new one.

        Evict the least urgent request of the team with the most queued requests,
        counting the new one. Return None if that is the new request itself.
        """
        team = ticket.request.team
        counts = {name: len(tickets) for name, tickets in self._waiting.items()}
        counts[team] = counts.get(team, 0) + 1
        largest = max(counts, key=lambda name: (counts[name], name == team))
        # Among equally urgent requests, the new one is refused.
        evicted = max([ticket, *self._waiting.get(largest, [])], key=priority_key)
        if largest != team:
            evicted = self._waiting[largest][-1]
        if evicted is ticket:
            return None
        self.remove(evicted)
        return evicted

    def refusal(self, ready: float, now: float) -> Refusal:
        """Return an overload refusal with a retry time.

        The retry time is at `ready` or later, but at most `MAX_RETRY_AFTER_SECONDS`
        ahead. Retry times are spaced at a fraction of the pool's service rate, so that
        refused callers do not all return at once.
        """
        spacing = (
            self.service_times.mean(WorkClass.DRAFTING)
            / max(1, self.slots)
            / RETRY_CAPACITY_FRACTION
        )
        retry_at = max(ready, self._last_retry_at + spacing)
        if retry_at > now + MAX_RETRY_AFTER_SECONDS:
            # Retry times up to the maximum are all taken: reuse the second half of
            # that interval.
            retry_at = max(ready, now + MAX_RETRY_AFTER_SECONDS / 2)
        retry_at = min(retry_at, now + MAX_RETRY_AFTER_SECONDS)
        self._last_retry_at = retry_at
        message = "the pool is overloaded and the deadline cannot be made"
        return Refusal(Reason.OVERLOADED, message, retry_at=Deadline(retry_at))

    def _next_team(self) -> TeamName:
        most_behind = min(self._waiting, key=lambda name: self._start_tags[name])
        most_urgent = min(
            self._waiting,
            key=lambda name: (
                priority_key(self._waiting[name][0])[0],
                self._start_tags[name],
            ),
        )
        max_lag = (
            MAX_LAG_SERVICE_TIMES
            * self.service_times.mean(WorkClass.DRAFTING)
            * self.slots
        )
        if self._start_tags[most_urgent] - self._start_tags[most_behind] > max_lag:
            return most_behind
        return most_urgent

    def _expected_seconds(self, ticket: Ticket) -> float:
        return self.service_times.mean(ticket.request.work_class)

    def _remove_idle(self, team: TeamName) -> None:
        if not self._waiting[team]:
            del self._waiting[team]
        # A tag at or below the virtual time has the same effect as no tag.
        expired = [
            name
            for name, tag in self._start_tags.items()
            if name not in self._waiting and tag <= self._virtual_time
        ]
        for name in expired:
            del self._start_tags[name]
