"""Check the history of a soak; each guarantee of the router is one function."""

from collections import defaultdict
from collections.abc import Callable, Iterator

from masticfork.core.findings import Finding, SourceLocation
from soak.records import (
    HOST_OUTAGES,
    HOST_PROCESS_KINDS,
    SERVER_KINDS,
    STORE_FAULTS,
    Attempt,
    FaultKind,
    History,
    RequestKind,
    Run,
)
from soak.servers import (
    COLD_RATE,
    EVACUATED_ZONE,
    EVENT_COUNT,
    EVENT_PAUSE_SECONDS,
    LIMITED_RATE,
    plain_body,
    server_zone,
)

# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Time after the route's timeout within which the final answer is required.
ANSWER_GRACE_SECONDS = 0.5
# Route timeouts, as set in the configuration of the soak.
ROUTE_TIMEOUTS_SECONDS = {RequestKind.STREAM: 4.0}
DEFAULT_TIMEOUT_SECONDS = 2.0
# Time after a caller disconnects within which all work for it is required to stop.
CANCELLATION_SECONDS = 0.5
# Time for which a host may still use an older configuration after its first answer
# under a newer one.
CONFIG_LAG_SECONDS = 0.25
# How long before a run a fault of its server still excuses a failure.
FAULT_LOOKBACK_SECONDS = 3.0
# Runs allowed per request: the routes' maximum number of attempts.
MAX_RUNS = {RequestKind.STREAM: 3}
DEFAULT_MAX_RUNS = 2
# Time after the first announcement of a limit by which all hosts know it.
LIMIT_KNOWN_SECONDS = 0.6
# Time after the third crash under a request by which all hosts know it, and the calls
# of it that are allowed later.
DEADLY_KNOWN_SECONDS, MAX_RETRIES_OF_DEADLY_REQUESTS = 3.0, 3
# Time after an order to evacuate a zone, or after a server's entry that it is cold, by
# which all hosts have read it.
ORDER_KNOWN_SECONDS = 1.5
# Requests beyond 1.5 times its rate that a cold server may get within a second.
COLD_SLACK = 5


def check_guarantees(history: History) -> list[Finding]:
    """Return a finding for each violation of a guarantee."""
    return [finding for guarantee in GUARANTEES for finding in guarantee(history)]


def _finding(code: str, subject: str, message: str) -> Finding:
    return Finding(f"soak.{code}", SourceLocation(subject), message)


def _runs_by_attempt(history: History) -> dict[str, list[Run]]:
    runs: defaultdict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs[run.attempt_id].append(run)
    return runs


def _timeout_seconds(attempt: Attempt) -> float:
    return ROUTE_TIMEOUTS_SECONDS.get(attempt.kind, DEFAULT_TIMEOUT_SECONDS)


def _host_unavailable(history: History, attempt: Attempt) -> bool:
    """Return whether, during the attempt, the host was down or the soak stalled."""
    started_at, ended_at = attempt.sent_at, attempt.ended_at
    if any(stall[0] <= ended_at and started_at <= stall[1] for stall in history.stalls):
        return True
    return any(
        interval.kind in HOST_OUTAGES
        and interval.target == attempt.host
        and interval.overlaps(started_at, ended_at)
        for interval in history.fault_intervals
    )


def _server_had_fault(
    history: History, server: int, since: float, until: float
) -> bool:
    return any(
        interval.kind in SERVER_KINDS
        and interval.target == server
        and interval.overlaps(since - FAULT_LOOKBACK_SECONDS, until)
        for interval in history.fault_intervals
    )


def at_most_once(history: History) -> Iterator[Finding]:
    """Yield non-idempotent requests that ran more than once."""
    unsafe = {a.id for a in history.attempts if a.kind is RequestKind.UNSAFE}
    for attempt_id, runs in _runs_by_attempt(history).items():
        if attempt_id in unsafe and len(runs) > 1:
            servers = [run.server for run in runs]
            yield _finding("twice", attempt_id, f"ran on servers {servers}")


def refused_requests_have_not_run(history: History) -> Iterator[Finding]:
    """Yield non-idempotent requests that ran although they were refused."""
    runs = _runs_by_attempt(history)
    for attempt in history.attempts:
        unsafe = attempt.kind is RequestKind.UNSAFE
        if unsafe and attempt.status in NOT_RUN_STATUSES and attempt.id in runs:
            message = f"answered {attempt.status} although it ran"
            yield _finding("refused", attempt.id, message)


def complete_answers_are_correct(history: History) -> Iterator[Finding]:
    """Yield complete 200 answers with a wrong body, such as that of another request."""
    for attempt in history.attempts:
        if attempt.status != 200 or not attempt.complete:
            continue
        stream = attempt.kind is RequestKind.STREAM
        is_correct = _is_correct_stream if stream else _is_correct_plain_answer
        if not is_correct(attempt):
            message = f"answered 200 with wrong body {attempt.body[:200]!r}"
            yield _finding("mixed", attempt.id, message)


