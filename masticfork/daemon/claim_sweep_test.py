import random

from masticfork.core.deadlines import Deadline
from masticfork.core.ids import AttemptId, HostName, TeamName, ZoneName
from masticfork.core.tables import SelfRow, Tables
from masticfork.daemon.claim_sweep import ClaimSweeper
from masticfork.daemon.duties import DutyLeases
from masticfork.ledger.claims import ClaimRegistry
from masticfork.ledger.leases import LeaseManager
from masticfork.store.embedded import EmbeddedStore

HOST = HostName("entry-1")
RETENTION_SECONDS = 100.0


class TestClaimSweeper:
    def test_deletes_expired_claims_only(self):
        clock = [1000.0]
        store = EmbeddedStore(lambda: clock[0])
        claim_book = ClaimRegistry(store, HOST, lambda: clock[0], RETENTION_SECONDS)
        for key in ("old", "new"):
            deadline = Deadline(clock[0] + 10.0)
            attempt = AttemptId(f"try-{random.Random(key).random()}")
            claim_book.claim(TeamName("t"), key, "body", attempt, deadline).unwrap()
            clock[0] += RETENTION_SECONDS / 2
        tables = Tables(SelfRow(HOST, ZoneName("z")))
        manager = LeaseManager(store, HOST, lambda: clock[0])
        clock[0] += 1.0
        ClaimSweeper(store, DutyLeases(manager, tables), lambda: clock[0]).step()
        remaining = store.list("claims/", Deadline(clock[0] + 1.0)).unwrap().items
        assert len(remaining) == 1
