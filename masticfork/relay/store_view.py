"""Takes what the store and the peers tell into the tables."""

import json
from collections.abc import Callable
from typing import TypeVar

from result import Err, Result

from masticfork.core.backend_servers import Address
from masticfork.core.digests import Digest
from masticfork.core.findings import Finding
from masticfork.platform import names
from masticfork.platform.objects import Changes, Listing
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

# Kinds of which each host keeps a copy for its peers.
MIRRORED = (names.KIND_CONFIG, names.KIND_SERVERS, names.KIND_ROLLOUTS)
# Time in seconds after the last failure of the store for which entries that vanish are
# taken as lapsed: living servers are back within two seconds of its return.
STORE_TROUBLE = 3.0

T = TypeVar("T")


class StoreView:
    """Follows the store through followers, and through peers while it fails."""

    def __init__(
        self,
        loop: Loop,
        tables: Tables,
        peers: Peers,
        metrics: RelayMetrics,
        log: Callable[..., None],
    ) -> None:
        self._loop = loop
        self._tables = tables
        self._peers = peers
        self._metrics = metrics
        self._log = log
        self._mirrors = {kind: KindMirror() for kind in MIRRORED}
        self._failed_at = float("-inf")
        self._failing: set[str] = set()

    @property
    def servers_revision(self) -> int:
        """Return the store's revision up to which the servers are known."""
        return self._mirrors[names.KIND_SERVERS].revision

    def copy_page(self, path: bytes) -> tuple[int, bytes]:
        """Return the page from which peers copy the store."""
        if not self._tables.complete:
            return 503, b""
        return 200, json.dumps(to_json(self._mirrors)).encode()

    def run(self, now: float) -> None:
        """Copy from a peer what the store does not tell this host."""
        if self._failing:
            self._peers.copy_from_newest(self._knows_more, self._take_copy)

    # The followers call these.

    def on_listing(self, kind: str, listing: Listing) -> None:
        """Take all objects of a kind."""
        self._regain(kind)
        if kind == names.KIND_HOSTS:
            self._take_hosts(listing)
        elif listing.revision >= self._mirrors[kind].revision:
            self._take_listing(kind, listing)

    def on_changes(self, kind: str, changes: Changes) -> None:
        """Take changes of a kind."""
        self._regain(kind)
        for change in self._mirrors[kind].take_changes(changes):
            found = change.object
            if kind == names.KIND_CONFIG and not change.deleted:
                self._take_configuration(found.name, found.spec, "store")
            elif kind == names.KIND_SERVERS and change.deleted:
                self._tables.remove_server(found.name, lenient=self._in_trouble)
            elif kind == names.KIND_SERVERS:
                for server in self._readable([decode_server(found)]):
                    self._tables.put_server(server)
            elif kind == names.KIND_ROLLOUTS and change.deleted:
                self._tables.remove_rollout(found.name)
            elif kind == names.KIND_ROLLOUTS:
                for rollout in self._readable([decode_rollout(found)]):
                    self._tables.put_rollout(rollout)

    def on_store_failure(self, kind: str, error: PlatformError) -> None:
        """Take the failure of a call to the store."""
        self._failed_at = self._loop.now
        self._metrics.store_failures.labels(kind, error.kind.value).inc()
        if kind not in self._failing:
            self._failing.add(kind)
            self._log("store lost", kind=kind, error=error.message)

    @property
    def _in_trouble(self) -> bool:
        return self._loop.now - self._failed_at < STORE_TROUBLE

    def _regain(self, kind: str) -> None:
        if kind in self._failing:
            self._failing.discard(kind)
            self._log("store regained", kind=kind)

    def _take_listing(self, kind: str, listing: Listing, source: str = "store") -> None:
        self._mirrors[kind].take_listing(listing)
        objects = listing.objects
        if kind == names.KIND_CONFIG:
            for found in objects:
                self._take_configuration(found.name, found.spec, source)
        elif kind == names.KIND_SERVERS:
            servers = self._readable([decode_server(found) for found in objects])
            self._tables.list_servers(servers, lenient=self._in_trouble)
        elif kind == names.KIND_ROLLOUTS:
            rollouts = self._readable([decode_rollout(found) for found in objects])
            self._tables.list_rollouts(rollouts)

    def _take_configuration(self, name: str, spec: object, source: str) -> None:
        if name != names.CONFIG_NAME:
            return
        for table in self._readable([decode_route_table(spec)]):
            if self._tables.adopt_routes(table, source):
                self._metrics.version.set(table.version)

    def _take_hosts(self, listing: Listing) -> None:
        addresses: dict[str, Address] = {}
        for found in listing.objects:
            for address in self._readable([decode_host(found)]):
                addresses[found.name] = address
        self._peers.set_hosts(addresses)

    # Peers.

    def _knows_more(self, digest: Digest) -> bool:
        table = self._tables.routes
        version = 0 if table is None else table.version
        lost_servers = names.KIND_SERVERS in self._failing
        newer_servers = lost_servers and digest.servers > self.servers_revision
        return digest.configuration > version or newer_servers

    def _take_copy(self, copied: dict[str, Listing]) -> None:
        """Take from a peer's copy what is newer than what this host knows."""
        for kind, listing in copied.items():
            mirror = self._mirrors.get(kind)
            if mirror is not None and listing.revision > mirror.revision:
                self._log("copy taken", kind=kind, revision=listing.revision)
                self._take_listing(kind, listing, "peer")

    def _readable(self, decoded: list[Result[T, Finding]]) -> list[T]:
        """Return what could be decoded; log the findings of the rest."""
        for row in decoded:
            if isinstance(row, Err):
                self._report(row.err_value)
        return [row.ok_value for row in decoded if not isinstance(row, Err)]

    def _report(self, finding: Finding) -> None:
        self._log(
            "entry ignored",
            code=finding.code,
            place=str(finding.place),
            error=finding.message,
        )