def _is_correct_plain_answer(attempt: Attempt) -> bool:
    return attempt.body == plain_body(attempt.id)


def _is_correct_stream(attempt: Attempt) -> bool:
    return _count_events(attempt) == EVENT_COUNT


def _count_events(attempt: Attempt) -> int | None:
    """Return the number of events, or None if the events are not a valid prefix.

    They must be numbered from 1 without gaps and all be for this attempt and from one
    model, even if another server has continued the stream.
    """
    texts = set()
    blocks = attempt.body.decode().split("\n\n")
    for number, block in enumerate(blocks[:-1], start=1):
        head, _, data = block.partition("\ndata: ")
        text, _, number_in_text = data.rpartition("|")
        if head != f"id: {number}" or number_in_text != str(number):
            return None
        texts.add(text)
    same_request = all(text.startswith(f"{attempt.id}|") for text in texts)
    return (
        len(blocks) - 1 if same_request and len(texts) <= 1 and not blocks[-1] else None
    )


def incomplete_streams_are_in_order(history: History) -> Iterator[Finding]:
    """Yield incomplete streams with missing, repeated or foreign events."""
    for attempt in history.attempts:
        incomplete = attempt.kind is RequestKind.STREAM and not attempt.complete
        if (
            not incomplete
            or attempt.status != 200
            or attempt.disconnected_at is not None
        ):
            continue
        if _count_events(attempt) is None:
            message = f"incomplete stream with wrong events: {attempt.body[:200]!r}"
            yield _finding("order", attempt.id, message)


def answers_arrive_in_time(history: History) -> Iterator[Finding]:
    """Yield requests without a final answer 0.5 s after their timeout."""
    for attempt in history.attempts:
        seconds = attempt.ended_at - attempt.sent_at
        late = seconds > _timeout_seconds(attempt) + ANSWER_GRACE_SECONDS
        if late and not _host_unavailable(history, attempt):
            yield _finding(
                "late", attempt.id, f"answered or closed after {seconds:.2f} s"
            )


def no_answer_is_lost(history: History) -> Iterator[Finding]:
    """Yield requests that ran on a healthy server but got no complete answer."""
    runs = _runs_by_attempt(history)
    for attempt in history.attempts:
        if (
            attempt.complete
            or attempt.disconnected_at is not None
            or attempt.id not in runs
        ):
            continue
        if (
            attempt.ended_at - attempt.sent_at
            > _timeout_seconds(attempt) - ANSWER_GRACE_SECONDS
        ):
            continue
        excused = _host_unavailable(history, attempt) or any(
            run.injected_fault
            or _server_had_fault(history, run.server, run.started_at, attempt.ended_at)
            for run in runs[attempt.id]
        )
        if not excused:
            message = f"status {attempt.status}, then the connection was closed"
            yield _finding("lost", attempt.id, message)


def servers_stop_after_disconnects(history: History) -> Iterator[Finding]:
    """Yield requests that a server still ran 0.5 s after the caller disconnected."""
    runs = _runs_by_attempt(history)
    for attempt in history.attempts:
        if attempt.disconnected_at is None:
            continue
        since, until = (
            attempt.disconnected_at,
            attempt.disconnected_at + CANCELLATION_SECONDS + 2 * EVENT_PAUSE_SECONDS,
        )
        if _host_unavailable(history, _extended(attempt, until)):
            continue
        for run in runs.get(attempt.id, []):
            kept_working = run.ended_at is None or run.ended_at > until
            if kept_working and not _server_had_fault(
                history, run.server, since, until
            ):
                yield _finding("gone", attempt.id, f"server {run.server} still ran it")


def _extended(attempt: Attempt, ended_at: float) -> Attempt:
    return Attempt(
        attempt.id,
        attempt.kind,
        attempt.host,
        attempt.restarts,
        attempt.sent_at,
        ended_at,
    )


def valid_requests_are_not_denied(history: History) -> Iterator[Finding]:
    """Yield requests denied although every configuration version allows them."""
    for attempt in history.attempts:
        denied = (
            400 <= (attempt.status or 0) < 500
            and attempt.status not in NOT_RUN_STATUSES
        )
        if denied and attempt.kind is not RequestKind.EXTRA:
            yield _finding("denied", attempt.id, f"answered {attempt.status}")


def runs_are_bounded(history: History) -> Iterator[Finding]:
    """Yield requests that ran more often than their route allows."""
    kinds = {attempt.id: attempt.kind for attempt in history.attempts}
    for attempt_id, runs in _runs_by_attempt(history).items():
        kind = kinds.get(attempt_id)
        if kind is not None and len(runs) > MAX_RUNS.get(kind, DEFAULT_MAX_RUNS):
            yield _finding("budget", attempt_id, f"ran {len(runs)} times")


def runs_belong_to_requests(history: History) -> Iterator[Finding]:
    """Yield runs of requests that no caller sent."""
    sent_ids = {attempt.id for attempt in history.attempts}
    for run in history.runs:
        if run.attempt_id not in sent_ids:
            yield _finding("unasked", run.attempt_id, f"ran on server {run.server}")


