"""A rollout begins while the sessions of a service read long answers."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    ZONES,
    Attempt,
    Platform,
    Record,
    Run,
    Store,
    Worker,
    configuration,
    engine_service,
    main,
    route,
    send,
    trouble,
)

SERVICE = "mastic-pool"
# Each session asks twice; its first answer has 24 events.
SESSIONS = 100
SESSION_INTERVAL_SECONDS = 0.07
EVENTS = 24
EVENT_SECONDS = 0.4
# Pause between the end of an answer and the next request; `session_s` is 5.
PAUSE_SECONDS = 3.0
ORDER_AT_SECONDS = 8.0
ROLLOUT_SECONDS = 24
MAX_CHANGES = 3


async def play(record: Record, work: Path) -> int:
    """Play the case and return its result."""
    store = Store(record)
    await store.start()
    runs: list[Run] = []
    routes = [
        route(
            "mail-reply",
            "/reply/",
            "streaming",
            SERVICE,
            timeout_ms=15000,
            target_latency_ms=1500,
            max_attempts=3,
            sticky=True,
            resumable=True,
            gap_aim_ms=1000,
        )
    ]
    store.put("config", "main", configuration(7, routes, [engine_service(SERVICE)]))
    old = [
        Worker(record, store, runs, SERVICE, f"i-old-{n}", ZONES[n % 4])
        for n in range(6)
    ]
    new = [
        Worker(record, store, runs, SERVICE, f"i-new-{n}", ZONES[n % 4], "v2")
        for n in range(6)
    ]
    for worker in [*old, *new]:
        worker.events = EVENTS
        worker.gap = lambda _request, _number: EVENT_SECONDS
    for worker in old:
        await worker.register()
    platform = Platform(record, work, store)
    try:
        if not await platform.start():
            return NOT_RUN
        await asyncio.sleep(4.0)
        began = record.now
        pairs: list[tuple[Attempt, Attempt]] = []
        order_at = began + ORDER_AT_SECONDS

        async def ask(number: int) -> None:
            await asyncio.sleep(number * SESSION_INTERVAL_SECONDS)
            session = f"s-{number}-{random.getrandbits(32):08x}"
            attempts = []
            for turn in range(2):
                if turn:
                    await asyncio.sleep(PAUSE_SECONDS)
                attempts.append(
                    await send(
                        record,
                        platform.choose(),
                        "/reply/2f",
                        session=session,
                        limit_ms=15000,
                        stream=True,
                    )
                )
            pairs.append((attempts[0], attempts[1]))

        async def order() -> None:
            await asyncio.sleep(ORDER_AT_SECONDS)
            for worker in new:
                await worker.register()
            spec = {"service": SERVICE, "target": "v2", "duration_s": ROLLOUT_SECONDS}
            store.put("rollouts", SERVICE, spec)

        tasks = [ask(number) for number in range(SESSIONS)]
        if trouble():
            tasks.append(order())
        await asyncio.gather(*tasks)
        return judge(record, runs, pairs, order_at, store)
    finally:
        await platform.stop()


def judge(
    record: Record,
    runs: list[Run],
    pairs: list[tuple[Attempt, Attempt]],
    order_at: float,
    store: Store,
) -> int:
    """Count the sessions that changed to the new version in its first half."""
    by_attempt = {run.attempt: run for run in runs}
    changes = 0
    for first, second in pairs:
        before, after = by_attempt.get(first.id), by_attempt.get(second.id)
        if before is None or after is None or not first.complete:
            continue
        together = second.sent - first.ended < 5.0
        first_half = after.at < order_at + ROLLOUT_SECONDS / 2
        if before.version == "v1" and after.version == "v2" and together and first_half:
            changes += 1
            record.note(
                "changed",
                session=first.session,
                lasted=round(first.ended - first.sent, 2),
                pause=round(second.sent - first.ended, 2),
                after_order=round(after.at - order_at, 2),
            )
    answered = sum(pair[0].complete and pair[1].complete for pair in pairs)
    state = store.status("rollouts", SERVICE)
    record.note("summary", sessions=len(pairs), answered=answered, changes=changes)
    print(
        f"{changes} of {len(pairs)} sessions changed their version; "
        f"{answered} got both answers; "
        f"rollout {None if state is None else state['state']}"
    )
    if answered < len(pairs) / 2:
        return NOT_RUN
    return BROKEN if changes > MAX_CHANGES else HELD


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
