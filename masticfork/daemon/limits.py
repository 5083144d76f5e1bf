"""Share the teams' limits over the hosts, through one of them that holds a lease."""

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
from masticfork.core.limits import Amounts, Share, ShareRequest
from masticfork.core.manifest import Limits, Team
from masticfork.core.tables import Tables
from masticfork.daemon.topics import TopicHandler
from masticfork.peers.messages import Body, Declined, Evidence
from masticfork.peers.records import Sender
from masticfork.peers.requests import Reply
from masticfork.systems.limits import ShareOwner
from masticfork.systems.rollouts import DriverLease
from masticfork.systems.static_split import (
    HostShares,
    even_part,
    fleet_of,
)

OWNER_TOPIC = "limits/owner"
REQUEST_TOPIC = "limits/request"
DUTY = "limits"
ROUND_SECONDS = 1.0
# An owner that has not told of itself for this long is asked no more.
OWNER_SECONDS = 3.5
REPLY_SECONDS = 0.9
NO_LIMITS = Limits()

_CONVERTER = make_converter()
_log = logbook.Logger("limits")


class Use(Protocol):
    """What teams ask of this host and use of it."""

    def demand(self, team: TeamName, now: float) -> Amounts:
        """Return what the team's callers asked of this host lately."""

    def in_use(self, team: TeamName) -> Amounts:
        """Return what cannot be given back at once."""


class Duties(Protocol):
    """Holds the leases on control duties."""

    def hold(self, duty: str) -> DriverLease | None:
        """Return the lease while this host holds it; may call the platform."""

    def release_all(self) -> None:
        """Give all leases back."""


class Carrier(Protocol):
    """Carries messages to other hosts."""

    def broadcast(self, body: Body) -> int:
        """Queue a message to every linked host and return for how many."""

    def request(self, host: HostName, body: Body, deadline: Deadline) -> Future[Reply]:
        """Queue a request; its future is done soon after the deadline."""


@attrs.frozen
class _Owner:
    """The host that owns the shares, as it told."""

    host: HostName
    fencing: int
    until: Deadline


