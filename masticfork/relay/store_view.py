"""Updates of the tables from the store, or from peers while the store fails."""

import json
from collections.abc import Callable
from typing import TypeVar

from result import Err, Result

from masticfork.core.backend_servers import Address
from masticfork.core.digests import Digest
from masticfork.core.findings import Finding
from masticfork.core.store_position import StorePosition
from masticfork.platform import names
from masticfork.platform.objects import Changes, Listing, PlatformObject
from masticfork.platform.route_format import decode_route_table
from masticfork.platform.server_format import (
    decode_host,
    decode_rollout,
    decode_server,
)
from masticfork.relay.loop import Loop
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.mirror import KindMirror, to_json
from masticfork.relay.peers import Peers
from masticfork.relay.tables import Tables
from masticfork.store.client import PlatformError

# Kinds that each host mirrors, so that peers can copy them.
MIRRORED_KINDS = (names.KIND_CONFIG, names.KIND_SERVERS, names.KIND_ROLLOUTS)
# Time after the last failure of the store during which a missing server entry may just
# have expired: entries of live servers are back within 2 s of the store's recovery.
STORE_RECOVERY_SECONDS = 3.0

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
    ) -> None:
        self._loop = loop
        self._tables = tables
        self._peers = peers
        self._metrics = metrics
        self._log = log
        # Called when the store has come back from an older copy.
        self._on_restored = on_restored
        self._mirrors = {kind: KindMirror() for kind in MIRRORED_KINDS}
        self._failed_at = float("-inf")
        self._failing: set[str] = set()
        self._era = 0
        # The object of the configuration in force. A restored store may hold an older
        # one, which peers are not to copy.
        self._configuration: PlatformObject | None = None

    @property
    def servers_position(self) -> StorePosition:
        """Return the position of the store up to which the servers are known."""
        return self._mirrors[names.KIND_SERVERS].position

    def copy_page(self, path: bytes) -> tuple[int, bytes]:
        """Return the HTTP status and JSON body from which peers copy the store."""
        if not self._tables.complete:
            return 503, b""
        return 200, json.dumps(to_json(self._mirrors)).encode()

    def run(self, now: float) -> None:
        """Request a copy from a peer while calls to the store fail."""
        if self._failing:
            self._peers.copy_from_newest(self._is_ahead, self._apply_copy)

    # Called by the followers.

    def on_listing(self, kind: str, listing: Listing) -> None:
        """Apply a listing of all objects of a kind."""
        self._record_recovery(kind)
        if kind == names.KIND_HOSTS:
            self._apply_hosts(listing)
        elif listing.position >= self._mirrors[kind].position:
            self._apply_listing(kind, listing)

    def on_changes(self, kind: str, changes: Changes) -> None:
        """Apply changes to objects of a kind."""
        self._record_recovery(kind)
        for change in self._mirrors[kind].apply_changes(changes):
            stored = change.object
            if kind == names.KIND_CONFIG and not change.deleted:
                self._apply_configuration(stored, "store")
            elif kind == names.KIND_SERVERS and change.deleted:
                self._tables.remove_server(
                    stored.name, with_grace=self._failed_recently
                )
            elif kind == names.KIND_SERVERS:
                for server in self._valid([decode_server(stored)]):
                    self._tables.put_server(server)
            elif kind == names.KIND_ROLLOUTS and change.deleted:
                self._tables.remove_rollout(stored.name)
            elif kind == names.KIND_ROLLOUTS:
                for rollout in self._valid([decode_rollout(stored, changes.era)]):
                    self._tables.put_rollout(rollout)
        self._mirror_configuration()

    def on_store_failure(self, kind: str, error: PlatformError) -> None:
        """Record the failure of a call to the store."""
        self._failed_at = self._loop.now
        self._metrics.store_failures.labels(kind, error.kind.value).inc()
        if kind not in self._failing:
            self._failing.add(kind)
            self._log("store lost", kind=kind, error=error.message)

    @property
    def _failed_recently(self) -> bool:
        return self._loop.now - self._failed_at < STORE_RECOVERY_SECONDS

    def _record_recovery(self, kind: str) -> None:
        if kind in self._failing:
            self._failing.discard(kind)
            self._log("store regained", kind=kind)

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
            self._mirror_configuration()
        elif kind == names.KIND_SERVERS:
            servers = self._valid([decode_server(stored) for stored in objects])
            grace = self._failed_recently or restored
            self._tables.list_servers(servers, grace, restored)
        elif kind == names.KIND_ROLLOUTS:
            rollouts = self._valid(
                [decode_rollout(stored, listing.era) for stored in objects]
            )
            self._tables.list_rollouts(rollouts, restored)

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
            self._failed_at = self._loop.now
            self._log("store restored from an older copy", era=era, before=before)
            self._metrics.store_restorations.inc()
            self._on_restored()

    def _apply_configuration(self, stored: PlatformObject, source: str) -> None:
        if stored.name != names.CONFIG_NAME:
            return
        for table in self._valid([decode_route_table(stored.spec)]):
            if self._tables.adopt_routes(table, source):
                self._configuration = stored
                self._metrics.version.set(table.version)

    def _apply_hosts(self, listing: Listing) -> None:
        addresses: dict[str, Address] = {}
        for stored in listing.objects:
            for address in self._valid([decode_host(stored)]):
                addresses[stored.name] = address
        self._peers.set_hosts(addresses)

    # Callbacks for `Peers`.

    def _is_ahead(self, digest: Digest) -> bool:
        table = self._tables.routes
        version = 0 if table is None else table.version
        lost_servers = names.KIND_SERVERS in self._failing
        newer_servers = lost_servers and digest.servers > self.servers_position
        return digest.configuration > version or newer_servers

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

    def _valid(self, decoded: list[Result[T, Finding]]) -> list[T]:
        """Return the decoded values; log the findings of those that failed."""
        for outcome in decoded:
            if isinstance(outcome, Err):
                self._log_finding(outcome.err_value)
        return [outcome.ok_value for outcome in decoded if not isinstance(outcome, Err)]

    def _log_finding(self, finding: Finding) -> None:
        self._log(
            "entry ignored",
            code=finding.code,
            place=str(finding.place),
            error=finding.message,
        )
