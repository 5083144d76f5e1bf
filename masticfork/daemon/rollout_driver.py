"""Drive roll-outs while holding their leases; report this host's counts to others."""

import json
import threading
from collections.abc import Callable
from typing import Protocol

import cattrs
import logbook
from cattrs.preconf.json import make_converter
from result import Err

from masticfork.core.ids import RolloutName
from masticfork.core.manifest import Rollout
from masticfork.core.rollouts import HostUsage
from masticfork.core.tables import Tables
from masticfork.daemon.loops import Loop
from masticfork.daemon.rollout_store import RolloutStore
from masticfork.daemon.ticker import log_finding
from masticfork.peers.messages import Body, Evidence
from masticfork.peers.records import Sender
from masticfork.store.ratings import RatingClient
from masticfork.systems.rollout_usage import RolloutUsage
from masticfork.systems.rollouts import DriverLease, RolloutInbox, RolloutSystem

USAGE_TOPIC = "rollout-usage"
ROUND_SECONDS = 1.0

_CONVERTER = make_converter()
_log = logbook.Logger("rollouts")


class Duties(Protocol):
    """Leases of control duties, held by one host at a time."""

    def hold(self, duty: str) -> DriverLease | None:
        """Return the lease where this host holds it, acquiring it if it is free."""

    def release_all(self) -> None:
        """Give all duties back, so that others need not wait for their end."""


class Broadcaster(Protocol):
    """The part of the peer link that reaches all neighbours."""

    def broadcast(self, body: Body) -> int:
        """Queue a message to all neighbours."""


class RolloutDriver:
    """Runs the roll-outs' system on a thread of its own, since it waits on writes."""

    def __init__(
        self,
        tables: Tables,
        system: RolloutSystem,
        store: RolloutStore,
        leases: Duties,
        usage: RolloutUsage,
        ratings: RatingClient | None,
        link: Broadcaster,
        now: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._system = system
        self._store = store
        self._leases = leases
        self._usage = usage
        self._ratings = ratings
        self._link = link
        self._now = now
        self._lock = threading.Lock()
        self._heard: list[HostUsage] = []
        self._ratings_after = 0
        self.loop = Loop("rollouts", ROUND_SECONDS, self.round)

    def release_duties(self) -> None:
        """Stop driving and give the leases back."""
        self.loop.stop(wait=True)
        self._leases.release_all()

    def on_usage(self, sender: Sender, body: Evidence) -> None:
        """Take in another host's counts."""
        try:
            usages = _CONVERTER.structure(json.loads(body.payload), list[HostUsage])
        except (ValueError, TypeError, cattrs.BaseValidationError):
            _log.warning("usage message is malformed", sender=sender.host)
            return
        with self._lock:
            self._heard += [usage for usage in usages if usage.host == sender.host]

    def round(self) -> None:
        """Report, hear, decide and write, once."""
        declared = self._declared()
        if not declared:
            return
        now = self._now()
        reports = [self._usage.report(rollout, now) for rollout in declared]
        payload = json.dumps(_CONVERTER.unstructure(reports)).encode()
        self._link.broadcast(Evidence(USAGE_TOPIC, payload))
        self._hear(reports)
        inbox = self._system.inbox
        inbox.leases = self._held(declared)
        if not inbox.leases:
            return
        self._read_ratings(inbox)
        for finding in self._system.run(self._tables, self._now()):
            log_finding(finding)
        for row in list(self._system.proposals.values()):
            self._store.put(row)

    def _declared(self) -> tuple[Rollout, ...]:
        configuration = self._tables.configuration
        return configuration.manifest.rollouts if configuration else ()

    def _hear(self, own: list[HostUsage]) -> None:
        with self._lock:
            heard, self._heard = self._heard, []
        for usage in (*heard, *own):
            key = (usage.rollout, usage.host)
            known = self._system.inbox.usages.get(key)
            if known is None or usage.at > known.at:
                self._system.inbox.usages[key] = usage

    def _held(self, declared: tuple[Rollout, ...]) -> dict[RolloutName, DriverLease]:
        held: dict[RolloutName, DriverLease] = {}
        for rollout in declared:
            row = self._tables.rollouts.get(rollout.name)
            if row is not None and row.ended:
                continue
            lease = self._leases.hold(f"rollout/{rollout.name}")
            if lease is not None:
                held[rollout.name] = lease
        return held

    def _read_ratings(self, inbox: RolloutInbox) -> None:
        if self._ratings is None:
            return
        # What the stored rows hold already needs no second reading.
        rows = (self._tables.rollouts.get(name) for name in inbox.leases)
        stored = min((row.ratings_after if row else 0 for row in rows), default=0)
        read = self._ratings.read(max(self._ratings_after, stored))
        if isinstance(read, Err):
            _log.warning("ratings are not read", error=read.err_value.message)
            return
        inbox.ratings += read.ok_value
        if read.ok_value:
            self._ratings_after = read.ok_value[-1].seq
