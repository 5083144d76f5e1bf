"""Responses of servers that belong to another request."""

import itertools
import time

import pytest

from masticfork.core.routes import RouteKind
from masticfork.relay.exchange import Exchange
from standins.entry_environment import (
    ENGINES,
    SERVICE,
    configuration,
    route,
    running_entry_host,
)
from standins.fake_exchange import FakeCaller, FakeHost, caller_request, response_head
from standins.repeated_refusal import RepeatedRefusal
from standins.scripted_server import response
from standins.typed_routes import typed_route

REQUEST_COUNT = 24


class Stutter:
    """Answers each request, and the one before it once more, ahead of it or late."""

    def __init__(self, ahead, cut_step):
        self.ahead = ahead
        # Bytes by which the place at which the second response is cut moves on.
        self.cut_step = cut_step
        self.numbers = itertools.count()
        self.before = b""

    def __call__(self, request):
        own = response(request, request.attempt_id.encode())
        cut = next(self.numbers) * self.cut_step
        second = self.before if self.ahead else own
        self.before = own
        if not self.ahead:
            yield own
            time.sleep(0.01)
        yield second[:cut]
        time.sleep(0.005)
        yield second[cut:] + (own if self.ahead else b"")


def single_call_exchange(host, caller):
    exchange = Exchange(
        host=host,
        caller=caller,
        request=caller_request(),
        route=typed_route(RouteKind.IDEMPOTENT, max_attempts=1),
        service="s",
        team=None,
        priority=1,
        deadline=2.0,
    )
    exchange.start()
    return exchange


class TestResponsesToOtherRequests:
    @pytest.mark.parametrize("status", [421, 429, 503])
    def test_late_refusal_of_another_request_is_no_proof_of_not_run(self, status):
        """Guards against a late second response that is taken for a refusal."""
        caller = FakeCaller()
        exchange = single_call_exchange(FakeHost(), caller)
        exchange.on_head(response_head(status=status, not_run=True, attempt_id=b"a-2"))
        assert caller.status == 502

    @pytest.mark.parametrize(
        ("head", "own"),
        [
            ({"attempt_id": b"a-2"}, False),
            ({"attempt_id": b""}, False),
            ({"attempt_id": b"a-2", "not_run": True, "status": 503}, False),
            # On a connection that has carried no other request.
            ({"attempt_id": b"", "not_run": True, "status": 503}, True),
            ({}, True),
        ],
    )
    def test_only_own_responses_tell_of_their_server(self, head, own):
        """Guards against a server that looks fast since it answers others late."""
        host = FakeHost()
        exchange = single_call_exchange(host, FakeCaller())
        record = exchange.unanswered_call
        exchange.on_head(response_head(**head))
        assert host.started_responses == int(own)
        assert (record.head_received_at is not None) is own


class TestRepeatedRefusals:
    def test_refusal_without_an_id_proves_nothing_on_a_kept_connection(self):
        """Guards against "not run" for a request that a server is running."""
        host, caller = FakeHost(), FakeCaller()
        exchange = single_call_exchange(host, caller)
        host.calls[0].reused_connection = True
        exchange.on_head(response_head(status=503, not_run=True, attempt_id=b""))
        assert caller.status == 502
        assert not host.started_responses

    @pytest.mark.parametrize("status", [400, 421, 429, 503])
    @pytest.mark.parametrize("kind", ["safe", "streaming", "unsafe"])
    def test_requests_that_ran_are_not_refused(self, kind, status):
        """Guards against callers that are told "not run" of what has run."""
        spec = configuration(1, *(route(name) for name in ("safe", "unsafe")))
        spec["routes"].append(route("streaming", sizes=["small"], max_attempts=2))
        with running_entry_host(spec) as env:
            for service in (SERVICE, ENGINES):
                for _ in range(2):
                    env.add_server(RepeatedRefusal(status), service)
            env.wait_for_servers(4)
            answers = {}
            for number in range(REQUEST_COUNT):
                headers = {"X-Masticfork-Attempt-Id": f"own-{number}"}
                answers[f"own-{number}"] = env.send(f"/{kind}/x", headers=headers)
            kept = env.logged("call failed", reused_connection=True)
            ran = [r.attempt_id for server in env.servers for r in server.requests]
        assert kept == (kind != "unsafe")
        assert {answers[attempt].status for attempt in ran} <= {200, 502}
        if kind == "unsafe":
            assert sorted(ran) == sorted(answers)


class TestLateSecondResponses:
    @pytest.mark.parametrize("ahead", [True, False])
    @pytest.mark.parametrize("cut_step", [0, 5])
    def test_callers_get_no_response_of_another_request(self, ahead, cut_step):
        """Guards against late second responses that end another request (MIXED)."""
        spec = configuration(1, route("safe", max_attempts=2))
        with running_entry_host(spec) as env:
            for _ in range(2):
                env.add_server(Stutter(ahead, cut_step), SERVICE)
            env.wait_for_servers(2)
            answers = []
            for number in range(REQUEST_COUNT):
                headers = {"X-Masticfork-Attempt-Id": f"own-{number}"}
                answers.append(env.send("/safe/x", headers=headers))
                time.sleep(number % 4 * 0.005)
            failures = env.logged("call failed", reused_connection=True)
            stray = env.logged("stray data from server")
        assert failures if ahead else failures or stray
        for number, got in enumerate(answers):
            assert got.status in (200, 502)
            assert got.status == 502 or got.body == b"own-%d" % number
