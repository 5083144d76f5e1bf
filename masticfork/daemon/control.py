"""The control parts of a daemon: peers, shared objects, duties, bills, limits."""

import random

import logbook
from result import Err, Ok, Result

from masticfork.core.configuration import Configuration
from masticfork.core.findings import Findings
from masticfork.core.ids import HostName, ZoneName
from masticfork.core.tables import System
from masticfork.daemon.base import Base
from masticfork.daemon.bills import BillService
from masticfork.daemon.claim_sweep import ClaimSweeper
from masticfork.daemon.duties import DutyLeases
from masticfork.daemon.host_list import HostListPoller
from masticfork.daemon.limits import LimitSharing
from masticfork.daemon.quality import QualityKeeper, RatingFeed
from masticfork.daemon.rollout_driver import USAGE_TOPIC, RolloutDriver
from masticfork.daemon.rollout_store import RolloutStore
from masticfork.daemon.shared import SharedTables
from masticfork.daemon.topics import Topics
from masticfork.ledger.leases import LeaseKeeper
from masticfork.peers.authentication import PeerKey
from masticfork.peers.messages import BillsWritten, Evidence, KeepBills
from masticfork.peers.node import NodeSettings, PeerNode
from masticfork.peers.object_relay import NEWS_TOPIC, VERSIONS_TOPIC, ObjectRelay
from masticfork.peers.object_watch import ObjectWatch
from masticfork.peers.records import LinkSettings
from masticfork.settings.manifest import parse_manifest
from masticfork.systems.admission import FairAdmission
from masticfork.systems.cascades import LearntCascade
from masticfork.systems.drains import Drains
from masticfork.systems.health import Health
from masticfork.systems.outcomes import CallEnds
from masticfork.systems.paced import Paced
from masticfork.systems.pool_capacity import PoolCapacity
from masticfork.systems.rollout_policies import SequentialPolicy
from masticfork.systems.rollouts import RolloutSystem
from masticfork.systems.watchers import watches

# A restarted host must carry a greater incarnation number than before.
INCARNATIONS_PER_SECOND = 1000
# How often pools and servers are judged as a whole, which costs a look at each row.
JUDGE_SECONDS = 1.0

_log = logbook.Logger("daemon")


class ControlParts:
    """What meets the platform and the other hosts, outside of any request."""

    def __init__(self, base: Base) -> None:
        self._base = base
        tables, store, now = base.tables, base.store, base.now
        self._topics = Topics()
        chance = random.Random(base.rng.getrandbits(64))
        self.quality = QualityKeeper(LearntCascade(), chance)
        self._feed = None
        if base.ratings is not None:
            self._feed = RatingFeed(base.ratings, self.quality.rated)
        self.objects = ObjectRelay(SharedTables(tables, base.usage))
        interval = base.settings.platform.bill_interval_seconds
        self.bills = BillService(store, tables, base.background, interval, now)
        self.node = self._make_node()
        self.bills.keeper.use(self.node.link)
        self.objects.use(self.node.link)
        self._watch = ObjectWatch(store, self.objects, lambda: watches(tables), now)
        self._host_list = self._make_host_list()
        duties = DutyLeases(LeaseKeeper(store, tables.me.host, now), tables)
        # Each of the two systems that judge servers takes every end of a call.
        self.ends = (CallEnds(), CallEnds())
        self.rollouts = RolloutStore(store, self.objects, now)
        self._driver = self._make_driver(duties)
        self._sweeper = ClaimSweeper(store, duties, now)
        self._sharing = LimitSharing(tables, duties, self._least_hosts, now)
        self.admission = FairAdmission(self._sharing)
        self._sharing.attach(self.admission, self.node.link)
        self._register_topics()

    @property
    def settled(self) -> bool:
        """Tell whether this host knows its shares of the teams' limits."""
        return self._sharing.settled(self._base.now())

    @property
    def systems(self) -> tuple[System, ...]:
        """Return the systems of these parts, in the order of a tick."""
        in_flight, admission = self._base.in_flight, self.admission
        capacity = PoolCapacity(in_flight.at, admission.run_pools)
        health, holds = Health(self.ends[0]), Drains(self.ends[1])
        return (
            self.node,
            self.objects,
            Paced(capacity, JUDGE_SECONDS),
            self.bills,
            Paced(health, JUDGE_SECONDS),
            holds,
            self.quality,
        )

    def start(self) -> None:
        """Start every part in the background."""
        self.bills.start()
        started = self.node.start()
        if isinstance(started, Err):
            _log.error("the peer link cannot listen", error=str(started.err_value))
        self._watch.start()
        self._driver.loop.start()
        self._sweeper.loop.start()
        self._sharing.start()
        if self._feed is not None:
            self._feed.loop.start()
        if self._host_list is not None:
            self._host_list.loop.start()

    def hand_back(self) -> None:
        """Give every duty back, so that other hosts take over at once."""
        self._driver.hand_back()
        self._sharing.hand_back()

    def stop(self) -> None:
        """Stop every part; bills are flushed before."""
        self._watch.stop()
        self._sweeper.loop.stop()
        if self._feed is not None:
            self._feed.loop.stop()
        if self._host_list is not None:
            self._host_list.loop.stop()
        self.bills.stop()
        self.node.stop()

    def _make_host_list(self) -> HostListPoller | None:
        url = self._base.settings.host_list_url
        if url is None:
            return None
        address = url.removeprefix("http://")
        return HostListPoller(address, self._base.tables, self.node.listed)

    def _make_driver(self, duties: DutyLeases) -> RolloutDriver:
        return RolloutDriver(
            self._base.tables,
            RolloutSystem(SequentialPolicy()),
            self.rollouts,
            duties,
            self._base.usage,
            self._base.ratings,
            self.node.link,
            self._base.now,
        )

    def _register_topics(self) -> None:
        self._topics.register(NEWS_TOPIC, self.objects.on_news)
        self._topics.register(VERSIONS_TOPIC, self.objects.on_versions)
        self._topics.register(USAGE_TOPIC, self._driver.on_usage)
        for topic, handler in self._sharing.topics.items():
            self._topics.register(topic, handler)

    @property
    def _least_hosts(self) -> int:
        return 1 + len(set(self._base.settings.peer.seeds) - {self._base.advertised})

    def _make_node(self) -> PeerNode:
        settings = self._base.settings.peer
        link = LinkSettings(
            host=HostName(self._base.settings.host),
            zone=ZoneName(self._base.settings.zone),
            address=f"{settings.host}:{settings.port}",
            keys=tuple(PeerKey(key.id, key.secret) for key in settings.keys),
            incarnation=int(self._base.now() * INCARNATIONS_PER_SECOND),
            seeds=settings.seeds,
        )
        return PeerNode(
            NodeSettings(
                link, self._base.advertised, self._base.settings.confirm_seconds
            ),
            self._base.tables,
            check_configuration,
            self._base.store,
            self._base.now,
            {
                KeepBills: self.bills.on_keep,
                BillsWritten: self.bills.on_written,
                Evidence: self._topics,
            },
        )


def check_configuration(
    number: int, submission_id: str, text: str
) -> Result[Configuration, Findings]:
    """Check a manifest whole; findings where it may not be put in force."""
    parsed = parse_manifest(text, f"configuration {number}")
    if isinstance(parsed, Err):
        return parsed
    manifest, _ = parsed.ok_value
    return Ok(Configuration(number, submission_id, manifest))
