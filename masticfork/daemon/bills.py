"""Store bills at the platform and replicate them to peers in other zones."""

import threading
import zlib
from collections.abc import Callable
from concurrent.futures import Executor, Future

from result import Err

from masticfork.core.compression import decompress_bounded
from masticfork.core.deadlines import Deadline
from masticfork.core.findings import Findings
from masticfork.core.hosts import HostState
from masticfork.core.ids import HostName, digest
from masticfork.core.tables import HostRow, Tables
from masticfork.daemon.ticker import log_finding
from masticfork.ledger.bill_records import Bill, decode_bills, encode_bills
from masticfork.ledger.bills import MAX_BATCH_BYTES, BillWriter
from masticfork.ledger.held_bills import HeldBills
from masticfork.peers.link import PeerLink
from masticfork.peers.messages import BillsWritten, Body, KeepBills, KeepBillsAck
from masticfork.peers.records import Sender
from masticfork.peers.requests import Reply
from masticfork.store.client import ObjectStore

KEEP_TIMEOUT_SECONDS = 1.0
RECOVERY_INTERVAL_SECONDS = 2.0


class NotKeptError(Exception):
    """No peer holds a copy of the bills."""


class PeerBillReplicator:
    """Replicates bills to a peer in another availability zone."""

    def __init__(self, tables: Tables, now: Callable[[], float]) -> None:
        self._tables = tables
        self._now = now
        self._link: PeerLink | None = None

    def attach(self, link: PeerLink) -> None:
        """Set the link to the peers."""
        self._link = link

    def replicate(self, batch_key: str, bills: tuple[Bill, ...]) -> "Future[None]":
        """Send bills to a peer; the future fails if no peer holds a copy."""
        kept: Future[None] = Future()
        host = self._choose_peer(batch_key)
        if host is None or self._link is None:
            kept.set_exception(
                NotKeptError("no live peer in another availability zone")
            )
            return kept
        message = KeepBills(batch_key, zlib.compress(encode_bills(bills)))
        deadline = Deadline.after(self._now(), KEEP_TIMEOUT_SECONDS)
        reply = self._link.request(host, message, deadline)
        reply.add_done_callback(lambda reply_future: _resolve(kept, reply_future))
        return kept

    def drop_replicas(self, batch_key: str) -> None:
        """Tell the peers to drop their copy of a batch that is stored."""
        if self._link is not None:
            # Sent to all peers: the set of live hosts, and with it the chosen peer, may
            # have changed since the batch was sent.
            self._link.broadcast(BillsWritten(batch_key))

    def _choose_peer(self, batch_key: str) -> HostName | None:
        if self._link is None:
            return None
        linked = self._link.linked
        candidates = [
            row.host
            for row in list(self._tables.hosts.values())
            if row.host in linked and self._is_eligible(row)
        ]
        return max(candidates, key=lambda host: digest(batch_key, host), default=None)

    def _is_eligible(self, row: HostRow) -> bool:
        other_zone = row.zone != self._tables.me.zone
        return other_zone and row.state is HostState.ALIVE and not row.leaving


class BillService:
    """Writes this host's bills and holds copies of other hosts' bills."""

    def __init__(
        self,
        store: ObjectStore,
        tables: Tables,
        background: Executor,
        write_interval_seconds: float,
        now: Callable[[], float],
    ) -> None:
        self.replicator = PeerBillReplicator(tables, now)
        self.writer = BillWriter(
            store, tables.me.host, now, write_interval_seconds, self.replicator
        )
        self._held_bills = HeldBills(store, now)
        self._background = background
        self._incarnations: dict[HostName, int] = {}
        self._next_recovery = Deadline(0.0)
        self._thread = threading.Thread(target=self.writer.run, name="bills")
        self._thread.daemon = True

    def start(self) -> None:
        """Start the writer's thread."""
        self._thread.start()

    def flush(self, deadline: Deadline) -> None:
        """Write this host's own bills and all copies held for other hosts."""
        self.writer.flush(deadline)
        for finding in self._held_bills.recover_all():
            log_finding(finding)

    def stop(self) -> None:
        """Stop the writer's thread and wait for it to end."""
        self.writer.stop()
        self._thread.join()

    def on_keep(self, sender: Sender, body: KeepBills) -> Body:
        """Hold a copy of another host's bills; acknowledge whether it is held."""
        content = _decompress(body.bills)
        bills = decode_bills(content)
        if isinstance(bills, Err):
            return KeepBillsAck(body.batch_id, False)
        self._incarnations[sender.host] = sender.incarnation
        kept = self._held_bills.add(sender.host, body.batch_id, bills.ok_value)
        return KeepBillsAck(body.batch_id, kept)

    def on_written(self, sender: Sender, body: BillsWritten) -> None:
        """Drop the copy of a batch that its host has stored."""
        self._held_bills.drop(sender.host, body.batch_id)

    def run(self, tables: Tables, now: float) -> Findings:
        """Write the bills held for hosts that are dead, gone or restarted."""
        if self._next_recovery.expired(now):
            self._next_recovery = Deadline.after(now, RECOVERY_INTERVAL_SECONDS)
            for host in self._lost_hosts(tables):
                self._background.submit(self._recover, host)
        return ()

    def _lost_hosts(self, tables: Tables) -> list[HostName]:
        lost = []
        for host, incarnation in list(self._incarnations.items()):
            row = tables.hosts.get(host)
            alive = row is not None and row.state is not HostState.DEAD
            if row is None or not alive or row.incarnation > incarnation:
                lost.append(host)
        return lost

    def _recover(self, host: HostName) -> None:
        for finding in self._held_bills.recover(host):
            log_finding(finding)


def _decompress(data: bytes) -> bytes:
    """Return the encoded bills, or no bytes if malformed or above the size limit."""
    try:
        return decompress_bounded(data, MAX_BATCH_BYTES)
    except ValueError:
        return b""


def _resolve(kept: "Future[None]", reply_future: "Future[Reply]") -> None:
    reply = reply_future.result()
    acknowledged = not isinstance(reply, Err) and reply.ok_value
    if isinstance(acknowledged, KeepBillsAck) and acknowledged.kept:
        kept.set_result(None)
    else:
        kept.set_exception(
            NotKeptError("the peer did not confirm that it holds the bills")
        )
