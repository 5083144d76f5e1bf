"""Callers' answers from servers that double, delay, cut and spoil their responses.

The exchange, calls, connection pools and response reader are real; connections and
servers are simulated, at random but the same for each seed.
"""

import collections
import random

import pytest

from masticfork.core.forwarding import CallerRequest
from masticfork.core.routes import RouteKind
from masticfork.platform import wire
from masticfork.relay import server_call
from masticfork.relay.exchange import Exchange
from masticfork.relay.server_call import ServerCall, ServerConnectionPool
from standins.fake_exchange import FakeCaller, FakeHost
from standins.typed_routes import typed_route

EVENT_COUNT = 4
REQUEST_COUNT = 25
STEPS = 1500
RESET = OSError("reset")

ROUTES = {
    "resumable": typed_route(RouteKind.STREAM, resumable=True),
    "stream": typed_route(RouteKind.STREAM),
    "idempotent": typed_route(RouteKind.IDEMPOTENT),
    "once": typed_route(RouteKind.NON_IDEMPOTENT, max_attempts=1),
}
FAULTS = [
    "cut",
    "doubled",
    "late",
    "late refusal",
    "garbage",
    "other id",
    "unsigned",
    "gap",
    "repeated event",
    "foreign event",
    "error",
    "refused",
    "503 without proof",
    "silent",
    "crash",
]
STATUSES = {"error": 500, "refused": 503, "503 without proof": 503}
# With these, bytes that a caller cannot tell from its answer may follow it.
NEEDS_FRAMING = ("doubled", "late", "late refusal")


def event(attempt_id, number):
    return f"id: {number}\ndata: {attempt_id} {number}\n\n".encode()


def chunked(parts):
    chunks = (b"%x\r\n%b\r\n" % (len(part), part) for part in parts if part)
    return b"".join(chunks) + b"0\r\n\r\n"