def configuration_never_regresses(history: History) -> Iterator[Finding]:
    """Yield EXTRA requests answered from an older configuration than one before."""
    served: dict[tuple[int, int], list[Attempt]] = defaultdict(list)
    extra = (a for a in history.attempts if a.kind is RequestKind.EXTRA)
    for attempt in sorted(extra, key=lambda a: a.sent_at):
        newest = max(
            (
                seen.version
                for seen in served[attempt.host, attempt.restarts]
                if seen.ended_at + CONFIG_LAG_SECONDS < attempt.sent_at
            ),
            default=0,
        )
        older_served = attempt.status == 200 and attempt.version < newest
        newest_missing = attempt.status == 404 and attempt.version == newest
        replaced_at = history.config_written_at.get(newest + 1, float("inf"))
        if older_served or (newest_missing and attempt.ended_at < replaced_at):
            message = f"version {attempt.version} got {attempt.status} after {newest}"
            yield _finding("regress", attempt.id, message)
        if attempt.status == 200:
            served[attempt.host, attempt.restarts].append(attempt)


def limits_are_kept(history: History) -> Iterator[Finding]:
    """Yield servers that got more requests than they said they take."""
    for limit in history.fault_intervals:
        since = limit.started_at + LIMIT_KNOWN_SECONDS
        if limit.kind is not FaultKind.SERVER_LIMITED or limit.ended_at < since:
            continue
        # A host that starts knows no limit until it hears of it.
        restarts = sum(
            fault.kind in HOST_PROCESS_KINDS
            and fault.overlaps(
                limit.started_at - FAULT_LOOKBACK_SECONDS, limit.ended_at
            )
            for fault in history.fault_intervals
        )
        seconds = limit.ended_at - since
        allowed = 1.5 * LIMITED_RATE * seconds + 5 + 3 * restarts
        arrivals = history.arrivals.get(limit.target, [])
        count = sum(since <= at <= limit.ended_at for at in arrivals)
        if count > allowed:
            message = f"got {count} requests in {seconds:.2f} s"
            yield _finding("limit", f"server {limit.target}", message)


def deadly_requests_are_kept_from_servers(history: History) -> Iterator[Finding]:
    """Yield a request that goes on to crash servers after it has crashed three."""
    if len(history.crashes) > MAX_RETRIES_OF_DEADLY_REQUESTS:
        third = history.crashes[2]
        late = [at for at in history.crashes if at > third + DEADLY_KNOWN_SECONDS]
        if len(late) > MAX_RETRIES_OF_DEADLY_REQUESTS:
            yield _finding("deadly", "body", f"{len(late)} crashes after the third")


def _order_was_read(history: History, since: float) -> bool:
    """Return whether hosts could read the store for some time before and after."""
    return not any(
        fault.kind in STORE_FAULTS | HOST_PROCESS_KINDS
        and fault.overlaps(since - FAULT_LOOKBACK_SECONDS, since + ORDER_KNOWN_SECONDS)
        for fault in history.fault_intervals
    )


def evacuated_zones_get_no_requests(history: History) -> Iterator[Finding]:
    """Yield servers of an evacuated zone that got requests after all hosts knew."""
    for order in history.fault_intervals:
        is_order = order.kind is FaultKind.ZONE_EVACUATED
        if not is_order or not _order_was_read(history, order.started_at):
            continue
        since = order.started_at + ORDER_KNOWN_SECONDS
        for server, arrivals in history.arrivals.items():
            late = [at for at in arrivals if since <= at <= order.ended_at]
            if server_zone(server) == EVACUATED_ZONE and late:
                message = f"got {len(late)} requests while its zone was evacuated"
                yield _finding("evacuated", f"server {server}", message)


def cold_servers_are_paced(history: History) -> Iterator[Finding]:
    """Yield cold servers that got more requests in a second than they bear."""
    for cold in history.fault_intervals:
        is_cold = cold.kind is FaultKind.SERVER_COLD
        if not is_cold or not _order_was_read(history, cold.started_at):
            continue
        since = cold.started_at + ORDER_KNOWN_SECONDS
        arrivals = history.arrivals.get(cold.target, [])
        times = [at for at in arrivals if since <= at <= cold.ended_at]
        most = max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)
        if most > 1.5 * COLD_RATE + COLD_SLACK:
            message = f"got {most} requests within a second while it was cold"
            yield _finding("cold", f"server {cold.target}", message)


Guarantee = Callable[[History], Iterator[Finding]]

GUARANTEES: tuple[Guarantee, ...] = (
    at_most_once,
    refused_requests_have_not_run,
    complete_answers_are_correct,
    incomplete_streams_are_in_order,
    answers_arrive_in_time,
    no_answer_is_lost,
    servers_stop_after_disconnects,
    valid_requests_are_not_denied,
    runs_are_bounded,
    runs_belong_to_requests,
    configuration_never_regresses,
    limits_are_kept,
    deadly_requests_are_kept_from_servers,
    evacuated_zones_get_no_requests,
    cold_servers_are_paced,
)
