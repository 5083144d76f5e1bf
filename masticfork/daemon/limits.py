"""Divide team limits among hosts; the host that holds the lease hands out shares."""

import json
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from typing import Protocol

import attrs
import cattrs
import logbook
from cattrs.preconf.json import make_converter
from result import Ok

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import HostName, TeamName
from masticfork.core.limits import Amounts, LimitShare, ShareRequest
from masticfork.core.manifest import Limits, Team
from masticfork.core.tables import Tables
from masticfork.daemon.topics import TopicHandler
from masticfork.peers.messages import Body, Declined, Evidence
from masticfork.peers.records import Sender
from masticfork.peers.requests import Reply
from masticfork.systems.limits import ShareAllocator
from masticfork.systems.rollouts import DriverLease
from masticfork.systems.static_split import (
    HostShares,
    even_part,
    fleet_of,
)

OWNER_TOPIC = "limits/owner"
REQUEST_TOPIC = "limits/request"
DUTY = "limits"
ROUND_INTERVAL_SECONDS = 1.0
# A share owner whose last announcement is older than this gets no more requests.
OWNER_TIMEOUT_SECONDS = 3.5
REPLY_TIMEOUT_SECONDS = 0.9
NO_LIMITS = Limits()

_CONVERTER = make_converter()
_log = logbook.Logger("limits")


class UsageSource(Protocol):
    """Reports each team's demand and resources in use on this host."""

    def demand(self, team: TeamName, now: float) -> Amounts:
        """Return what the team's callers recently requested from this host."""

    def in_use(self, team: TeamName) -> Amounts:
        """Return what is in use now and cannot be released at once."""


class Duties(Protocol):
    """Leases on control duties, each held by one host at a time."""

    def acquire_or_renew(self, duty: str) -> DriverLease | None:
        """Return the lease if this host holds or acquires it; may call the platform."""

    def release_all(self) -> None:
        """Release all leases."""


class MessageSender(Protocol):
    """Sends messages to other hosts."""

    def broadcast(self, body: Body) -> int:
        """Queue a message to every linked host; return the number of hosts."""

    def request(self, host: HostName, body: Body, deadline: Deadline) -> Future[Reply]:
        """Queue a request; its future is done shortly after the deadline."""


@attrs.frozen
class _OwnerAnnouncement:
    """The latest announcement of the host that hands out shares."""

    host: HostName
    fencing: int
    # Until then, share requests are sent to this owner.
    until: Deadline


