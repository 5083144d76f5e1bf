import attrs
import pytest

from soak.guarantees import check_guarantees
from soak.records import Attempt, FaultInterval, FaultKind, History, RequestKind, Run
from soak.servers import EVENT_COUNT, event_text, plain_body
from standins.scripted_server import event

STARTED_AT = 100.0


def attempt(kind=RequestKind.UNSAFE, seconds=0.1, **changes):
    body = plain_body("a-1")
    if kind is RequestKind.STREAM:
        body = stream("a-1")
    default = Attempt(
        "a-1", kind, 0, 0, STARTED_AT, STARTED_AT + seconds, 200, True, body
    )
    return attrs.evolve(default, **changes)


def stream(attempt_id, numbers=range(1, EVENT_COUNT + 1), model="small"):
    return b"".join(event(n, event_text(attempt_id, model)) for n in numbers)


def run(attempt_id="a-1", started=0.01, ended=0.05, **changes):
    default = Run(attempt_id, 0, STARTED_AT + started, STARTED_AT + ended)
    return attrs.evolve(default, **changes)


def found_codes(
    attempts=(),
    runs=(),
    fault_intervals=(),
    stalls=(),
    config_written_at=None,
    **more,
):
    history = History(
        list(attempts),
        list(runs),
        list(fault_intervals),
        list(stalls),
        config_written_at or {},
        **more,
    )
    return [finding.code for finding in check_guarantees(history)]


class TestValidHistories:
    @pytest.mark.parametrize("kind", [RequestKind.UNSAFE, RequestKind.STREAM])
    def test_a_complete_answer_has_no_findings(self, kind):
        assert found_codes([attempt(kind)], [run()]) == []

    def test_a_refused_request_that_did_not_run_has_no_findings(self):
        assert found_codes([attempt(status=503, body=b"")]) == []


class TestViolations:
    def test_a_second_run_of_an_unsafe_request(self):
        assert found_codes([attempt()], [run(), run()]) == ["soak.twice"]

    def test_a_refused_request_that_ran(self):
        assert found_codes([attempt(status=503, body=b"")], [run()]) == ["soak.refused"]

    def test_the_answer_to_another_request(self):
        assert found_codes([attempt(body=plain_body("a-2"))]) == ["soak.mixed"]

    @pytest.mark.parametrize(
        "body",
        [
            stream("a-1", range(1, EVENT_COUNT)),
            stream("a-1", [1, *range(3, EVENT_COUNT + 1)]),
            stream("a-1", [1, 1, *range(2, EVENT_COUNT + 1)]),
            stream("a-1", [1])
            + stream("a-1", range(2, EVENT_COUNT + 1), model="large"),
            stream("a-2"),
            stream("a-1")[:-3],
        ],
        ids=[
            "short",
            "gap",
            "repeat",
            "two models",
            "another request",
            "within an event",
        ],
    )
    def test_a_complete_stream_with_wrong_events(self, body):
        assert found_codes([attempt(RequestKind.STREAM, body=body)]) == ["soak.mixed"]

    def test_an_incomplete_stream_with_a_gap(self):
        incomplete = attempt(
            RequestKind.STREAM, complete=False, body=stream("a-1", [1, 3])
        )
        assert found_codes([incomplete]) == ["soak.order"]

    def test_a_late_answer(self):
        assert found_codes([attempt(seconds=2.6)]) == ["soak.late"]

    def test_a_connection_closed_without_an_answer(self):
        unanswered = attempt(status=None, complete=False, body=b"")
        assert found_codes([unanswered], [run()]) == ["soak.lost"]

    def test_a_server_that_works_for_a_disconnected_caller(self):
        aborted = attempt(
            RequestKind.STREAM, complete=False, disconnected_at=STARTED_AT + 0.1
        )
        assert found_codes([aborted], [run(ended=1.0)]) == ["soak.gone"]

    def test_a_denied_request(self):
        assert found_codes([attempt(status=404, body=b"")]) == ["soak.denied"]

    def test_a_run_of_a_request_that_no_caller_sent(self):
        assert found_codes([attempt()], [run(), run("b-1")]) == ["soak.unasked"]

    def test_more_runs_than_the_route_allows(self):
        safe = attempt(RequestKind.SAFE)
        assert found_codes([safe], [run(), run(), run()]) == ["soak.budget"]

    def test_a_return_to_an_older_configuration(self):
        newer = attempt(RequestKind.EXTRA, version=2)
        older = attempt(RequestKind.EXTRA, version=1, sent_at=STARTED_AT + 1.0)
        older = attrs.evolve(older, ended_at=STARTED_AT + 1.1)
        assert found_codes([newer, older]) == ["soak.regress"]

    @pytest.mark.parametrize(("count", "codes"), [(20, ["soak.limit"]), (8, [])])
    def test_more_requests_than_a_server_takes(self, count, codes):
        limit = FaultInterval(FaultKind.SERVER_LIMITED, 0, STARTED_AT, STARTED_AT + 2.0)
        arrivals = [STARTED_AT + 0.7 + number * 0.05 for number in range(count)]
        assert found_codes(fault_intervals=[limit], arrivals={0: arrivals}) == codes

    @pytest.mark.parametrize(("count", "codes"), [(7, ["soak.deadly"]), (6, [])])
    def test_a_request_that_goes_on_to_crash_servers(self, count, codes):
        crashes = [STARTED_AT + 4.0 * number for number in range(count)]
        assert found_codes(crashes=crashes) == codes


