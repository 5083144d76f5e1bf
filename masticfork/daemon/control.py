"""Control components of a daemon: peers, shared objects, duties, bills, limits."""

import random

import logbook
from result import Err, Ok, Result

from masticfork.core.configuration import Configuration
from masticfork.core.findings import Findings
from masticfork.core.ids import HostName, ZoneName
from masticfork.core.tables import System
from masticfork.daemon.bills import BillService
from masticfork.daemon.claim_sweep import ClaimSweeper
from masticfork.daemon.duties import DutyLeases
from masticfork.daemon.host_list import HostListPoller
from masticfork.daemon.limits import LimitSharing
from masticfork.daemon.quality import QualityRecorder, RatingPoller
from masticfork.daemon.rollout_driver import USAGE_TOPIC, RolloutDriver
from masticfork.daemon.rollout_store import RolloutStore
from masticfork.daemon.shared_components import SharedComponents
from masticfork.daemon.shared_objects import SharedObjectApplier
from masticfork.daemon.topics import TopicDispatcher
from masticfork.ledger.leases import LeaseManager
from masticfork.peers.authentication import PeerKey
from masticfork.peers.messages import BillsWritten, Evidence, KeepBills
from masticfork.peers.node import NodeSettings, PeerNode
from masticfork.peers.object_relay import OBJECTS_TOPIC, VERSIONS_TOPIC, ObjectRelay
from masticfork.peers.object_watch import ObjectWatch
from masticfork.peers.records import LinkSettings
from masticfork.settings.manifest import parse_manifest
from masticfork.systems.admission import FairAdmission
from masticfork.systems.call_failure_backoff import CallFailureBackoff
from masticfork.systems.cascades import LearnedCascade
from masticfork.systems.health import OutlierEjection
from masticfork.systems.outcomes import CallResults
from masticfork.systems.periodic import PeriodicSystem
from masticfork.systems.pool_capacity import PoolCapacity
from masticfork.systems.rollout_policies import SequentialPolicy
from masticfork.systems.rollouts import RolloutSystem
from masticfork.systems.watchers import is_watcher

# Resolution of incarnation numbers, which are start times: a restarted host must have
# a greater number than before.
INCARNATIONS_PER_SECOND = 1000
# Interval between evaluations of pools and servers; each one scans all table rows.
EVALUATION_INTERVAL_SECONDS = 1.0

_log = logbook.Logger("daemon")


