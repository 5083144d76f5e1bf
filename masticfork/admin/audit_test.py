from typing import Any

import pytest

from masticfork.admin.audit import audit


def bill(request: str, *steps: tuple[str, int]) -> dict[str, Any]:
    step_objects = [{"attempt_id": name, "completion_tokens": n} for name, n in steps]
    return {"request_id": request, "steps": step_objects}


def generation(name: str, tokens: int, state: str = "done") -> dict[str, Any]:
    return {"id": name, "tokens": tokens, "state": state}


class TestAudit:
    def test_bills_that_agree_with_generations(self):
        bills = [bill("r1", ("a", 5)), bill("r2", ("b", 3), ("c", 7))]
        generations = [generation("a", 5), generation("b", 4, "cancelled")]
        generations += [generation("c", 7), generation("d", 2, "running")]
        assert audit(bills, generations).clean

    @pytest.mark.parametrize(
        ("bills", "field", "expected"),
        [
            ([], "missing", ("a",)),
            ([bill("r1", ("a", 5)), bill("r1")], "doubled_requests", ("r1",)),
            (
                [bill("r1", ("a", 5)), bill("r2", ("a", 5))],
                "doubled_attempts",
                ("a",),
            ),
            ([bill("r1", ("a", 5), ("x", 1))], "unfounded", ("x",)),
            ([bill("r1", ("a", 4))], "different", ("a",)),
            ([bill("r1", ("a", 5), ("b", 9))], "different", ("b",)),
        ],
    )
    def test_reports_each_kind_of_difference(
        self, bills: Any, field: str, expected: Any
    ):
        generations = [generation("a", 5), generation("b", 4, "cancelled")]
        report = audit(bills, generations)
        assert getattr(report, field) == expected
        assert not report.clean
