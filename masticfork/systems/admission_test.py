"""Tests of admission: team limits, order of service, refusals and fairness."""

import threading

import attrs
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from masticfork.core.deadlines import Deadline
from masticfork.core.limits import Amounts
from masticfork.core.manifest import WorkClass
from masticfork.core.refusals import Reason, RunState
from masticfork.systems.admission import FairAdmission, FifoAdmission, wait
from masticfork.systems.admission_records import AdmissionRequest
from masticfork.systems.team_limits import Unlimited

INF = float("inf")


class FixedShares:
    """Share source that gives every team the same amounts."""

    def __init__(self, requests=INF, tokens=INF, in_flight=INF):
        self.share = Amounts(requests, tokens, in_flight)

    def amounts(self, team, now):
        return self.share


def request(team="a", kind=WorkClass.DRAFTING, deadline=1e9, **more):
    return AdmissionRequest(team, kind, "p", Deadline(deadline), **more)


def with_slots(number, admission=None):
    admission = admission or FairAdmission(Unlimited())
    admission.set_slots({"p": number}, 0.0)
    return admission


def in_service(ticket):
    return ticket.verdict.done() and isinstance(ticket.verdict.result(0), Ok)


def with_service_time(admission, seconds):
    """Finish one request of each class, so that the pool expects this service time."""
    for kind in WorkClass:
        admission.finish(admission.admit(request(kind=kind), 0.0).unwrap(), 0, seconds)
    return admission


class TestTeamLimits:
    def test_requests_beyond_the_rate_get_retry_times(self):
        admission = FairAdmission(FixedShares(requests=2.0))
        admitted = [admission.admit(request(), 10.0) for _ in range(4)]
        assert [a.is_ok() for a in admitted] == [True, True, False, False]
        refusals = [a.err_value for a in admitted[2:]]
        assert {r.reason for r in refusals} == {Reason.LIMIT_REACHED}
        assert {r.run_state for r in refusals} == {RunState.NOT_RUN}
        assert [r.retry_at.at for r in refusals] == [10.5, 11.0]
        assert admission.admit(request(), 10.5).is_ok()

    def test_tokens_are_corrected_when_an_answer_ends(self):
        admission = FairAdmission(FixedShares(tokens=100.0))
        ask = request(uses_tokens=True, max_tokens=50)
        first = admission.admit(ask, 0.0).unwrap()
        assert first.charged_tokens == 50
        admission.finish(first, 300.0, 0.0)
        refused = admission.admit(ask, 1.0)
        # The bucket is 200 below zero at 0 s, so 250 tokens are refilled at 100 per
        # second before the next estimate of 50 fits.
        assert refused.err_value.retry_at.at == 2.5
        assert admission.admit(ask, 2.5).is_ok()

    def test_in_flight_is_capped_and_freed(self):
        admission = FairAdmission(FixedShares(in_flight=1.0))
        first = admission.admit(request(), 0.0).unwrap()
        assert admission.admit(request(), 0.0).is_err()
        admission.finish(first, 0, 1.0)
        admission.finish(first, 0, 1.0)
        assert admission.admit(request(), 1.0).is_ok()
        assert admission.admit(request(), 1.0).is_err()

    def test_a_request_refused_for_overload_releases_its_in_flight_slot(self):
        admission = with_slots(1, FairAdmission(FixedShares(in_flight=2.0)))
        admission.admit(request(), 0.0).unwrap()
        waiting = admission.admit(request(deadline=5.0), 0.0).unwrap()
        assert isinstance(admission.cancel(waiting, 5.0), Err)
        assert admission.in_use("a").in_flight == 1


class TestOrder:
    def test_serves_by_class_then_by_deadline(self):
        admission = with_slots(1)
        first = admission.admit(request(), 0.0).unwrap()
        asked = {
            "draft": request(deadline=50.0),
            "sooner draft": request(deadline=40.0),
            "reservation": request(kind=WorkClass.RESERVATION),
            "lookup": request(kind=WorkClass.LOOKUP),
        }
        tickets = {k: admission.admit(r, 0.0).unwrap() for k, r in asked.items()}
        served, current = [], first
        while tickets:
            admission.finish(current, 0, 0.0)
            (name,) = [k for k, ticket in tickets.items() if in_service(ticket)]
            current = tickets.pop(name)
            served.append(name)
        assert served == ["lookup", "reservation", "sooner draft", "draft"]

    def test_many_lookups_of_one_team_do_not_starve_drafts_of_another(self):
        admission = with_slots(1)
        current = admission.admit(request("a", WorkClass.LOOKUP), 0.0).unwrap()
        waiting = [
            admission.admit(request("a", WorkClass.LOOKUP), 0.0).unwrap()
            for _ in range(60)
        ]
        waiting += [admission.admit(request("b"), 0.0).unwrap() for _ in range(10)]
        served = []
        for now in range(1, 41):
            admission.finish(current, 0, float(now))
            (current,) = [ticket for ticket in waiting if in_service(ticket)]
            waiting.remove(current)
            served.append(current.request.team)
        assert served[0] == "a"
        assert served.count("b") == 10


