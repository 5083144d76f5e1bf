"""Updates of the tables from the store, or from peers while the store fails."""

import json
from collections.abc import Callable, Iterable
from functools import partial
from typing import TypeVar

from result import Err, Result

from masticfork.core.deadlines import Deadline
from masticfork.core.digests import Digest, KindState, KindUpdate
from masticfork.core.findings import Finding
from masticfork.core.store_position import StorePosition
from masticfork.platform import names
from masticfork.platform.fields import malformed_finding
from masticfork.platform.objects import (
    Changes,
    Listing,
    ObjectChange,
    PlatformObject,
)
from masticfork.platform.route_format import decode_route_table
from masticfork.platform.server_format import (
    decode_host,
    decode_rollout,
    decode_server,
)
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.mirror import (
    KindMirror,
    decode_changes,
    encode_changes,
    encode_copy,
    to_json,
)
from masticfork.relay.peers import Peers
from masticfork.relay.tables import MISSING_GRACE_SECONDS, Tables
from masticfork.relay.zone_evacuations import ZoneEvacuations
from masticfork.store.client import PlatformError

# Kinds that each host mirrors, so that peers can copy them. Digests name them by their
# index, so further ones are added at the end.
MIRRORED_KINDS = (names.KIND_CONFIG, names.KIND_SERVERS, names.KIND_ROLLOUTS)
# Time after which a store that others read without failures has returned for the
# servers as well, though it still turns this host away.
STORE_RECOVERY_SECONDS = 3.0

# Time after which failing calls to the store count as a failure of this host, and for
# which the other hosts then do without it.
FAILURE_NOTICE_SECONDS = 0.5
FAILURE_MEMORY_SECONDS = 5.0
# Time for which a peer may know more than this host before its copy is requested:
# changes usually arrive by a datagram or by this host's own watch.
BEHIND_SECONDS = 0.15
READER_BEHIND_SECONDS = 1.0
# Longest changes that are sent by datagram; peers copy longer ones over HTTP.
MAX_UPDATE_BYTES = 8000
# Entries whose latest finding is remembered.
MAX_REPORTED_FINDINGS = 1024
# Hosts of earlier builds request the copy there, and read plain JSON.
PLAIN_COPY_PATH = b"/copy"

T = TypeVar("T")


