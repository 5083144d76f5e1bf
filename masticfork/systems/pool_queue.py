"""The requests of one pool at this host: in service, waiting, or refused."""

import attrs

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import TeamName
from masticfork.core.manifest import WorkClass
from masticfork.core.refusals import Reason, Refusal
from masticfork.systems.admission_records import AdmissionRequest, Ticket
from masticfork.systems.service_times import ServiceTimes

# A team that is further behind its fair part than this many service times of each
# slot is served before more urgent classes of other teams.
MAX_LAG = 2.0
# Part of the capacity at which refused callers are told to come back, so that
# there is room for others beside them.
RETURN_PART = 0.5
# The latest time to come back that is told.
MAX_RETRY_SECONDS = 60.0

CLASS_ORDER = {work_class: number for number, work_class in enumerate(WorkClass)}


def urgency(ticket: Ticket) -> tuple[int, float]:
    """Return the order among one team's requests: by class, then deadline."""
    request = ticket.request
    return (CLASS_ORDER[request.work_class], request.deadline.at)


@attrs.define
class PoolQueue:
    """Start-time fair queueing between teams, by class and deadline within one.

    Source: P. Goyal, H. Vin and H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996,
    with the expected service time as a request's length. Among teams that are near
    their fair part the most urgent class is served first. Not safe for threads.
    """

    slots: int = 1
    in_service: int = 0
    times: ServiceTimes = attrs.field(factory=ServiceTimes)
    _waiting: dict[TeamName, list[Ticket]] = attrs.field(factory=dict)
    # Start tags: service that a team has had, in seconds of virtual time.
    _tags: dict[TeamName, float] = attrs.field(factory=dict)
    _virtual_time: float = 0.0
    _last_return: float = 0.0

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._waiting.values()))

    def start_by(self, request: AdmissionRequest) -> Deadline:
        """Return until when the request can start and make its deadline."""
        return Deadline(request.deadline.at - self.times.long(request.work_class))

    def expected_start(self, ticket: Ticket, now: float) -> float:
        """Return when the request would start if nothing more urgent came."""
        if self.in_service < self.slots and not self.waiting:
            return now
        mine = urgency(ticket)
        own = self._waiting.get(ticket.request.team, [])
        before = [other for other in own if urgency(other) <= mine]
        work = sum(self._length(other) for other in before)
        # Each other team is served as much meanwhile, or more of urgent classes.
        fair = work + self._length(ticket)
        for team, tickets in self._waiting.items():
            if team != ticket.request.team:
                ahead = [t for t in tickets if urgency(t)[0] <= mine[0]]
                theirs = sum(self._length(other) for other in ahead)
                work += min(theirs, fair)
        residual = self.times.mean(ticket.request.work_class)
        return now + (residual + work) / max(1, self.slots)

    def push(self, ticket: Ticket) -> None:
        """Let a request wait."""
        team = ticket.request.team
        tickets = self._waiting.setdefault(team, [])
        if not tickets:
            # A team that had nothing waiting saves up no claim.
            self._tags[team] = max(self._tags.get(team, 0.0), self._virtual_time)
        tickets.append(ticket)
        tickets.sort(key=urgency)

    def remove(self, ticket: Ticket) -> bool:
        """Take a waiting request out; false where it does not wait."""
        tickets = self._waiting.get(ticket.request.team, [])
        if ticket not in tickets:
            return False
        tickets.remove(ticket)
        self._drop_idle(ticket.request.team)
        return True

    def start_next(self) -> Ticket | None:
        """Put the next request in service where a slot is free."""
        if self.in_service >= self.slots or not self._waiting:
            return None
        team = self._next_team()
        ticket = self._waiting[team].pop(0)
        self._virtual_time = max(self._virtual_time, self._tags[team])
        self._tags[team] += self._length(ticket)
        self._drop_idle(team)
        self.in_service += 1
        return ticket

    def hopeless(self, now: float) -> list[Ticket]:
        """Take out the requests that can no longer make their deadline."""
        late = [
            ticket
            for tickets in self._waiting.values()
            for ticket in tickets
            if ticket.start_by.expired(now)
        ]
        for ticket in late:
            self.remove(ticket)
        return late

    def displaced_by(self, ticket: Ticket) -> Ticket | None:
        """Take out the request that a full queue gives up for a new one.

        It is the least urgent one of the team with the most waiting, and none where
        the new request is that itself.
        """
        team = ticket.request.team
        counts = {name: len(tickets) for name, tickets in self._waiting.items()}
        counts[team] = counts.get(team, 0) + 1
        largest = max(counts, key=lambda name: (counts[name], name == team))
        # Of equally urgent ones the new request is given up.
        victim = max([ticket, *self._waiting.get(largest, [])], key=urgency)
        if largest != team:
            victim = self._waiting[largest][-1]
        if victim is ticket:
            return None
        self.remove(victim)
        return victim

    def refusal(self, ready: float, now: float) -> Refusal:
        """Refuse for overload, with a time to return of the caller's own.

        Callers are told times one after the other at a part of the rate at which
        the pool serves.
        """
        gap = self.times.mean(WorkClass.DRAFTING) / max(1, self.slots) / RETURN_PART
        due = max(ready, self._last_return + gap)
        if due > now + MAX_RETRY_SECONDS:
            # More callers than the times up to the latest share its second half.
            due = max(ready, now + MAX_RETRY_SECONDS / 2)
        due = min(due, now + MAX_RETRY_SECONDS)
        self._last_return = due
        message = "the pool is overloaded and the deadline cannot be made"
        return Refusal(Reason.OVERLOADED, message, retry_at=Deadline(due))

    def _next_team(self) -> TeamName:
        behind = min(self._waiting, key=lambda name: self._tags[name])
        urgent = min(
            self._waiting,
            key=lambda name: (urgency(self._waiting[name][0])[0], self._tags[name]),
        )
        allowed = MAX_LAG * self.times.mean(WorkClass.DRAFTING) * self.slots
        if self._tags[urgent] - self._tags[behind] > allowed:
            return behind
        return urgent

    def _length(self, ticket: Ticket) -> float:
        return self.times.mean(ticket.request.work_class)

    def _drop_idle(self, team: TeamName) -> None:
        if not self._waiting[team]:
            del self._waiting[team]
        # A tag at or below the virtual time says no more than none at all.
        spent = [
            name
            for name, tag in self._tags.items()
            if name not in self._waiting and tag <= self._virtual_time
        ]
        for name in spent:
            del self._tags[name]
