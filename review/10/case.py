"""Workers are replaced soon after the platform's store was down."""

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
    main,
    plain_service,
    route,
    send,
    trouble,
)

SERVICE = "order-desk"
REQUESTS_PER_SECOND = 60
# The store gives no answers for so long.
OUTAGE_AT_SECONDS, OUTAGE_SECONDS = 3.0, 4.5
# `contact_ms` after it the store is stable; the workers are replaced then, one at a
# time: a new one starts, and the entry of an old one is removed.
REPLACED_AFTER_SECONDS, REPLACED_GAP_SECONDS = 3.05, 1.0
REPLACED = 1
REMOVED_AFTER_SECONDS = 0.05
DRAIN_SECONDS = 2.0
# A worker that leaves serves on for this time, at times longer than `drain_ms`.
SERVES_ON_SECONDS = 6.0
END_SECONDS = 18.0


async def play(record: Record, work: Path) -> int:
    """Play the case and return its result."""
    store = Store(record)
    await store.start()
    runs: list[Run] = []
    routes = [route("stock-peek", "/stock/", "safe", SERVICE)]
    store.put("config", "main", configuration(7, routes, [plain_service(SERVICE)]))
    workers = [
        Worker(record, store, runs, SERVICE, f"i-{n}", ZONES[n % 4], slots=6)
        for n in range(3)
    ]
    for worker in workers:
        await worker.register()
    platform = Platform(record, work, store)
    removed_at: dict[str, float] = {}
    attempts: list[Attempt] = []
    try:
        if not await platform.start():
            return NOT_RUN
        await asyncio.sleep(4.0)

        async def ask(number: int) -> None:
            await asyncio.sleep(number / REQUESTS_PER_SECOND)
            host = platform.choose()
            attempts.append(await send(record, host, "/stock/2f", method="GET"))

        async def outage() -> None:
            await asyncio.sleep(OUTAGE_AT_SECONDS)
            record.note("store silent")
            store.begin_silence()
            await asyncio.sleep(OUTAGE_SECONDS)
            store.end_silence()
            record.note("store answers")

        async def leave(worker: Worker) -> None:
            store.remove("servers", worker.id)
            removed_at[worker.id] = record.now
            await asyncio.sleep(SERVES_ON_SECONDS)
            worker.stop()

        async def replace() -> None:
            await asyncio.sleep(
                OUTAGE_AT_SECONDS + OUTAGE_SECONDS + REPLACED_AFTER_SECONDS
            )
            leaving = []
            for number, worker in enumerate(workers[:REPLACED]):
                await Worker(
                    record,
                    store,
                    runs,
                    SERVICE,
                    f"i-new-{number}-{random.getrandbits(16):04x}",
                    worker.zone,
                    slots=6,
                ).register()
                await asyncio.sleep(REMOVED_AFTER_SECONDS)
                leaving.append(asyncio.create_task(leave(worker)))
                await asyncio.sleep(REPLACED_GAP_SECONDS - REMOVED_AFTER_SECONDS)
            await asyncio.gather(*leaving)

        count = int(END_SECONDS * REQUESTS_PER_SECOND)
        tasks = [ask(number) for number in range(count)]
        tasks.append(replace())
        if trouble():
            tasks.append(outage())
        await asyncio.gather(*tasks)
        return judge(record, runs, attempts, removed_at)
    finally:
        await platform.stop()


def judge(
    record: Record,
    runs: list[Run],
    attempts: list[Attempt],
    removed_at: dict[str, float],
) -> int:
    """Count the requests that reached a worker too long after it was removed."""
    hosts = {attempt.id: attempt.host for attempt in attempts}
    late = 0
    for run in runs:
        if run.worker not in removed_at:
            continue
        after = run.at - removed_at[run.worker]
        if after > DRAIN_SECONDS:
            late += 1
            host = hosts.get(run.attempt)
            record.note(
                "late", attempt=run.attempt, worker=run.worker, host=host, after=after
            )
    answered = sum(attempt.complete for attempt in attempts)
    record.note("summary", requests=len(attempts), answered=answered, late=late)
    print(
        f"{late} of {len(attempts)} requests reached a worker later than "
        f"{DRAIN_SECONDS} s after its entry was removed"
    )
    if answered < len(attempts) / 2:
        return NOT_RUN
    return BROKEN if late else HELD


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