class SimulatedChannel:
    """A connection whose server writes to `inbox`; `end` is None while it is open."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.owner = None
        self.closed = False
        self.connected = False
        self.unsent_bytes = 0
        self.outbox = b""
        self.inbox = b""
        self.end = None
        # Second responses that the server has still to send.
        self.late = []

    def write(self, data):
        if self.connected:
            self.simulation.serve(self, data)
        else:
            self.outbox += data

    def connect(self):
        self.connected = True
        self.owner.on_connected()
        if self.outbox and not self.closed:
            data, self.outbox = self.outbox, b""
            self.simulation.serve(self, data)

    def receive(self, size):
        data, self.inbox = self.inbox[:size], self.inbox[size:]
        self.owner.on_data(data)

    def break_off(self, error):
        owner = self.owner
        self.close()
        if owner is not None:
            owner.on_closed(error)

    def close(self):
        self.closed, self.owner = True, None

    def has_no_pending_input(self):
        return not self.inbox and self.end is None

    def pause(self):
        """Do nothing: the simulated callers never read slowly."""

    resume = pause


class RecordingCaller(FakeCaller):
    """A caller that tells complete responses from broken ones."""

    def __init__(self):
        super().__init__()
        self.complete = None
        self.is_own_error = False

    def end_response(self):
        super().end_response()
        self.complete = True

    def abort_response(self):
        super().abort_response()
        self.complete = False

    def send_error(self, status, headers):
        super().send_error(status, headers)
        self.is_own_error = True


class SimulatedHost(FakeHost):
    def __init__(self, rng):
        super().__init__()
        self._rng = rng
        self._pools = {}

    def choose_server(self, service, work, session, tried_servers, alone):
        untried = [row for row in self._rows if row.server.id not in tried_servers]
        return self._rng.choice(untried) if untried else None

    def take_retry(self, service, reserved_share):
        return self._rng.random() < 0.9

    def open_call(self, row, sink, request, call):
        pool = self._pools.setdefault(
            row.server.id,
            ServerConnectionPool(self.loop, row.server, lambda *_, **__: None),
        )
        decode = wire.decode_response_head
        server_call_ = ServerCall(self.loop, pool, decode, sink, False)
        data = wire.encode_request_head(request, call) + request.body
        server_call_.start(data, not sink.route.retryable)
        return server_call_


class Simulation:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.host = SimulatedHost(self.rng)
        self.fault_share = self.rng.choice([0.2, 0.6, 0.9])
        self.channels = []
        self.exchanges = []
        self.runs = collections.Counter()
        self.responses = collections.defaultdict(list)

    def connect(self, loop, address):
        if self.rng.random() < 0.03:
            raise OSError("refused")
        self.channels.append(SimulatedChannel(self))
        return self.channels[-1]

    # Servers.

    def serve(self, channel, data):
        """Let the server at the other end answer a request, or fail."""
        rng = self.rng
        lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        headers = dict(line.split(b": ", 1) for line in lines)
        attempt_id = headers[b"x-masticfork-attempt-id"].decode()
        fault = rng.choice(FAULTS) if rng.random() < self.fault_share else None
        if fault != "refused":
            self.runs[attempt_id] += 1
        if fault == "silent":
            return
        if fault == "crash":
            channel.end = RESET
            return
        status = STATUSES.get(fault, 200)
        parts = self.body_parts(attempt_id, headers, fault, status)
        self.responses[attempt_id].append((status, b"".join(parts)))
        framings = ["length", "chunked"]
        if fault not in NEEDS_FRAMING:
            framings.append("none")
        framing = rng.choice(framings)
        response = self.encode(attempt_id, status, parts, framing, fault)
        if framing == "none" and channel.late:
            # The second response to an earlier request falls into this one.
            at = rng.choice([len(response), response.find(b"\r\n\r\n") + 4])
            response = response[:at] + channel.late.pop() + response[at:]
        if fault == "cut":
            response = response[: rng.randrange(len(response))]
        elif fault == "garbage":
            response = rng.randbytes(rng.randrange(1, 30)) + response[9:]
        elif fault == "doubled":
            response += response[: rng.choice([len(response), rng.randrange(99)])]
        elif fault == "late":
            channel.late.append(response)
        elif fault == "late refusal":
            refusal = self.encode(attempt_id, 503, [], "length", "refused")
            channel.late.append(refusal)
        channel.inbox += response
        if fault in ("cut", "garbage"):
            channel.end = RESET
        elif framing == "none":
            channel.end = "closed"

    def body_parts(self, attempt_id, headers, fault, status):
        if status != 200:
            return [b"why"]
        if not attempt_id.startswith(("resumable", "stream")):
            return [f"<{attempt_id} {self.rng.randrange(10**6)}>".encode()]
        first = int(headers.get(b"last-event-id", b"0")) + 1
        events = [event(attempt_id, n) for n in range(first, EVENT_COUNT + 1)]
        if events:
            at = self.rng.randrange(len(events))
            if fault == "gap":
                # The last event stays: without it the run would be a shorter one.
                del events[: min(at, len(events) - 1)]
            elif fault == "repeated event":
                events.insert(at, events[-1])
            elif fault == "foreign event":
                foreign = [b"data: other\n\n", event("other", 99)]
                events.insert(at, self.rng.choice(foreign))
        return events

    def encode(self, attempt_id, status, parts, framing, fault):
        lines = [f"HTTP/1.1 {status} X"]
        if fault == "other id":
            attempt_id = self.rng.choice(list(self.responses)) + "0"
        lines.append(f"X-Masticfork-Attempt-Id: {attempt_id}")
        if fault == "refused":
            lines.append("X-Masticfork-Not-Executed: 1")
        elif fault != "unsigned":
            lines.append("X-Masticfork-Server-Stamp: s1")
        if framing == "length":
            lines.append(f"Content-Length: {len(b''.join(parts))}")
        elif framing == "chunked":
            lines.append("Transfer-Encoding: chunked")
        body = chunked(parts) if framing == "chunked" else b"".join(parts)
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    # The course of a simulation.

    def run(self):
        for _ in range(STEPS):
            self.step()
        for _ in range(20):
            self.host.loop.advance(0.5)

    def step(self):
        rng, dice = self.rng, self.rng.random()
        open_channels = [channel for channel in self.channels if not channel.closed]
        if dice < 0.06 and len(self.exchanges) < REQUEST_COUNT:
            self.send_request()
        elif dice < 0.2:
            self.host.loop.advance(rng.choice([0, 0, 0, 0.01, 0.1, 0.4]))
        elif open_channels:
            self.step_channel(rng.choice(open_channels))

    def step_channel(self, channel):
        if not channel.connected:
            if self.rng.random() < 0.05:
                channel.break_off(RESET)
            else:
                channel.connect()
        elif channel.inbox:
            channel.receive(self.rng.choice([1, 3, 10, 50, len(channel.inbox)]))
        elif channel.late and self.rng.random() < 0.3:
            channel.inbox += channel.late.pop()
        elif channel.end is not None:
            channel.break_off(None if channel.end == "closed" else channel.end)

    def send_request(self):
        kind = self.rng.choice(list(ROUTES))
        attempt_id = f"{kind}-{len(self.exchanges)}-".encode()
        headers = [(b"x-masticfork-attempt-id", attempt_id), (b"host", b"a.example")]
        if kind == "resumable" and self.rng.random() < 0.3:
            headers.append((b"last-event-id", b"2"))
        head, now = wire.decode_caller_head(headers, False), self.host.loop.now
        exchange = Exchange(
            host=self.host,
            caller=RecordingCaller(),
            request=CallerRequest(b"POST", b"/x", "a.example", head, b"", now),
            route=ROUTES[kind],
            service="s",
            team=None,
            priority=1,
            deadline=now + 2.0,
        )
        self.exchanges.append(exchange)
        exchange.start()


@pytest.fixture(params=range(300))
def simulation(request, monkeypatch):
    simulation = Simulation(request.param)
    monkeypatch.setattr(server_call, "connect", simulation.connect)
    simulation.run()
    return simulation


class TestStutteringServers:
    def test_each_caller_gets_its_own_whole_answer_or_a_failure(self, simulation):
        """Guards against parts of other responses in an answer (MIXED, ORDER)."""
        for exchange in simulation.exchanges:
            caller, attempt_id = exchange.caller, exchange.attempt_id
            assert caller.final_responses == 1
            if caller.is_own_error:
                continue
            if exchange.route.kind is not RouteKind.STREAM or caller.status != 200:
                responses = simulation.responses[attempt_id]
                assert (caller.status, caller.body) in responses
                continue
            first = (exchange.request.head.last_event_id or 0) + 1
            events = [event(attempt_id, n) for n in range(first, EVENT_COUNT + 1)]
            assert caller.body in [b"".join(events[:n]) for n in range(len(events) + 1)]
            assert not caller.complete or caller.body == b"".join(events)

    def test_requests_that_may_run_once_do_and_refused_ones_do_not(self, simulation):
        """Guards against repeated runs and false refusals (TWICE, REFUSED)."""
        for exchange in simulation.exchanges:
            if not exchange.route.retryable:
                runs = simulation.runs[exchange.attempt_id]
                refused = exchange.caller.is_own_error and exchange.caller.status == 503
                assert runs <= (0 if refused else 1)
