"""Compare bills with the generations that engines report."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import attrs

JsonObject = dict[str, Any]

FINISHED_STATE = "done"


@attrs.frozen
class AuditReport:
    """Differences between bills and generations, as ids of attempts or requests."""

    bills: int
    generations: int
    # Finished generations that appear in no bill.
    missing: tuple[str, ...]
    # Requests with more than one bill.
    doubled_requests: tuple[str, ...]
    # Attempts that are billed more than once.
    doubled_attempts: tuple[str, ...]
    # Billed attempts that no engine reports.
    unfounded: tuple[str, ...]
    # Billed attempts whose token count contradicts the engine's.
    different: tuple[str, ...]

    @property
    def clean(self) -> bool:
        """Return whether bills and generations agree."""
        lists = (self.missing, self.doubled_requests, self.doubled_attempts)
        return not any((*lists, self.unfounded, self.different))


def audit(
    bills: Iterable[JsonObject], generations: Iterable[JsonObject]
) -> AuditReport:
    """Compare all bills with the generations of all engines."""
    bills_per_request: Counter[str] = Counter()
    billed: defaultdict[str, list[int]] = defaultdict(list)
    for bill in bills:
        bills_per_request[bill["request_id"]] += 1
        for step in bill["steps"]:
            billed[step["attempt_id"]].append(step["completion_tokens"])
    known = {generation["id"]: generation for generation in generations}
    finished = {
        name
        for name, generation in known.items()
        if generation["state"] == FINISHED_STATE
    }
    return AuditReport(
        bills=bills_per_request.total(),
        generations=len(known),
        missing=tuple(sorted(finished - billed.keys())),
        doubled_requests=tuple(
            sorted(r for r, count in bills_per_request.items() if count > 1)
        ),
        doubled_attempts=tuple(
            sorted(a for a, token_counts in billed.items() if len(token_counts) > 1)
        ),
        unfounded=tuple(sorted(billed.keys() - known.keys())),
        different=tuple(
            sorted(
                attempt
                for attempt, token_counts in billed.items()
                if attempt in known and _contradicts(token_counts[0], known[attempt])
            )
        ),
    )


def _contradicts(tokens: int, generation: JsonObject) -> bool:
    if generation["state"] == FINISHED_STATE:
        return bool(tokens != generation["tokens"])
    # A caller that disconnects early is billed at most for the tokens generated.
    return bool(tokens > generation["tokens"])
