import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticfork.core.ids import RequestId, TeamName
from masticfork.ledger.bill_audit import ExpectedUsage, Generation, audit_bills
from masticfork.ledger.bill_records import BillIdentity, select_charged_bills
from masticfork.ledger.bills_test import bill

GENERATION = Generation("try-1-a", "m@1", 7)
ANSWERED_REQUESTS = frozenset({BillIdentity(TeamName("team"), RequestId("r1"))})

CASES = [
    ("clean", [bill(1)], [GENERATION], []),
    ("written twice", [bill(1), bill(1)], [GENERATION], []),
    ("missing", [], [], ["bill_missing"]),
    (
        "host died before billing",
        [],
        [GENERATION],
        ["bill_missing", "generation_unbilled"],
    ),
    ("unknown attempt", [bill(1)], [], ["bill_wrong"]),
    ("other version", [bill(1)], [Generation("try-1-a", "m@2", 7)], ["bill_wrong"]),
    ("too many tokens", [bill(1, tokens=8)], [GENERATION], ["bill_wrong"]),
    ("answer cut off", [bill(1, tokens=3, outcome="cut")], [GENERATION], []),
    (
        "two hosts billed one request",
        [bill(1), bill(1, host="b", at=999.0, outcome="cut")],
        [GENERATION, Generation("try-1-b", "m@1", 2)],
        ["bill_merged"],
    ),
]


class TestAudit:
    @pytest.mark.parametrize(
        ("bills", "generations", "codes"),
        [case[1:] for case in CASES],
        ids=[case[0] for case in CASES],
    )
    def test_reports_finding_codes(self, bills, generations, codes):
        findings = audit_bills(
            bills, ExpectedUsage(tuple(generations), ANSWERED_REQUESTS)
        )
        assert [finding.code for finding in findings] == codes

    def test_attempt_billed_for_two_requests(self):
        first = bill(1)
        second = bill(2)
        same_attempt = type(second)(
            second.request_id,
            second.team,
            second.session,
            first.steps,
            second.work_class,
            second.outcome,
            second.at,
            second.host,
        )
        findings = audit_bills([first, same_attempt], ExpectedUsage((GENERATION,)))
        assert [finding.code for finding in findings] == ["attempt_doubled"]


class TestMerge:
    def test_answered_bill_precedes_an_earlier_one(self):
        cut = bill(1, host="b", at=1.0, outcome="cut")
        assert list(select_charged_bills([cut, bill(1)]).values()) == [bill(1)]

    def test_earliest_of_two_answered_bills_is_charged(self):
        late = bill(1, host="b", at=2000.0)
        assert list(select_charged_bills([late, bill(1)]).values()) == [bill(1)]

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.builds(
                bill,
                number=st.integers(0, 2),
                host=st.sampled_from("abc"),
                outcome=st.sampled_from(["answered", "cut", "caller_gone"]),
                at=st.sampled_from([1.0, 2.0]),
                tokens=st.integers(0, 2),
            )
        ),
        st.randoms(use_true_random=False),
    )
    def test_result_does_not_depend_on_the_order(self, bills, rng: random.Random):
        shuffled = bills + bills[:2]
        rng.shuffle(shuffled)
        assert select_charged_bills(shuffled) == select_charged_bills(bills)
        assert len(select_charged_bills(bills)) == len({b.identity for b in bills})
