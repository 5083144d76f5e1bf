"""Read stored bills from the platform for the administration API."""

from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from masticfork.admin.backend import BillQuery
from masticfork.admin.problems import Problem, ProblemCode
from masticfork.admin.views import BillPage, BillStep, BillView
from masticfork.ledger.bill_records import Bill, select_charged_bills
from masticfork.ledger.bill_store import read_batches
from masticfork.store.client import ObjectStore


class BillReader:
    """Lists one merged bill per request, ordered by team and request ID."""

    def __init__(self, store: ObjectStore, now: Callable[[], float]) -> None:
        self._store = store
        self._now = now

    def page(self, query: BillQuery) -> Result[BillPage, Problem]:
        """Return a page of bills; `query.after` is the cursor of the previous page."""
        batches = read_batches(self._store, self._now)
        if isinstance(batches, Err):
            message = batches.err_value.message
            return Err(Problem(ProblemCode.PLATFORM_DOWN, message))
        bills = [bill for batch in batches.ok_value for bill in batch.bills]
        selected = _select(select_charged_bills(bills).values(), query)
        page = selected[: query.limit]
        more = len(selected) > len(page)
        cursor = _cursor(page[-1]) if more else None
        return Ok(BillPage(tuple(_bill_view(bill) for bill in page), cursor))


def _select(bills: Iterable[Bill], query: BillQuery) -> list[Bill]:
    of_teams = [bill for bill in bills if not query.teams or bill.team in query.teams]
    remaining = [bill for bill in of_teams if _cursor(bill) > query.after]
    return sorted(remaining, key=_cursor)


def _cursor(bill: Bill) -> str:
    return f"{bill.team}/{bill.request_id}"


def _bill_view(bill: Bill) -> BillView:
    steps = tuple(
        BillStep(
            step.attempt_id,
            step.version,
            step.prompt_tokens,
            step.completion_tokens,
            step.cost,
        )
        for step in bill.steps
    )
    return BillView(
        bill.request_id,
        bill.team,
        bill.work_class.value,
        bill.host,
        bill.at,
        bill.cost,
        steps,
    )