class TestOrders:
    def found(self, kind, arrivals, *other_faults):
        order = FaultInterval(kind, 2, STARTED_AT, STARTED_AT + 3.0)
        return found_codes(
            fault_intervals=[order, *other_faults], arrivals={2: arrivals}
        )

    def test_request_to_an_evacuated_zone(self):
        late = [STARTED_AT + 2.0]
        assert self.found(FaultKind.ZONE_EVACUATED, late) == ["soak.evacuated"]
        early = [STARTED_AT + 1.0, STARTED_AT + 3.1]
        assert self.found(FaultKind.ZONE_EVACUATED, early) == []

    def test_flood_of_a_cold_server(self):
        flood = [STARTED_AT + 2.0 + 0.05 * n for n in range(16)]
        assert self.found(FaultKind.SERVER_COLD, flood) == ["soak.cold"]
        assert self.found(FaultKind.SERVER_COLD, flood[:12]) == []

    def test_outage_of_the_store_excuses_late_knowledge(self):
        outage = FaultInterval(FaultKind.STORE_DOWN, 0, STARTED_AT - 1.0, STARTED_AT)
        late = [STARTED_AT + 2.0]
        assert self.found(FaultKind.ZONE_EVACUATED, late, outage) == []


class TestExcusedFailures:
    def test_a_killed_host_excuses_a_lost_answer(self):
        unanswered = attempt(status=None, complete=False, body=b"")
        killed = FaultInterval(FaultKind.HOST_KILLED, 0, STARTED_AT, STARTED_AT + 1.0)
        assert found_codes([unanswered], [run()], [killed]) == []

    def test_another_killed_host_does_not_excuse_a_lost_answer(self):
        unanswered = attempt(status=None, complete=False, body=b"")
        killed = FaultInterval(FaultKind.HOST_KILLED, 1, STARTED_AT, STARTED_AT + 1.0)
        assert found_codes([unanswered], [run()], [killed]) == ["soak.lost"]

    def test_a_graceful_stop_does_not_excuse_a_lost_answer(self):
        unanswered = attempt(status=None, complete=False, body=b"")
        stopped = FaultInterval(FaultKind.HOST_STOPPED, 0, STARTED_AT, STARTED_AT + 1.0)
        assert found_codes([unanswered], [run()], [stopped]) == ["soak.lost"]

    def test_no_fault_excuses_a_second_run(self):
        killed = FaultInterval(FaultKind.HOST_KILLED, 0, STARTED_AT, STARTED_AT + 1.0)
        assert found_codes([attempt()], [run(), run()], [killed]) == ["soak.twice"]
