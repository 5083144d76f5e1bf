"""The digests of this host, and what those of other hosts change here."""

import attrs

from masticfork.core.digests import Digest, HostLoad
from masticfork.relay.loop import Loop
from masticfork.relay.own_loads import OwnLoads
from masticfork.relay.paced_servers import PacedServers
from masticfork.relay.peer_loads import PeerLoads
from masticfork.relay.peers import Peers
from masticfork.relay.reader_duty import ReaderDuty
from masticfork.relay.request_quarantine import RequestQuarantine
from masticfork.relay.rollout_controller import RolloutController
from masticfork.relay.room import RoomGate
from masticfork.relay.server_trials import ServerTrials
from masticfork.relay.session_versions import SessionVersions
from masticfork.relay.store_view import StoreView
from masticfork.relay.tables import Tables
from masticfork.relay.uneven_servers import UnevenServers

# Age up to which a server's limit is also told in partial digests.
LIMIT_NEWS_SECONDS = 0.5
# Time for which news that other hosts should know at once are collected.
NEWS_BATCH_SECONDS = 0.01


class HostDigests:
    """Sends this host's state to its peers, and applies theirs.

    The peers, the store view and the reader duty call it back, so they are `connect`ed
    after they were made.
    """

    def __init__(
        self,
        loop: Loop,
        host: str,
        zone: str,
        tables: Tables,
        sessions: SessionVersions,
        quarantine: RequestQuarantine,
        trials: ServerTrials,
        paced_servers: PacedServers,
        room: RoomGate,
        uneven_servers: UnevenServers,
        transit_port: int,
    ) -> None:
        self._loop = loop
        self._host = host
        self._zone = zone
        self._tables = tables
        self._sessions = sessions
        self._quarantine = quarantine
        self._trials = trials
        self._paced_servers = paced_servers
        self._room = room
        self._uneven_servers = uneven_servers
        self._transit_port = transit_port
        self._own_loads = OwnLoads(tables, self._schedule_load_update)
        self._peer_loads = PeerLoads(tables)
        self._load_update_scheduled = False
        self._news_scheduled = False
        self._peers: Peers
        self._store_view: StoreView
        self._reader_duty: ReaderDuty
        self._rollouts: RolloutController

    @property
    def own_loads(self) -> OwnLoads:
        """Return the loads of this host's calls."""
        return self._own_loads

    def connect(
        self,
        peers: Peers,
        store_view: StoreView,
        reader_duty: ReaderDuty,
        rollouts: RolloutController,
    ) -> None:
        """Set the parts whose state the digests tell."""
        self._peers = peers
        self._store_view = store_view
        self._reader_duty = reader_duty
        self._rollouts = rollouts

    def run(self) -> None:
        """Send a digest if one is due; call it on each tick."""
        self._peer_loads.refresh()
        if self._peers.is_digest_due():
            self._peers.send_digest(self._full_digest())
        elif self._peers.seconds_since_digest >= (
            self._reader_duty.digest_interval_seconds
        ):
            self._send_header()

    def send_store_update(self) -> None:
        """Tell the other hosts what this one has read from the store."""
        updates = self._store_view.take_updates()
        if self._reader_duty.reading:
            update = attrs.evolve(
                self._header(),
                kinds=self._store_view.kind_states,
                updates=updates,
                partial=True,
            )
            self._peers.send_digest(update)

    def count_peer_load(self, server: int, share: HostLoad, sign: int) -> None:
        """Add a peer's load at a server, or subtract it if `sign` is -1."""
        self._peer_loads.count(server, share, sign)

    def apply(self, digest: Digest) -> None:
        """Apply what a peer has observed of sessions, servers and the store."""
        self._store_view.apply_updates(digest)
        self._rollouts.apply_evidence(digest.rollouts)
        self._sessions.apply_report(digest.sessions, self._loop.now)
        self._quarantine.apply_report(digest.crashes)
        self._tables.apply_limits(digest.limits, digest.host)
        self._tables.apply_brittle(digest.brittle, digest.host)
        self._paced_servers.apply(digest.paced)
        self._room.apply(digest.host, digest.team_work)
        self._uneven_servers.apply(digest.host, digest.speeds)
        if digest.leaving:
            self._tables.apply_leaving_incarnations(digest.leaving, digest.host)

    def _header(self) -> Digest:
        """Return a digest with the fields that partial and full digests share."""
        table = self._tables.routes
        return Digest(
            host=self._host,
            incarnation=0,
            sequence=0,
            configuration=0 if table is None else table.version,
            servers=self._store_view.servers_position,
            loads={},
            rollouts=(),
            leaving=self._tables.leaving_incarnations,
            limits=tuple(
                report
                for report in self._tables.limits
                if report.age < LIMIT_NEWS_SECONDS
            ),
            brittle=tuple(
                report for report in self._tables.brittle_servers if report.refusals
            ),
            crashes=self._quarantine.news(),
            reading=self._reader_duty.reading,
            store_failing=self._store_view.store_failing,
            entries_return=self._store_view.entries_return_by.remaining(self._loop.now)
            if self._reader_duty.reading
            else None,
            transit_port=self._transit_port,
            cut_off=self._trials.cut_off,
        )

    def _full_digest(self) -> Digest:
        return attrs.evolve(
            self._header(),
            zone=self._zone,
            kinds=self._store_view.kind_states,
            loads=self._own_loads.take_all(),
            rollouts=self._rollouts.evidence(),
            sessions=self._sessions.next_batch(),
            limits=self._tables.limits,
            brittle=self._tables.brittle_servers,
            paced=self._paced_servers.reports,
            team_work=self._room.team_work,
            speeds=self._uneven_servers.reports,
            crashes=self._quarantine.report(),
        )

    def _schedule_load_update(self) -> None:
        """Schedule a digest of the changed loads unless one is already scheduled."""
        if not self._load_update_scheduled:
            self._load_update_scheduled = True
            self._loop.call_after(
                self._peers.change_batch_seconds, self._send_load_update
            )

    def schedule_news(self) -> None:
        """Schedule a digest of what other hosts should know at once."""
        if not self._news_scheduled:
            self._news_scheduled = True
            self._loop.call_after(NEWS_BATCH_SECONDS, self._send_news)

    def send_full_soon(self) -> None:
        """Schedule a full digest: it holds what other hosts should know at once."""
        self._peers.hasten_digest()
        self._loop.call_after(NEWS_BATCH_SECONDS, self.run)

    def _send_news(self) -> None:
        self._news_scheduled = False
        self._send_header()

    def _send_header(self) -> None:
        self._peers.send_digest(attrs.evolve(self._header(), partial=True))

    def _send_load_update(self) -> None:
        self._load_update_scheduled = False
        changed = self._own_loads.take_changed()
        if changed:
            self._peers.send_digest(
                attrs.evolve(self._header(), loads=changed, partial=True)
            )
