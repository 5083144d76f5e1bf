"""Compare bills with what engines say they generated."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import attrs

JsonObject = dict[str, Any]

FINISHED = "done"


@attrs.frozen
class Audit:
    """What does not agree; attempts and requests by their identity."""

    bills: int
    generations: int
    # Finished generations that no bill holds.
    missing: tuple[str, ...]
    # Requests with more than one bill.
    doubled_requests: tuple[str, ...]
    # Generations that are billed more than once.
    doubled_attempts: tuple[str, ...]
    # Billed attempts that no engine knows.
    unfounded: tuple[str, ...]
    # Billed attempts whose tokens differ from the engine's count.
    different: tuple[str, ...]

    @property
    def clean(self) -> bool:
        """Tell whether everything agrees."""
        lists = (self.missing, self.doubled_requests, self.doubled_attempts)
        return not any((*lists, self.unfounded, self.different))


def audit(bills: Iterable[JsonObject], generations: Iterable[JsonObject]) -> Audit:
    """Compare all bills with the generations of all engines."""
    requests: Counter[str] = Counter()
    billed: defaultdict[str, list[int]] = defaultdict(list)
    for bill in bills:
        requests[bill["request_id"]] += 1
        for step in bill["steps"]:
            billed[step["attempt_id"]].append(step["completion_tokens"])
    known = {generation["id"]: generation for generation in generations}
    finished = {name for name, made in known.items() if made["state"] == FINISHED}
    return Audit(
        bills=requests.total(),
        generations=len(known),
        missing=tuple(sorted(finished - billed.keys())),
        doubled_requests=tuple(sorted(r for r, times in requests.items() if times > 1)),
        doubled_attempts=tuple(
            sorted(a for a, uses in billed.items() if len(uses) > 1)
        ),
        unfounded=tuple(sorted(billed.keys() - known.keys())),
        different=tuple(
            sorted(
                attempt
                for attempt, uses in billed.items()
                if attempt in known and _differs(uses[0], known[attempt])
            )
        ),
    )


def _differs(tokens: int, generation: JsonObject) -> bool:
    if generation["state"] == FINISHED:
        return bool(tokens != generation["tokens"])
    # A caller that left early pays at most for what was generated.
    return bool(tokens > generation["tokens"])
