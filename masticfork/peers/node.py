"""The daemon's connection to other hosts: link, membership, configuration relay."""

import collections
import threading
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import attrs
from result import Ok, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.core.hosts import NO_REGION, HostReport, HostState, ListedHost
from masticfork.core.ids import HostName, ZoneName
from masticfork.core.tables import Tables
from masticfork.peers.configuration_relay import (
    CONFIRM_INTERVAL_FRACTION,
    ConfigurationRelay,
    ManifestCheck,
    SentRequest,
)
from masticfork.peers.gossip import Gossip, known_host, report_of
from masticfork.peers.link import PeerLink
from masticfork.peers.messages import (
    Body,
    ConfigurationRequest,
    Heartbeat,
    Hosts,
    KnownHost,
)
from masticfork.peers.platform_watch import WATCH_TIMEOUT_SECONDS, PlatformWatch
from masticfork.peers.records import Handler, Handlers, LinkSettings, Sender
from masticfork.peers.requests import Reply
from masticfork.peers.selection import PeerAddress
from masticfork.store.client import ObjectStore
from masticfork.systems.membership import Membership
from masticfork.systems.watchers import is_watcher

HEARTBEAT_INTERVAL_SECONDS = 1.0
# Interval of peer selection while the number of known hosts stays the same.
SELECTION_INTERVAL_SECONDS = 5.0
# Updates that wait for the next tick; beyond this, the oldest are dropped.
MAX_QUEUED_UPDATES = 10_000

_Update = Callable[[Tables, float], Findings]


@attrs.frozen
class NodeSettings:
    """Settings of a node, including those of its link."""

    link: LinkSettings
    # `IP:PORT` at which other hosts dial this one.
    advertise: str
    confirm_seconds: float
    heartbeat_seconds: float = HEARTBEAT_INTERVAL_SECONDS