class StoreView:
    """Applies what followers read from the store, and peers' copies while it fails."""

    def __init__(
        self,
        loop: Loop,
        tables: Tables,
        peers: Peers,
        metrics: RelayMetrics,
        log: Callable[..., None],
        on_restored: Callable[[], None],
        on_update: Callable[[], None],
        evacuations: ZoneEvacuations | None = None,
    ) -> None:
        self._loop = loop
        self._tables = tables
        self._peers = peers
        self._metrics = metrics
        self._log = log
        # Called when the store has come back from an older copy.
        self._on_restored = on_restored
        # Called when something new has been read from the store.
        self._on_update = on_update
        # None if the deployment has no evacuations; then their kind is not read.
        self._evacuations = evacuations
        kinds = MIRRORED_KINDS + ((names.KIND_EVACUATIONS,) if evacuations else ())
        self._mirrors = {kind: KindMirror() for kind in kinds}
        # Whether the store was silent when last heard of, and the deadline by which
        # entries that are missing since then have returned. While it is silent, the
        # deadline is not known.
        self._silent = False
        self._return_by = Deadline(float("-inf"))
        # The same deadline by the host that has told it.
        self._told_return_by: dict[str, Deadline] = {}
        # Loop time since which most of the other hosts that read the store have done so
        # without failures, None if they have not or there are none.
        self._sound_for_others_since: float | None = None
        self._failing: set[str] = set()
        self._failing_since: float | None = None
        self._failure_known_until = 0.0
        self._probe_failed = False
        # What this host knew of each kind of which a peer has known more, and the loop
        # time since which it has learnt nothing of it.
        self._behind: dict[str, tuple[int, float]] = {}
        self._reading = True
        self._updates: list[KindUpdate] = []
        # The page for peers, and the states of the kinds that it holds.
        self._copy: tuple[tuple[KindState, ...], bytes] | None = None
        self._era = 0
        # The object of the configuration in force. A restored store may hold an older
        # one, which peers are not to copy.
        self._configuration: PlatformObject | None = None
        # The latest findings by the place of the entry, the oldest first: other writers
        # repeat their entries.
        self._reported: dict[str, Finding] = {}

    @property
    def kinds(self) -> tuple[str, ...]:
        """Return the kinds that this host mirrors."""
        return tuple(self._mirrors)

    @property
    def servers_position(self) -> StorePosition:
        """Return the position of the store up to which the servers are known."""
        return self._mirrors[names.KIND_SERVERS].position

    @property
    def kind_states(self) -> tuple[KindState, ...]:
        """Return what this host knows of each kind, in the order of the kinds."""
        return tuple(
            KindState(mirror.position, self._fingerprint(kind))
            for kind, mirror in self._mirrors.items()
        )

    @property
    def store_failing(self) -> bool:
        """Return whether calls of this host to the store have failed for some time."""
        now, since = self._loop.now, self._failing_since
        lasting = since is not None and now - since >= FAILURE_NOTICE_SECONDS
        if lasting or self._probe_failed:
            self._failure_known_until = now + FAILURE_MEMORY_SECONDS
        return now < self._failure_known_until

    @property
    def behind_since(self) -> float | None:
        """Return the loop time since which this host has not learnt what peers know.

        None if no peer knows more.
        """
        return min((since for _, since in self._behind.values()), default=None)

    def position(self, kind: str) -> StorePosition:
        """Return the position of the store up to which a kind is known."""
        return self._mirrors[kind].position

    def copy_page(self, path: bytes) -> tuple[int, bytes]:
        """Return the HTTP status and body from which peers copy the store."""
        if not self._tables.complete:
            return 503, b""
        if path == PLAIN_COPY_PATH:
            return 200, json.dumps(to_json(self._mirrors)).encode()
        states = self.kind_states
        if self._copy is None or self._copy[0] != states:
            self._copy = states, encode_copy(self._mirrors)
        return 200, self._copy[1]

    def run(self, now: float, reading: bool) -> None:
        """Request a copy from a peer while this host is behind or can't read."""
        digests = self._peers.live_digests
        readers = [digest for digest in digests if digest.reading]
        failing = sum(digest.store_failing for digest in readers)
        if 2 * failing >= len(readers):
            self._sound_for_others_since = None
            if readers and not reading:
                self._silent = True
        elif self._sound_for_others_since is None:
            self._sound_for_others_since = now
            if not reading:
                self._record_answer()
        if not reading:
            self._follow_positions(readers)
        self._reading = reading
        self._update_behind(digests)
        self._request_copy()

    def _update_behind(self, digests: list[Digest]) -> None:
        ahead = {kind for digest in digests for kind in self._kinds_ahead(digest)}
        behind: dict[str, tuple[int, float]] = {}
        for kind in ahead:
            known = self._fingerprint(kind)
            before = self._behind.get(kind, (known, self._loop.now))
            behind[kind] = before if before[0] == known else (known, self._loop.now)
        self._behind = behind

    def _request_copy(self) -> None:
        """Request a copy if this host has been behind for too long."""
        since = self.behind_since
        if since is None:
            return
        patience = READER_BEHIND_SECONDS if self._reading else BEHIND_SECONDS
        if self._failing or self._loop.now - since >= patience:
            self._peers.copy_from_newest(
                lambda digest: bool(self._kinds_ahead(digest)), self._apply_copy
            )

    def apply_updates(self, digest: Digest) -> None:
        """Apply changes that a peer has read from the store."""
        if digest.reading and digest.entries_return is not None:
            self._told_return_by[digest.host] = Deadline.after(
                self._loop.now, digest.entries_return
            )
        else:
            self._told_return_by.pop(digest.host, None)
        is_newer = digest.configuration > self._version
        if is_newer and names.KIND_CONFIG not in self._behind:
            self._behind[names.KIND_CONFIG] = self._version, self._loop.now
            self._loop.call_after(BEHIND_SECONDS, self._request_copy)
        kinds = list(self._mirrors)
        for update in digest.updates:
            if update.kind >= len(kinds):
                continue
            kind = kinds[update.kind]
            mirror = self._mirrors[kind]
            reached = StorePosition(update.since.era, update.revision)
            if not update.since <= mirror.position < reached:
                continue
            if mirror.position.era != reached.era or not mirror.position.revision:
                continue
            try:
                changes = tuple(decode_changes(kind, update.changes))
            except ValueError as error:
                self._log("update ignored", peer=digest.host, error=str(error))
                continue
            self._apply_changes(
                kind, Changes(changes, reached.revision, reached.era), digest.host
            )

    def take_updates(self) -> tuple[KindUpdate, ...]:
        """Return the changes read since the last call that are small enough to send."""
        updates, self._updates = tuple(self._updates), []
        return updates

    def forget_failures(self) -> None:
        """Clear the failures of followers that have been paused."""
        self._failing.clear()
        self._failing_since = None
        self._probe_failed = False

    # Called by the followers.

    def on_listing(self, kind: str, listing: Listing) -> None:
        """Apply a listing of all objects of a kind."""
        self._record_recovery(kind)
        if kind == names.KIND_HOSTS:
            self._apply_hosts(listing)
        elif listing.position >= self._mirrors[kind].position:
            known = self._mirrors[kind].position.revision > 0
            before = self._fingerprint(kind)
            self._apply_listing(kind, listing)
            if known and self._fingerprint(kind) != before:
                self._on_update()

    def on_changes(self, kind: str, changes: Changes) -> None:
        """Apply changes to objects of a kind, and offer them to peers."""
        self._record_recovery(kind)
        since = self._mirrors[kind].position
        new_changes = self._apply_changes(kind, changes, "store")
        if not new_changes:
            return
        data = encode_changes(new_changes)
        if len(data) <= MAX_UPDATE_BYTES:
            index = list(self._mirrors).index(kind)
            self._updates.append(KindUpdate(index, since, changes.revision, data))
        self._on_update()

    def _apply_changes(
        self, kind: str, changes: Changes, source: str
    ) -> list[ObjectChange]:
        new_changes = self._mirrors[kind].apply_changes(changes)
        for change in new_changes:
            stored = change.object
            if kind == names.KIND_CONFIG and not change.deleted:
                self._apply_configuration(stored, source)
                if stored.name != names.CONFIG_NAME:
                    self._mirrors[kind].discard(stored.name)
            elif kind == names.KIND_SERVERS and change.deleted:
                self._tables.remove_server(stored.name, self.entries_return_by)
            elif kind == names.KIND_SERVERS:
                servers = self._decode_each(kind, [stored], decode_server)
                for server in servers.values():
                    self._tables.put_server(server)
                if not servers:
                    # As in a listing, the entry names no server to use.
                    self._mirrors[kind].discard(stored.name)
                    self._tables.remove_server(stored.name, self.entries_return_by)
            elif kind == names.KIND_ROLLOUTS and change.deleted:
                self._tables.remove_rollout(stored.name)
            elif kind == names.KIND_ROLLOUTS:
                rollouts = self._decode_each(
                    kind, [stored], partial(decode_rollout, era=changes.era)
                )
                for rollout in rollouts.values():
                    self._tables.put_rollout(rollout)
                if not rollouts:
                    self._mirrors[kind].discard(stored.name)
            elif kind == names.KIND_EVACUATIONS and self._evacuations is not None:
                if change.deleted:
                    self._evacuations.end(stored.name, source)
                else:
                    self._evacuations.begin(stored.name, source)
        self._mirror_configuration()
        return new_changes

    def on_store_failure(self, kind: str, error: PlatformError) -> None:
        """Record the failure of a call to the store."""
        if not error.outdated:
            self._silent = True
        if self._failing_since is None and kind in self._mirrors:
            self._failing_since = self._loop.now
        self._metrics.store_failures.labels(kind, error.kind.value).inc()
        if kind not in self._failing:
            self._failing.add(kind)
            self._log("store lost", kind=kind, error=error.message)

    def on_probe(self, answered: bool) -> None:
        """Record that the store has answered a probe, or several in a row not."""
        if self._probe_failed == answered:
            self._log("store answers" if answered else "store does not answer")
        self._probe_failed = not answered
        if answered:
            self._record_answer()
        else:
            self._silent = True

    def _record_answer(self) -> None:
        """Record that the store answers; its return is its first answer."""
        if not self._silent:
            return
        self._silent = False
        if not self._is_sound_for_others:
            self._return_by = Deadline.after(self._loop.now, MISSING_GRACE_SECONDS)

    @property
    def _is_sound_for_others(self) -> bool:
        """Return whether the store only turns this host away and goes on for others."""
        since = self._sound_for_others_since
        return since is not None and self._loop.now - since >= STORE_RECOVERY_SECONDS

    @property
    def entries_return_by(self) -> Deadline:
        """Return when entries have returned that are missing since the store failed.

        Hosts that do not read the store rely on those that do.
        """
        if not self._reading and self._told_return_by:
            return max(self._told_return_by.values())
        if not self._silent or self._is_sound_for_others:
            return self._return_by
        return Deadline.after(self._loop.now, MISSING_GRACE_SECONDS)

    def _record_recovery(self, kind: str) -> None:
        self._record_answer()
        if kind in self._failing:
            self._failing.discard(kind)
            self._log("store regained", kind=kind)
        if not self._failing & self._mirrors.keys():
            self._failing_since = None

    def _apply_listing(
        self, kind: str, listing: Listing, source: str = "store"
    ) -> None:
        mirror = self._mirrors[kind]
        known = mirror.position.revision > 0
        restored = known and listing.era > mirror.position.era
        mirror.apply_listing(listing)
        self._record_era(listing.era, known)
        objects = listing.objects
        if kind == names.KIND_CONFIG:
            for stored in objects:
                self._apply_configuration(stored, source)
            mirror.retain({names.CONFIG_NAME})
            self._mirror_configuration()
        elif kind == names.KIND_SERVERS:
            servers = self._decode_each(kind, objects, decode_server)
            mirror.retain(servers)
            self._tables.list_servers(
                servers.values(), self.entries_return_by, restored
            )
        elif kind == names.KIND_ROLLOUTS:
            rollouts = self._decode_each(
                kind, objects, partial(decode_rollout, era=listing.era)
            )
            mirror.retain(rollouts)
            self._tables.list_rollouts(rollouts.values(), restored)
        elif self._evacuations is not None:
            zones = {stored.name for stored in objects}
            self._evacuations.replace(zones, source, restored)

    def _mirror_configuration(self) -> None:
        """Let peers copy the configuration in force, though the store has another."""
        if self._configuration is not None:
            mirror = self._mirrors[names.KIND_CONFIG]
            mirror.objects[names.CONFIG_NAME] = self._configuration

    def _record_era(self, era: int, known: bool) -> None:
        """Note that the store has been restored, unless nothing was `known` before."""
        if era <= self._era:
            return
        before, self._era = self._era, era
        if known:
            # Entries are missing until the servers write them again.
            self._return_by = Deadline.after(self._loop.now, MISSING_GRACE_SECONDS)
            self._log("store restored from an older copy", era=era, before=before)
            self._metrics.store_restorations.inc()
            self._on_restored()

    def _apply_configuration(self, stored: PlatformObject, source: str) -> None:
        if stored.name != names.CONFIG_NAME:
            return
        tables = self._decode_each(
            names.KIND_CONFIG, [stored], lambda stored: decode_route_table(stored.spec)
        )
        for table in tables.values():
            now = self._loop.now
            _, behind_since = self._behind.get(names.KIND_CONFIG, (0, now))
            waited = now - behind_since
            if self._tables.adopt_routes(table, source, waited):
                self._behind.pop(names.KIND_CONFIG, None)
                self._configuration = stored
                self._metrics.version.set(table.version)
                way = source if source in ("store", "peer") else "update"
                self._metrics.adoption.labels(way).observe(waited)

    def _apply_hosts(self, listing: Listing) -> None:
        self._peers.set_hosts(
            self._decode_each(names.KIND_HOSTS, listing.objects, decode_host)
        )

    # Callbacks for `Peers`.

    def _kinds_ahead(self, digest: Digest) -> set[str]:
        """Return the kinds of which a peer knows more than this host.

        A host that reads the store itself relies on peers only while its calls fail,
        and for a configuration that a restored store has lost.
        """
        ahead = set()
        if digest.configuration > self._version:
            ahead.add(names.KIND_CONFIG)
        if self._reading and not self._failing:
            return ahead
        if not digest.kinds and digest.servers > self.servers_position:
            ahead.add(names.KIND_SERVERS)
        if digest.reading:
            ahead.update(
                kind
                for state, (kind, mirror) in zip(
                    digest.kinds, self._mirrors.items(), strict=False
                )
                if state.position > mirror.position
                and (
                    state.position.era != mirror.position.era
                    or state.fingerprint != self._fingerprint(kind)
                )
            )
        return ahead

    def _follow_positions(self, readers: list[Digest]) -> None:
        """Take over the positions of readers that know the same objects.

        From there this host's own watch can go on if it becomes a reader.
        """
        for digest in readers:
            for state, (kind, mirror) in zip(
                digest.kinds, self._mirrors.items(), strict=False
            ):
                known, read = mirror.position, state.position
                later = read.era == known.era and read.revision > known.revision
                if later and state.fingerprint == self._fingerprint(kind):
                    mirror.position = read

    def _fingerprint(self, kind: str) -> int:
        """Return a hash of what is known of a kind, the same on hosts that agree."""
        if kind == names.KIND_CONFIG:
            return self._version
        return self._mirrors[kind].fingerprint

    @property
    def _version(self) -> int:
        table = self._tables.routes
        return 0 if table is None else table.version

    def _apply_copy(self, copied: dict[str, Listing]) -> None:
        """Apply the kinds of a peer's copy that are newer than this host's."""
        for kind, listing in copied.items():
            mirror = self._mirrors.get(kind)
            if mirror is not None and listing.position > mirror.position:
                self._log(
                    "store copy applied",
                    kind=kind,
                    revision=listing.revision,
                    era=listing.era,
                )
                self._apply_listing(kind, listing, "peer")
            elif kind == names.KIND_CONFIG:
                # A restored store may hold an older configuration than its peers.
                for stored in listing.objects:
                    self._apply_configuration(stored, "peer")
        if self._evacuations is not None and names.KIND_EVACUATIONS not in copied:
            # A peer of an earlier build does not read evacuations.
            self._evacuations.assume_none()

    def _decode_each(
        self,
        kind: str,
        objects: Iterable[PlatformObject],
        decode: Callable[[PlatformObject], Result[T, Finding]],
    ) -> dict[str, T]:
        """Return by name the objects that can be decoded; report the others."""
        values: dict[str, T] = {}
        for stored in objects:
            place = f"{kind}/{stored.name}"
            try:
                decoded = decode(stored)
            except Exception as error:
                # One entry must not keep the host from all others.
                decoded = Err(malformed_finding("entry.unreadable", place, error))
            if isinstance(decoded, Err):
                self._report_finding(place, decoded.err_value)
            else:
                self._reported.pop(place, None)
                values[stored.name] = decoded.ok_value
        return values

    def _report_finding(self, place: str, finding: Finding) -> None:
        """Log a finding unless it is the latest one that was logged for its place."""
        if self._reported.get(place) == finding:
            return
        self._reported[place] = finding
        if len(self._reported) > MAX_REPORTED_FINDINGS:
            del self._reported[next(iter(self._reported))]
        self._log_finding(finding)

    def _log_finding(self, finding: Finding) -> None:
        self._log(
            "entry ignored",
            code=finding.code,
            place=str(finding.place),
            error=finding.message,
        )