class LimitSharing:
    """Renews this host's shares of team limits; hands out shares as lease holder.

    Each round, the lease holder (the owner) announces itself to all hosts; the others
    request their shares from it. Only the round thread calls the platform, through
    `duties`.
    """

    def __init__(
        self,
        tables: Tables,
        duties: Duties,
        min_hosts: int,
        now: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._duties = duties
        self._min_hosts = min_hosts
        self._now = now
        self._lock = threading.Lock()
        self._shares = HostShares(tables.me.host, min_hosts == 1, now())
        self._fleet = fleet_of(tables, min_hosts, now())
        self._owner: _OwnerAnnouncement | None = None
        self._fencing: int | None = None
        self._allocators: dict[TeamName, ShareAllocator] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="limits", daemon=True)

    @property
    def topics(self) -> dict[str, TopicHandler]:
        """Return the handlers of messages from other hosts, by topic."""
        return {OWNER_TOPIC: self._on_announcement, REQUEST_TOPIC: self._on_request}

    def attach(self, usage_source: UsageSource, link: MessageSender) -> None:
        """Set the source of usage figures and the link to other hosts."""
        self._usage_source = usage_source
        self._link = link

    def start(self) -> None:
        """Start the round thread."""
        self._thread.start()

    def release_duties(self) -> None:
        """Wait for the current round to end, then release the lease."""
        self._stopped.set()
        self._thread.join()
        self._duties.release_all()

    def amounts(self, team: TeamName, now: float) -> Amounts:
        """Return what this host may use now; infinite if the team has no limit."""
        limits = self._limits_of(team)
        with self._lock:
            return self._shares.amounts(team, limits, self._fleet, now)

    def startup_over(self, now: float) -> bool:
        """Return whether this host has a share or the initial wait for one is over."""
        with self._lock:
            return self._shares.startup_over(now)

    def run_round(self) -> None:
        """Acquire or renew the lease if eligible, then renew this host's shares."""
        lease = (
            self._duties.acquire_or_renew(DUTY)
            if self._may_hold_lease(self._now())
            else None
        )
        now = self._now()
        self._fleet = fleet_of(self._tables, self._min_hosts, now)
        requests = self._share_requests(now)
        if lease is not None:
            self._start_term(lease.fencing)
            payload = json.dumps({"fencing": lease.fencing}).encode()
            self._link.broadcast(Evidence(OWNER_TOPIC, payload))
            self._accept(self._grant(requests, now))
            return
        with self._lock:
            self._fencing = None
            owner = self._owner
        if owner is None or owner.until.expired(now):
            return
        message = Evidence(REQUEST_TOPIC, _encode(requests))
        until = Deadline.after(now, REPLY_TIMEOUT_SECONDS)
        reply = self._link.request(owner.host, message, until)
        reply.add_done_callback(self._on_reply)

    def _run(self) -> None:
        while not self._stopped.wait(ROUND_INTERVAL_SECONDS):
            try:
                self.run_round()
            except Exception:
                _log.exception("limit sharing round failed")

    def _share_requests(self, now: float) -> list[ShareRequest]:
        demands = {
            team: (
                self._usage_source.demand(team, now),
                self._usage_source.in_use(team),
            )
            for team in self._limits_by_team()
        }
        host, fleet = self._tables.me.host, self._fleet
        with self._lock:
            return [
                ShareRequest(
                    team,
                    host,
                    demand,
                    in_use,
                    self._shares.held_share(team, self._limits_of(team), fleet, now),
                )
                for team, (demand, in_use) in demands.items()
            ]

    def _start_term(self, fencing: int) -> None:
        with self._lock:
            if fencing != self._fencing:
                # A new lease starts without allocators: the shares that an earlier
                # owner granted are known only from the hosts that hold them.
                self._fencing, self._allocators = fencing, {}

    def _grant(self, requests: Iterable[ShareRequest], now: float) -> list[LimitShare]:
        fleet, limits_by_team = self._fleet, self._limits_by_team()
        with self._lock:
            fencing = self._fencing
            if fencing is None:
                return []
            shares = []
            for request in requests:
                limits = limits_by_team.get(request.team)
                if limits is not None:
                    allocator = self._allocator(request.team, limits, fencing, now)
                    allocator.set_known_hosts(
                        fleet.sharing_hosts, even_part(limits, fleet.number)
                    )
                    shares.append(allocator.grant(request, now))
            return shares

    def _allocator(
        self, team: TeamName, limits: Limits, fencing: int, now: float
    ) -> ShareAllocator:
        allocator = self._allocators.get(team)
        if allocator is None:
            allocator = self._allocators[team] = ShareAllocator(
                team, limits, fencing, now
            )
        allocator.change_limits(limits)
        return allocator

    def _accept(self, shares: Iterable[LimitShare]) -> None:
        now = self._now()
        with self._lock:
            for share in shares:
                if share.host == self._tables.me.host:
                    self._shares.accept(share, now)

    def _on_announcement(self, sender: Sender, body: Evidence) -> None:
        try:
            fencing = int(json.loads(body.payload)["fencing"])
        except (ValueError, TypeError, KeyError):
            _log.warning("malformed share owner announcement", sender=sender.host)
            return
        until = Deadline.after(self._now(), OWNER_TIMEOUT_SECONDS)
        with self._lock:
            current_owner = self._owner
            if current_owner is None or fencing >= current_owner.fencing:
                self._owner = _OwnerAnnouncement(sender.host, fencing, until)

    def _on_request(self, sender: Sender, body: Evidence) -> Body:
        try:
            requests = _CONVERTER.structure(
                json.loads(body.payload), list[ShareRequest]
            )
        except (ValueError, TypeError, KeyError, cattrs.BaseValidationError):
            _log.warning("malformed share request", sender=sender.host)
            return Declined("malformed")
        own_requests = [request for request in requests if request.host == sender.host]
        shares = self._grant(own_requests, self._now())
        return Evidence(REQUEST_TOPIC, _encode(shares))

    def _on_reply(self, reply_future: Future[Reply]) -> None:
        reply = reply_future.result()
        if not isinstance(reply, Ok) or not isinstance(reply.ok_value, Evidence):
            return
        try:
            value = json.loads(reply.ok_value.payload)
            shares = _CONVERTER.structure(value, list[LimitShare])
        except (ValueError, TypeError, KeyError, cattrs.BaseValidationError):
            _log.warning("malformed share response")
            return
        self._accept(shares)

    def _may_hold_lease(self, now: float) -> bool:
        """Return whether this host should keep the lease or try to acquire it."""
        if self._tables.me.stopping:
            return False
        with self._lock:
            if self._fencing is not None:
                return True
            has_live_owner = self._owner and not self._owner.until.expired(now)
        return not has_live_owner

    def _limits_of(self, team: TeamName) -> Limits:
        declared = self._team(team)
        return declared.limits if declared else NO_LIMITS

    def _team(self, team: TeamName) -> Team | None:
        configuration = self._tables.configuration
        return configuration.teams.get(team) if configuration else None

    def _limits_by_team(self) -> dict[TeamName, Limits]:
        configuration = self._tables.configuration
        teams = configuration.manifest.teams if configuration else ()
        return {team.name: team.limits for team in teams if team.limits != NO_LIMITS}


def _encode(records: Iterable[ShareRequest | LimitShare]) -> bytes:
    return json.dumps([_CONVERTER.unstructure(record) for record in records]).encode()
