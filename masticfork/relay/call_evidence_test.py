"""What responses tell of the servers that calls were sent to."""

import attrs
import pytest

from masticfork.core.backend_servers import Address, BackendServer
from masticfork.core.request_identity import RequestIdentity
from masticfork.relay.call_evidence import CallEvidence
from masticfork.relay.exchange import CallRecord
from masticfork.relay.metrics import RelayMetrics
from masticfork.relay.own_loads import OwnLoads
from masticfork.relay.paced_servers import PacedServers
from masticfork.relay.request_quarantine import RequestQuarantine
from masticfork.relay.rollout_controller import RolloutController
from masticfork.relay.server_trials import ServerTrials
from masticfork.relay.tables import Tables
from masticfork.relay.uneven_servers import UnevenServers
from masticfork.systems.exposure import ExposureLimit
from masticfork.systems.failed_calls import CallOutcome
from masticfork.systems.server_choice import Work
from standins.fake_exchange import caller_request, response_head
from standins.fake_loop import FakeLoop, SynchronousExecutor


def ignore(*args, **fields):
    pass


class Calls:
    """Calls of one host to one server, and what it takes from them."""

    def __init__(self):
        self.loop = FakeLoop(100.0)
        self.tables = Tables(self.loop, ignore)
        address = Address("127.0.0.1", 1000)
        server = BackendServer("i-1", "s", address, "zone-a", "v1", 6, False)
        self.tables.put_server(server)
        self.quarantine = RequestQuarantine(
            self.loop, RelayMetrics(), ignore, lambda key: False, ignore
        )
        metrics = RelayMetrics()
        self.trials = ServerTrials(self.loop, self.tables, metrics, ignore, ignore)
        self.evidence = CallEvidence(
            self.loop,
            self.tables,
            RelayMetrics(),
            OwnLoads(self.tables, ignore),
            RolloutController(
                self.loop,
                None,
                self.tables,
                "host-1",
                ignore,
                lambda *_: [],
                ExposureLimit(0.15, 30.0),
                lambda: 4,
                SynchronousExecutor(),
            ),
            self.quarantine,
            self.trials,
            PacedServers(self.loop, self.tables, metrics, ignore),
            UnevenServers(self.loop, self.tables, metrics, ignore),
            ignore,
        )

    def identity(self, body):
        return RequestIdentity("s", attrs.evolve(caller_request(), body=body))

    def send(self, body):
        """Send a call; return its record."""
        row = self.tables.row("i-1")
        record = CallRecord(
            row, Work("s"), 0.0, self.loop.now, 0.02, self.identity(body)
        )
        self.evidence.on_call_sent(record)
        return record

    def lose(self, body):
        """Lose a call with the connection of its server."""
        record = self.send(body)
        self.loop.advance(0.1)
        record.connection_lost, record.failed = True, True
        record.outcome = CallOutcome.BROKEN
        # Another server was reached just now, so none is tried.
        self.trials.record_reached()
        self.evidence.on_call_ended(record)

    def is_suspected(self, body):
        return self.quarantine.is_suspected(self.identity(body))


@pytest.fixture()
def calls():
    return Calls()


class TestSignsOfLife:
    def test_answer_shows_that_the_server_has_not_crashed(self, calls):
        calls.lose(b"lost")
        assert calls.is_suspected(b"lost")
        calls.loop.advance(0.1)
        calls.evidence.on_response_started(calls.send(b"other"), response_head())
        assert not calls.is_suspected(b"lost")

    def test_server_that_has_taken_the_address_tells_nothing_of_it(self, calls):
        """Guards against a crash that its successor's refusals hide."""
        calls.lose(b"lost")
        calls.loop.advance(0.5)
        misdirected = response_head(status=421, not_run=True, misdirected=True)
        calls.evidence.on_response_started(calls.send(b"other"), misdirected)
        assert calls.is_suspected(b"lost")
