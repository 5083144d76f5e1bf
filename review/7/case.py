"""Another writer puts large entries, which name no worker, among those of workers."""

import asyncio
import contextlib
import json
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    Attempt,
    EntryHost,
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

SERVICE = "pedidos"
REQUESTS_PER_SECOND = 10
# Zones and memory of the machines of indg-masticfork.
ZONES = ("andina-a", "andina-a", "andina-b", "andina-c")
MEMORY_MB = (205, 205, 260, 260)
ENTRIES, ENTRIES_AT_SECONDS, ENTRIES_GAP_SECONDS = 8, 3.0, 1.0
VALUE_BYTES = 1_048_576
END_SECONDS = 60.0
RESTART_SECONDS = 0.5
CHECK_SECONDS = 0.02
MAX_ENDS, MIN_MACHINES = 2, 2


def other_entry() -> Any:
    """Return an entry whose fields are of another type, as large as one may be."""
    entry: dict[str, Any] = {"service": SERVICE, "state": "ready", "sequence": 1}
    room = VALUE_BYTES - len(json.dumps(entry, separators=(",", ":"))) - 20
    return entry | {"address": [{}] * (room // 3)}


def anonymous_mb(host: EntryHost) -> float:
    """Return the memory that a process takes without its files, in MB."""
    if host.process is None:
        return 0.0
    with contextlib.suppress(OSError):
        text = Path(f"/proc/{host.process.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def play(record: Record, work: Path) -> int:
    """Play the case and return its result."""
    store = Store(record)
    await store.start()
    runs: list[Run] = []
    routes = [route("consulta-estado", "/estado/", "safe", SERVICE)]
    store.put("config", "main", configuration(7, routes, [plain_service(SERVICE)]))
    for n in range(3):
        worker = Worker(record, store, runs, SERVICE, f"i-{n}", ZONES[n + 1], slots=6)
        await worker.register()
    platform = Platform(record, work, store, ZONES)
    for host, memory_mb in zip(platform.hosts, MEMORY_MB, strict=True):
        host.memory_mb = memory_mb
    ends = dict.fromkeys((host.name for host in platform.hosts), 0)
    attempts: list[Attempt] = []

    async def limit_memory(host: EntryHost) -> None:
        """Kill the process over its limit, and start it again, as the platform does."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            used = anonymous_mb(host)
            if used > host.memory_mb:
                ends[host.name] += 1
                record.note("over the limit", host=host.name, mb=round(used))
                host.signal(signal.SIGKILL)
                await asyncio.sleep(RESTART_SECONDS)
                host.start(record.now)

    async def ask(number: int) -> None:
        await asyncio.sleep(number / REQUESTS_PER_SECOND)
        attempts.append(
            await send(record, platform.choose(), "/estado/2f", method="GET")
        )

    async def write_entries() -> None:
        await asyncio.sleep(ENTRIES_AT_SECONDS)
        for number in range(ENTRIES):
            store.put("servers", f"i-other-{number}", other_entry())
            await asyncio.sleep(ENTRIES_GAP_SECONDS)

    limits: list[asyncio.Task[None]] = []
    try:
        if not await platform.start():
            return NOT_RUN
        await asyncio.sleep(3.0)
        limits = [asyncio.create_task(limit_memory(host)) for host in platform.hosts]
        tasks = [ask(n) for n in range(int(END_SECONDS * REQUESTS_PER_SECOND))]
        if trouble():
            tasks.append(write_entries())
        await asyncio.gather(*tasks)
    finally:
        for task in limits:
            task.cancel()
        await platform.stop()
    later = [a for a in attempts if a.sent > attempts[0].sent + END_SECONDS - 15.0]
    served = sum(attempt.status == 200 and attempt.complete for attempt in later)
    often = [name for name, count in ends.items() if count > MAX_ENDS]
    record.note("summary", ends=ends, served_later=served, sent_later=len(later))
    print(
        f"ends by process: {list(ends.values())}; "
        f"{served} of {len(later)} requests of the last 15 s served"
    )
    return BROKEN if len(often) >= MIN_MACHINES else HELD


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent)