class PeerNode:
    """Runs as a system in the tick; link threads only add to its inbox."""

    def __init__(
        self,
        settings: NodeSettings,
        tables: Tables,
        check: ManifestCheck,
        store: ObjectStore | None,
        now: Callable[[], float],
        handlers: Mapping[type[Any], Handler] | None = None,
    ) -> None:
        self._settings = settings
        self._tables = tables
        self._now = now
        self._membership = Membership()
        self._gossip = Gossip()
        self._inbox: collections.deque[_Update] = collections.deque(
            maxlen=MAX_QUEUED_UPDATES
        )
        self._next_heartbeat = Deadline(0.0)
        self._next_selection = Deadline(0.0)
        self._selected_from_count = 0
        # Processes replies, since checking a manifest would block a link's thread.
        self._worker = ThreadPoolExecutor(1, thread_name_prefix="relay")
        tables.me = attrs.evolve(tables.me, incarnation=settings.link.incarnation)
        bodies: dict[type[Any], Handler] = dict(handlers or {})
        bodies[Heartbeat] = self._on_heartbeat
        bodies[Hosts] = self._on_hosts
        bodies[ConfigurationRequest] = self._on_configuration_request
        self._link = PeerLink(
            settings.link,
            Handlers(bodies, self._on_linked, self._on_unlinked, self._on_pruned),
            now,
        )
        self._relay = ConfigurationRelay(tables, check, self, settings.confirm_seconds)
        self._watch = None
        if store is not None:
            # A watch confirms the state at its start: a long one confirms nothing new.
            longest_watch = settings.confirm_seconds * CONFIRM_INTERVAL_FRACTION
            self._watch = PlatformWatch(
                store,
                self._relay,
                lambda: is_watcher(tables),
                self._report,
                now,
                min(WATCH_TIMEOUT_SECONDS, longest_watch),
            )

    @property
    def link(self) -> PeerLink:
        """Return the link, on which other modules send their messages."""
        return self._link

    @property
    def relay(self) -> ConfigurationRelay:
        """Return the configuration relay."""
        return self._relay

    def start(self) -> Result[None, OSError]:
        """Listen, dial the seeds and start to read from the platform."""
        started = self._link.start()
        if isinstance(started, Ok) and self._watch is not None:
            # A daemon thread: a long call to the platform must not delay the exit.
            threading.Thread(target=self._watch.run, name="watch", daemon=True).start()
        return started

    def stop(self) -> None:
        """Announce to the peers that this host leaves, then close the links."""
        self._tables.me = attrs.evolve(self._tables.me, stopping=True)
        self.announce()
        if self._watch is not None:
            self._watch.stop()
        self._link.stop()
        self._worker.shutdown(wait=False, cancel_futures=True)

    def set_listed_hosts(self, hosts: Iterable[ListedHost]) -> None:
        """Queue the platform's complete list of entry hosts for the next tick."""
        listed = tuple(hosts)
        self._inbox.append(
            lambda t, now: self._membership.record_host_list(t, listed, now)
        )

    def run(self, tables: Tables, now: float) -> Findings:
        """Process the inbox, advance deadlines and send due messages."""
        findings: list[Findings] = []
        while self._inbox:
            findings.append(self._inbox.popleft()(tables, now))
        findings.append(self._membership.run(tables, now))
        findings.append(self._relay.run(tables, now))
        self._link.raise_incarnation(tables.me.incarnation)
        if self._next_heartbeat.expired(now):
            wait = self._settings.heartbeat_seconds
            self._next_heartbeat = Deadline.after(now, wait)
            self._select_peers(tables, now)
            self._link.broadcast(self._heartbeat(self._gossip.digest(tables, now)))
        return tuple(finding for group in findings for finding in group)

    def announce(self) -> None:
        """Send a heartbeat to all neighbours immediately."""
        self._link.broadcast(self._heartbeat())

    def send_request(self, sent_request: SentRequest) -> None:
        """Request a newer configuration from a neighbour."""
        reply = self._link.request(
            sent_request.host, sent_request.request, sent_request.until
        )
        reply.add_done_callback(lambda done: self._on_reply(sent_request, done))

    def _select_peers(self, tables: Tables, now: float) -> None:
        count = len(tables.hosts)
        if count == self._selected_from_count and not self._next_selection.expired(now):
            return
        self._selected_from_count = count
        self._next_selection = Deadline.after(now, SELECTION_INTERVAL_SECONDS)
        self._link.set_peers(_dialling_candidates(tables))

    def _heartbeat(
        self, known: tuple[KnownHost, ...] = (), *, first: bool = False
    ) -> Heartbeat:
        me = self._tables.me
        return Heartbeat(
            zone=me.zone if first else ZoneName(""),
            region=me.region if first else NO_REGION,
            address=self._settings.advertise if first else "",
            leaving=me.stopping,
            configuration_number=self._relay.number,
            known=known,
        )

    def _report(self, findings: Findings) -> None:
        """Queue findings of another thread for the next tick."""
        if findings:
            self._inbox.append(lambda _tables, _now: findings)

    def _on_reply(self, sent_request: SentRequest, done: Future[Reply]) -> None:
        reply = done.result()
        if isinstance(reply, Ok):
            self._worker.submit(self._process_reply, sent_request, reply.ok_value)

    def _process_reply(self, sent_request: SentRequest, reply: Body) -> None:
        self._report(self._relay.on_reply(sent_request, reply, self._now()))

    def _on_linked(self, sender: Sender) -> None:
        self._link.send(sender.host, self._heartbeat(first=True))

        def send_known_hosts(tables: Tables, now: float) -> Findings:
            rows = [row for row in tables.hosts.values() if row.incarnation]
            known = tuple(known_host(row, now) for row in rows)
            self._link.send(sender.host, Hosts(known))
            return ()

        self._inbox.append(send_known_hosts)

    def _on_unlinked(self, sender: Sender) -> None:
        self._relay.remove_neighbour(sender.host)

    def _on_heartbeat(self, sender: Sender, body: Heartbeat) -> None:
        now = self._now()
        report = HostReport(
            host=sender.host,
            zone=body.zone,
            region=body.region,
            address=body.address,
            incarnation=sender.incarnation,
            heard_at=now,
            leaving=body.leaving,
            configuration_number=body.configuration_number,
        )
        self._inbox.append(
            lambda t, _: self._membership.record_heartbeat(t, report, now)
        )
        self._on_hosts(sender, Hosts(body.known))
        self._relay.on_heartbeat(sender.host, body.configuration_number, now)

    def _on_hosts(self, sender: Sender, body: Hosts) -> None:
        now = self._now()
        reports = [report_of(known, now) for known in body.known]

        def merge_reports(tables: Tables, now: float) -> Findings:
            findings = [
                self._membership.record_peer_report(tables, report, now)
                for report in reports
            ]
            return tuple(finding for group in findings for finding in group)

        self._inbox.append(merge_reports)

    def _on_pruned(self, sender: Sender) -> None:
        host = sender.host
        self._inbox.append(
            lambda t, now: self._membership.record_link_closed(t, host, now)
        )

    def _on_configuration_request(
        self, sender: Sender, body: ConfigurationRequest
    ) -> Body:
        return self._relay.answer(body)


def _dialling_candidates(tables: Tables) -> list[PeerAddress]:
    """Return the hosts that are neither dead nor leaving."""
    return [
        PeerAddress(HostName(row.host), row.zone, row.address)
        for row in tables.hosts.values()
        if row.state is not HostState.DEAD and not row.leaving
    ]