class TestOverload:
    def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once(self):
        admission = with_service_time(with_slots(1), 2.0)
        admission.admit(request(), 10.0).unwrap()
        admission.admit(request(), 10.0).unwrap()
        refused = admission.admit(request(deadline=13.0), 10.0)
        assert refused.err_value.reason is Reason.OVERLOADED
        assert refused.err_value.run_state is RunState.NOT_RUN
        assert refused.err_value.retry_at.at > 10.0

    def test_refused_callers_get_different_retry_times(self):
        admission = with_service_time(with_slots(1), 2.0)
        admission.admit(request(), 10.0).unwrap()
        refused = [
            admission.admit(request(deadline=11.0), 10.0).err_value for _ in range(20)
        ]
        times = [refusal.retry_at.at for refusal in refused]
        assert len(set(times)) > 10
        assert all(10.0 < at <= 70.0 for at in times)

    def test_a_queued_request_is_refused_once_it_cannot_start_in_time(self):
        admission = with_service_time(with_slots(1), 2.0)
        current = admission.admit(request(), 10.0).unwrap()
        late = admission.admit(request(deadline=20.0), 10.0).unwrap()
        start_by = late.start_by.at
        assert start_by < 20.0
        admission.finish(current, 0, 10.0)
        assert in_service(late)
        later = admission.admit(request(deadline=20.0), 10.0).unwrap()
        admission.set_slots({"p": 1}, start_by)
        assert later.verdict.result(0).err_value.reason is Reason.OVERLOADED

    def test_a_full_queue_evicts_the_largest_teams_least_urgent_request(self):
        admission = with_slots(1, FairAdmission(Unlimited(), max_waiting=2))
        admission.admit(request(), 0.0).unwrap()
        kept, evicted = [
            admission.admit(request(deadline=at), 0.0).unwrap() for at in (50.0, 60.0)
        ]
        assert admission.admit(request("b", WorkClass.LOOKUP), 0.0).is_ok()
        assert not kept.verdict.done()
        assert evicted.verdict.result(0).is_err()
        assert admission.admit(request(deadline=70.0), 0.0).is_err()

    def test_a_full_queue_evicts_a_large_teams_request_for_a_small_teams(self):
        admission = with_slots(1, FairAdmission(Unlimited(), max_waiting=2))
        admission.admit(request(), 0.0).unwrap()
        large = [admission.admit(request(), 0.0).unwrap() for _ in range(2)]
        assert admission.admit(request("b", deadline=2e9), 0.0).is_ok()
        assert [ticket.verdict.done() for ticket in large].count(True) == 1

    def test_a_slow_pools_queue_is_evicted_for_an_urgent_request_to_another(self):
        admission = with_slots(1, FairAdmission(Unlimited(), max_waiting=2))
        admission.set_slots({"q": 1}, 0.0)
        lookup = attrs.evolve(request(kind=WorkClass.LOOKUP), pool="q")
        for asked in (request(), lookup):
            admission.admit(asked, 0.0).unwrap()
        drafts = [admission.admit(request(), 0.0).unwrap() for _ in range(2)]
        assert admission.admit(lookup, 0.0).is_ok()
        assert [draft.verdict.done() for draft in drafts].count(True) == 1
        assert admission.admit(request(), 0.0).is_err()

    def test_a_full_queue_does_not_refuse_a_request_to_a_pool_with_a_free_slot(self):
        admission = with_slots(1, FairAdmission(Unlimited(), max_waiting=1))
        admission.set_slots({"q": 1}, 0.0)
        for _ in range(2):
            admission.admit(request(), 0.0).unwrap()
        admitted = admission.admit(attrs.evolve(request(deadline=2e9), pool="q"), 0.0)
        assert in_service(admitted.unwrap())

    def test_a_waiting_thread_wakes_when_a_slot_is_released(self):
        admission = with_slots(1)
        first = admission.admit(request(), 0.0).unwrap()
        second = admission.admit(request(), 0.0).unwrap()
        thread = threading.Timer(0.01, admission.finish, (first, 0, 1.0))
        thread.start()
        assert wait(admission, second, 0.0).is_ok()
        thread.join()

    def test_the_wait_ends_when_the_deadline_cannot_be_met(self):
        admission = with_service_time(with_slots(1), 0.5)
        admission.admit(request(), 1.0).unwrap()
        second = admission.admit(request(deadline=3.0), 1.0).unwrap()
        verdict = wait(admission, second, second.start_by.at - 0.01)
        assert verdict.err_value.run_state is RunState.NOT_RUN

    def test_fifo_admits_everything(self):
        admission = with_slots(1, FifoAdmission())
        tickets = [admission.admit(request(), 0.0).unwrap() for _ in range(3)]
        admission.finish(tickets[0], 0, 1.0)
        assert [in_service(t) for t in tickets] == [True, True, False]


class TestInvariants:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"),
                st.sampled_from(WorkClass),
                st.floats(0.0, 20.0),
                st.booleans(),
            ),
            max_size=60,
        ),
        st.integers(1, 4),
    )
    def test_slots_are_never_exceeded_and_every_ticket_gets_a_verdict(
        self, steps, slots
    ):
        admission = with_slots(slots, FairAdmission(FixedShares(in_flight=9.0)))
        tickets, now = [], 0.0
        for team, kind, seconds, end in steps:
            now += 0.25
            asked = admission.admit(request(team, kind, now + seconds), now)
            if isinstance(asked, Ok):
                tickets.append(asked.ok_value)
            running = [t for t in tickets if in_service(t)]
            assert len(running) <= slots
            if end and running:
                tickets.remove(running[0])
                admission.finish(running[0], 0, now)
        for ticket in tickets:
            admission.cancel(ticket, now)
            admission.finish(ticket, 0, now)
        assert all(ticket.verdict.done() for ticket in tickets)
        assert [admission.in_use(team).in_flight for team in "abc"] == [0, 0, 0]
