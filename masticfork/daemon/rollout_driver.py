"""Drive rollouts while holding their leases; report this host's counts to others."""

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
ROUND_INTERVAL_SECONDS = 1.0

_CONVERTER = make_converter()
_log = logbook.Logger("rollouts")


class Duties(Protocol):
    """Leases on control duties, each held by one host at a time."""

    def acquire_or_renew(self, duty: str) -> DriverLease | None:
        """Return the lease if this host holds it or can acquire it, else None."""

    def release_all(self) -> None:
        """Release all leases, so that other hosts need not wait until they expire."""


class Broadcaster(Protocol):
    """Sends messages to all linked hosts."""

    def broadcast(self, body: Body) -> int:
        """Queue a message to all linked hosts; return the number of hosts."""


class RolloutDriver:
    """Runs the rollout system on its own thread, because it waits for writes."""

    def __init__(
        self,
        tables: Tables,
        system: RolloutSystem,
        store: RolloutStore,
        duties: Duties,
        usage: RolloutUsage,
        ratings: RatingClient | None,
        link: Broadcaster,
        now: Callable[[], float],
    ) -> None:
        self._tables = tables
        self._system = system
        self._store = store
        self._duties = duties
        self._usage = usage
        self._ratings = ratings
        self._link = link
        self._now = now
        self._lock = threading.Lock()
        self._received_usages: list[HostUsage] = []
        self._ratings_after = 0
        self.loop = Loop("rollouts", ROUND_INTERVAL_SECONDS, self.run_round)

    def release_duties(self) -> None:
        """Stop after the current round and release the leases."""
        self.loop.stop(wait=True)
        self._duties.release_all()

    def on_usage(self, sender: Sender, body: Evidence) -> None:
        """Store the usage counts of another host for the next round."""
        try:
            usages = _CONVERTER.structure(json.loads(body.payload), list[HostUsage])
        except (ValueError, TypeError, cattrs.BaseValidationError):
            _log.warning("malformed usage message", sender=sender.host)
            return
        with self._lock:
            self._received_usages += [
                usage for usage in usages if usage.host == sender.host
            ]

    def run_round(self) -> None:
        """Exchange usage counts, then drive the rollouts whose lease is held."""
        declared = self._declared_rollouts()
        if not declared:
            return
        now = self._now()
        own_usages = [self._usage.report(rollout, now) for rollout in declared]
        payload = json.dumps(_CONVERTER.unstructure(own_usages)).encode()
        self._link.broadcast(Evidence(USAGE_TOPIC, payload))
        self._merge_usages(own_usages)
        inbox = self._system.inbox
        inbox.leases = self._hold_leases(declared)
        if not inbox.leases:
            return
        self._read_ratings(inbox)
        for finding in self._system.run(self._tables, self._now()):
            log_finding(finding)
        for row in list(self._system.proposals.values()):
            self._store.put(row)

    def _declared_rollouts(self) -> tuple[Rollout, ...]:
        configuration = self._tables.configuration
        return configuration.manifest.rollouts if configuration else ()

    def _merge_usages(self, own_usages: list[HostUsage]) -> None:
        with self._lock:
            received, self._received_usages = self._received_usages, []
        for usage in (*received, *own_usages):
            key = (usage.rollout, usage.host)
            known = self._system.inbox.usages.get(key)
            if known is None or usage.at > known.at:
                self._system.inbox.usages[key] = usage

    def _hold_leases(
        self, declared: tuple[Rollout, ...]
    ) -> dict[RolloutName, DriverLease]:
        held: dict[RolloutName, DriverLease] = {}
        for rollout in declared:
            row = self._tables.rollouts.get(rollout.name)
            if row is not None and row.ended:
                continue
            lease = self._duties.acquire_or_renew(f"rollout/{rollout.name}")
            if lease is not None:
                held[rollout.name] = lease
        return held

    def _read_ratings(self, inbox: RolloutInbox) -> None:
        if self._ratings is None:
            return
        # Ratings that the stored rows already include are not read again.
        rows = (self._tables.rollouts.get(name) for name in inbox.leases)
        stored = min((row.ratings_after if row else 0 for row in rows), default=0)
        read = self._ratings.read(max(self._ratings_after, stored))
        if isinstance(read, Err):
            _log.warning("reading ratings failed", error=read.err_value.message)
            return
        inbox.ratings += read.ok_value
        if read.ok_value:
            self._ratings_after = read.ok_value[-1].seq
