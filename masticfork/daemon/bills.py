"""Keep bills at the platform and at peers in other availability zones."""

import threading
import zlib
from collections.abc import Callable
from concurrent.futures import Executor, Future

from result import Err

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

KEEP_SECONDS = 1.0
RECOVER_SECONDS = 2.0


class NotKeptError(Exception):
    """No peer holds the bills."""


class PeerBillKeeper:
    """Asks a peer in another availability zone to hold bills."""

    def __init__(self, tables: Tables, now: Callable[[], float]) -> None:
        self._tables = tables
        self._now = now
        self._link: PeerLink | None = None

    def use(self, link: PeerLink) -> None:
        """Ask over this link from now on."""
        self._link = link

    def keep(self, batch_key: str, bills: tuple[Bill, ...]) -> "Future[None]":
        """Return a future that fails where no peer holds the bills."""
        kept: Future[None] = Future()
        host = self._keeper_of(batch_key)
        if host is None or self._link is None:
            kept.set_exception(NotKeptError("no peer in another zone"))
            return kept
        message = KeepBills(batch_key, zlib.compress(encode_bills(bills)))
        deadline = Deadline.after(self._now(), KEEP_SECONDS)
        reply = self._link.request(host, message, deadline)
        reply.add_done_callback(lambda done: _settle(kept, done))
        return kept

    def forget(self, batch_key: str) -> None:
        """Let the peers forget a batch that is written."""
        if self._link is not None:
            # The peer that holds it may have been chosen when others were alive.
            self._link.broadcast(BillsWritten(batch_key))

    def _keeper_of(self, batch_key: str) -> HostName | None:
        if self._link is None:
            return None
        linked = self._link.linked
        fit = [
            row.host
            for row in list(self._tables.hosts.values())
            if row.host in linked and self._may_keep(row)
        ]
        return max(fit, key=lambda host: digest(batch_key, host), default=None)

    def _may_keep(self, row: HostRow) -> bool:
        other_zone = row.zone != self._tables.me.zone
        return other_zone and row.state is HostState.ALIVE and not row.leaving


class BillService:
    """The writer of this host's bills and the holder of other hosts' bills."""

    def __init__(
        self,
        store: ObjectStore,
        tables: Tables,
        background: Executor,
        write_interval_seconds: float,
        now: Callable[[], float],
    ) -> None:
        self.keeper = PeerBillKeeper(tables, now)
        self.writer = BillWriter(
            store, tables.me.host, now, write_interval_seconds, self.keeper
        )
        self._held = HeldBills(store, now)
        self._background = background
        self._incarnations: dict[HostName, int] = {}
        self._next_recovery = Deadline(0.0)
        self._thread = threading.Thread(target=self.writer.run, name="bills")
        self._thread.daemon = True

    def start(self) -> None:
        """Write in the background."""
        self._thread.start()

    def flush(self, deadline: Deadline) -> None:
        """Write all own bills, and those that are held for others."""
        self.writer.flush(deadline)
        for finding in self._held.recover_all():
            log_finding(finding)

    def stop(self) -> None:
        """End the writer's thread."""
        self.writer.stop()
        self._thread.join()

    def on_keep(self, sender: Sender, body: KeepBills) -> Body:
        """Hold bills for another host."""
        content = _decompressed(body.bills)
        bills = decode_bills(content)
        if isinstance(bills, Err):
            return KeepBillsAck(body.batch_id, False)
        self._incarnations[sender.host] = sender.incarnation
        kept = self._held.keep(sender.host, body.batch_id, bills.ok_value)
        return KeepBillsAck(body.batch_id, kept)

    def on_written(self, sender: Sender, body: BillsWritten) -> None:
        """Forget bills that their host has written."""
        self._held.forget(sender.host, body.batch_id)

    def run(self, tables: Tables, now: float) -> Findings:
        """Write what is held for hosts that died, left or were replaced."""
        if self._next_recovery.expired(now):
            self._next_recovery = Deadline.after(now, RECOVER_SECONDS)
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
        for finding in self._held.recover(host):
            log_finding(finding)


def _decompressed(data: bytes) -> bytes:
    """Return the bills' text, or nothing where it is malformed or too long."""
    parser = zlib.decompressobj()
    try:
        content = parser.decompress(data, MAX_BATCH_BYTES)
    except zlib.error:
        return b""
    return content if parser.eof else b""


def _settle(kept: "Future[None]", done: "Future[Reply]") -> None:
    reply = done.result()
    acknowledged = not isinstance(reply, Err) and reply.ok_value
    if isinstance(acknowledged, KeepBillsAck) and acknowledged.kept:
        kept.set_result(None)
    else:
        kept.set_exception(NotKeptError("the peer does not hold the bills"))
