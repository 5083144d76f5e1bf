import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticfork.core.ids import RequestId, TeamName
from masticfork.ledger.bill_audit import Counts, Generation, audit_bills
from masticfork.ledger.bill_records import BillIdentity, merge_bills
from masticfork.ledger.bills_test import bill

RAN = Generation("try-1-a", "m@1", 7)
ASKED = frozenset({BillIdentity(TeamName("team"), RequestId("r1"))})

CASES = [
    ("clean", [bill(1)], [RAN], []),
    ("written twice", [bill(1), bill(1)], [RAN], []),
    ("missing", [], [], ["bill_missing"]),
    ("work of a dead host", [], [RAN], ["bill_missing", "generation_unbilled"]),
    ("unknown attempt", [bill(1)], [], ["bill_wrong"]),
    ("other version", [bill(1)], [Generation("try-1-a", "m@2", 7)], ["bill_wrong"]),
    ("too many tokens", [bill(1, tokens=8)], [RAN], ["bill_wrong"]),
    ("cut early", [bill(1, tokens=3, outcome="cut")], [RAN], []),
    (
        "two hosts billed one request",
        [bill(1), bill(1, host="b", at=999.0, outcome="cut")],
        [RAN, Generation("try-1-b", "m@1", 2)],
        ["bill_merged"],
    ),
]


class TestAudit:
    @pytest.mark.parametrize(
        ("bills", "generations", "codes"),
        [case[1:] for case in CASES],
        ids=[case[0] for case in CASES],
    )
    def test_finds(self, bills, generations, codes):
        findings = audit_bills(bills, Counts(tuple(generations), ASKED))
        assert [finding.code for finding in findings] == codes

    def test_one_attempt_in_bills_of_two_requests(self):
        one = bill(1)
        other = bill(2)
        stolen = type(other)(
            other.request_id,
            other.team,
            other.session,
            one.steps,
            other.work_class,
            other.outcome,
            other.at,
            other.host,
        )
        findings = audit_bills([one, stolen], Counts((RAN,)))
        assert [finding.code for finding in findings] == ["attempt_doubled"]


class TestMerge:
    def test_answered_wins_over_earlier(self):
        cut = bill(1, host="b", at=1.0, outcome="cut")
        assert list(merge_bills([cut, bill(1)]).values()) == [bill(1)]

    def test_earliest_of_two_answered_wins(self):
        late = bill(1, host="b", at=2000.0)
        assert list(merge_bills([late, bill(1)]).values()) == [bill(1)]

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
    def test_does_not_depend_on_the_order(self, bills, rng: random.Random):
        shuffled = bills + bills[:2]
        rng.shuffle(shuffled)
        assert merge_bills(shuffled) == merge_bills(bills)
        assert len(merge_bills(bills)) == len({b.identity for b in bills})