class ControlComponents:
    """Background components that talk to the platform and to other hosts."""

    def __init__(self, shared: SharedComponents) -> None:
        self._shared = shared
        tables, store, now = shared.tables, shared.store, shared.now
        self._topic_dispatcher = TopicDispatcher()
        rng = random.Random(shared.rng.getrandbits(64))
        self.quality = QualityRecorder(LearnedCascade(), rng)
        self._rating_poller = None
        if shared.ratings is not None:
            self._rating_poller = RatingPoller(
                shared.ratings, self.quality.record_ratings
            )
        self.objects = ObjectRelay(SharedObjectApplier(tables, shared.usage))
        interval = shared.settings.platform.bill_interval_seconds
        self.bills = BillService(store, tables, shared.background, interval, now)
        self.node = self._make_node()
        self.bills.replicator.attach(self.node.link)
        self.objects.set_transport(self.node.link)
        self._watch = ObjectWatch(store, self.objects, lambda: is_watcher(tables), now)
        self._host_list = self._make_host_list()
        duties = DutyLeases(LeaseManager(store, tables.me.host, now), tables)
        # Health and Drains each consume all call outcomes, so each has its own buffer.
        self.call_outcomes = (CallResults(), CallResults())
        self.rollouts = RolloutStore(store, self.objects, now)
        self._driver = self._make_driver(duties)
        self._sweeper = ClaimSweeper(store, duties, now)
        self._limit_sharing = LimitSharing(tables, duties, self._min_hosts, now)
        self.admission = FairAdmission(self._limit_sharing)
        self._limit_sharing.attach(self.admission, self.node.link)
        self._register_topics()

    @property
    def limits_settled(self) -> bool:
        """Return whether this host knows its shares of the team limits."""
        return self._limit_sharing.startup_over(self._shared.now())

    @property
    def systems(self) -> tuple[System, ...]:
        """Return the systems to run in each tick, in order."""
        in_flight, admission = self._shared.in_flight, self.admission
        capacity = PoolCapacity(in_flight.at, admission.set_slots)
        health, drains = (
            OutlierEjection(self.call_outcomes[0]),
            CallFailureBackoff(self.call_outcomes[1]),
        )
        return (
            self.node,
            self.objects,
            PeriodicSystem(capacity, EVALUATION_INTERVAL_SECONDS),
            self.bills,
            PeriodicSystem(health, EVALUATION_INTERVAL_SECONDS),
            drains,
            self.quality,
        )

    def start(self) -> None:
        """Start all components in the background."""
        self.bills.start()
        start_result = self.node.start()
        if isinstance(start_result, Err):
            _log.error("peer link failed to listen", error=str(start_result.err_value))
        self._watch.start()
        self._driver.loop.start()
        self._sweeper.loop.start()
        self._limit_sharing.start()
        if self._rating_poller is not None:
            self._rating_poller.loop.start()
        if self._host_list is not None:
            self._host_list.loop.start()

    def release_duties(self) -> None:
        """Release all duties, so that other hosts can take over at once."""
        self._driver.release_duties()
        self._limit_sharing.release_duties()

    def stop(self) -> None:
        """Stop all remaining components; call after the bills are flushed."""
        self._watch.stop()
        self._sweeper.loop.stop()
        if self._rating_poller is not None:
            self._rating_poller.loop.stop()
        if self._host_list is not None:
            self._host_list.loop.stop()
        self.bills.stop()
        self.node.stop()

    def _make_host_list(self) -> HostListPoller | None:
        url = self._shared.settings.host_list_url
        if url is None:
            return None
        address = url.removeprefix("http://")
        return HostListPoller(address, self._shared.tables, self.node.set_listed_hosts)

    def _make_driver(self, duties: DutyLeases) -> RolloutDriver:
        return RolloutDriver(
            self._shared.tables,
            RolloutSystem(SequentialPolicy()),
            self.rollouts,
            duties,
            self._shared.usage,
            self._shared.ratings,
            self.node.link,
            self._shared.now,
        )

    def _register_topics(self) -> None:
        self._topic_dispatcher.register(OBJECTS_TOPIC, self.objects.on_objects)
        self._topic_dispatcher.register(VERSIONS_TOPIC, self.objects.on_versions)
        self._topic_dispatcher.register(USAGE_TOPIC, self._driver.on_usage)
        for topic, handler in self._limit_sharing.topics.items():
            self._topic_dispatcher.register(topic, handler)

    @property
    def _min_hosts(self) -> int:
        return 1 + len(
            set(self._shared.settings.peer.seeds) - {self._shared.advertised_address}
        )

    def _make_node(self) -> PeerNode:
        settings = self._shared.settings.peer
        link = LinkSettings(
            host=HostName(self._shared.settings.host),
            zone=ZoneName(self._shared.settings.zone),
            address=f"{settings.host}:{settings.port}",
            keys=tuple(PeerKey(key.id, key.secret) for key in settings.keys),
            incarnation=int(self._shared.now() * INCARNATIONS_PER_SECOND),
            seeds=settings.seeds,
        )
        return PeerNode(
            NodeSettings(
                link,
                self._shared.advertised_address,
                self._shared.settings.confirm_seconds,
            ),
            self._shared.tables,
            check_configuration,
            self._shared.store,
            self._shared.now,
            {
                KeepBills: self.bills.on_keep,
                BillsWritten: self.bills.on_written,
                Evidence: self._topic_dispatcher,
            },
        )


def check_configuration(
    number: int, submission_id: str, text: str
) -> Result[Configuration, Findings]:
    """Parse and validate a manifest; return the findings if it is not valid."""
    parsed = parse_manifest(text, f"configuration {number}")
    if isinstance(parsed, Err):
        return parsed
    manifest, _ = parsed.ok_value
    return Ok(Configuration(number, submission_id, manifest))