class LimitSharing:
    """Knows this host's shares; owns all shares while it holds the lease.

    Only the thread of the rounds calls the platform, by `duties`.
    """

    def __init__(
        self,
        tables: Tables,
        duties: Duties,
        least_hosts: int,
        now: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._duties = duties
        self._least_hosts = least_hosts
        self._now = now
        self._lock = threading.Lock()
        self._shares = HostShares(tables.me.host, least_hosts == 1, now())
        self._fleet = fleet_of(tables, least_hosts, now())
        self._owner: _Owner | None = None
        self._fencing: int | None = None
        self._books: dict[TeamName, ShareOwner] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="limits", daemon=True)

    @property
    def topics(self) -> dict[str, TopicHandler]:
        """Return the handlers of the messages of other hosts."""
        return {OWNER_TOPIC: self._on_owner, REQUEST_TOPIC: self._on_request}

    def attach(self, use: Use, link: Carrier) -> None:
        """Tell whose use is reported and who carries messages."""
        self._use = use
        self._link = link

    def start(self) -> None:
        """Ask and answer in the background."""
        self._thread.start()

    def hand_back(self) -> None:
        """End after the round under way and give the lease back."""
        self._stopped.set()
        self._thread.join()
        self._duties.release_all()

    def amounts(self, team: TeamName, now: float) -> Amounts:
        """Return what this host may use now; infinite where there is no limit."""
        limits = self._limits_of(team)
        with self._lock:
            return self._shares.amounts(team, limits, self._fleet, now)

    def settled(self, now: float) -> bool:
        """Tell whether this host knows what it may use."""
        with self._lock:
            return self._shares.settled(now)

    def round(self) -> None:
        """Hold the lease where this host should, and renew this host's shares."""
        lease = self._duties.hold(DUTY) if self._stands(self._now()) else None
        now = self._now()
        self._fleet = fleet_of(self._tables, self._least_hosts, now)
        asked = self._requests(now)
        if lease is not None:
            self._take_office(lease.fencing)
            payload = json.dumps({"fencing": lease.fencing}).encode()
            self._link.broadcast(Evidence(OWNER_TOPIC, payload))
            self._accept(self._grant(asked, now))
            return
        with self._lock:
            self._fencing = None
            owner = self._owner
        if owner is None or owner.until.expired(now):
            return
        question = Evidence(REQUEST_TOPIC, _encode(asked))
        until = Deadline.after(now, REPLY_SECONDS)
        reply = self._link.request(owner.host, question, until)
        reply.add_done_callback(self._on_reply)

    def _run(self) -> None:
        while not self._stopped.wait(ROUND_SECONDS):
            try:
                self.round()
            except Exception:
                _log.exception("round of limits failed")

    def _requests(self, now: float) -> list[ShareRequest]:
        demands = {
            team: (self._use.demand(team, now), self._use.in_use(team))
            for team in self._limited()
        }
        host, fleet = self._tables.me.host, self._fleet
        with self._lock:
            return [
                ShareRequest(
                    team,
                    host,
                    demand,
                    in_use,
                    self._shares.holds(team, self._limits_of(team), fleet, now),
                )
                for team, (demand, in_use) in demands.items()
            ]

    def _take_office(self, fencing: int) -> None:
        with self._lock:
            if fencing != self._fencing:
                # Shares of an earlier term are known only from their holders.
                self._fencing, self._books = fencing, {}

    def _grant(self, requests: Iterable[ShareRequest], now: float) -> list[Share]:
        fleet, limited = self._fleet, self._limited()
        with self._lock:
            fencing = self._fencing
            if fencing is None:
                return []
            granted = []
            for request in requests:
                limits = limited.get(request.team)
                if limits is not None:
                    book = self._book(request.team, limits, fencing, now)
                    book.know(fleet.counted, even_part(limits, fleet.number))
                    granted.append(book.grant(request, now))
            return granted

    def _book(
        self, team: TeamName, limits: Limits, fencing: int, now: float
    ) -> ShareOwner:
        book = self._books.get(team)
        if book is None:
            book = self._books[team] = ShareOwner(team, limits, fencing, now)
        book.change_limits(limits)
        return book

    def _accept(self, shares: Iterable[Share]) -> None:
        now = self._now()
        with self._lock:
            for share in shares:
                if share.host == self._tables.me.host:
                    self._shares.accept(share, now)

    def _on_owner(self, sender: Sender, body: Evidence) -> None:
        try:
            fencing = int(json.loads(body.payload)["fencing"])
        except (ValueError, TypeError, KeyError):
            _log.warning("owner's message is malformed", sender=sender.host)
            return
        until = Deadline.after(self._now(), OWNER_SECONDS)
        with self._lock:
            known = self._owner
            if known is None or fencing >= known.fencing:
                self._owner = _Owner(sender.host, fencing, until)

    def _on_request(self, sender: Sender, body: Evidence) -> Body:
        try:
            asked = _CONVERTER.structure(json.loads(body.payload), list[ShareRequest])
        except (ValueError, TypeError, KeyError, cattrs.BaseValidationError):
            _log.warning("request for shares is malformed", sender=sender.host)
            return Declined("malformed")
        own = [request for request in asked if request.host == sender.host]
        granted = self._grant(own, self._now())
        return Evidence(REQUEST_TOPIC, _encode(granted))

    def _on_reply(self, done: Future[Reply]) -> None:
        reply = done.result()
        if not isinstance(reply, Ok) or not isinstance(reply.ok_value, Evidence):
            return
        try:
            value = json.loads(reply.ok_value.payload)
            shares = _CONVERTER.structure(value, list[Share])
        except (ValueError, TypeError, KeyError, cattrs.BaseValidationError):
            _log.warning("shares are malformed")
            return
        self._accept(shares)

    def _stands(self, now: float) -> bool:
        """Tell whether this host should hold the lease, or try to."""
        if self._tables.me.stopping:
            return False
        with self._lock:
            if self._fencing is not None:
                return True
            owned = self._owner and not self._owner.until.expired(now)
        return not owned

    def _limits_of(self, team: TeamName) -> Limits:
        row = self._team(team)
        return row.limits if row else NO_LIMITS

    def _team(self, team: TeamName) -> Team | None:
        configuration = self._tables.configuration
        return configuration.teams.get(team) if configuration else None

    def _limited(self) -> dict[TeamName, Limits]:
        configuration = self._tables.configuration
        teams = configuration.manifest.teams if configuration else ()
        return {team.name: team.limits for team in teams if team.limits != NO_LIMITS}


def _encode(rows: Iterable[ShareRequest | Share]) -> bytes:
    return json.dumps([_CONVERTER.unstructure(row) for row in rows]).encode()
